//! Members that probe each other over a faulty network, one of which at a time
//! reads the platform's list of VMs.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::{
    core::{
        Name,
        membership::{Membership, MembershipEffect, MembershipEvent},
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};
use serde::Deserialize;
use serde_json::Value;

use crate::sim::{Network, Sim};

const EXCHANGE_TIMEOUT_MS: u64 = 500;
const CHECK_INTERVAL_MS: u64 = 250;
const PLATFORM_LIST_INTERVAL_MS: u64 = 5_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// The number of members in each region.
    regions: Vec<usize>,
    data_centres_per_region: usize,
    end_ms: u64,
    network: Network,
    #[serde(default)]
    pauses: Vec<FaultInterval>,
    #[serde(default)]
    kills: Vec<MemberChange>,
    #[serde(default)]
    restarts: Vec<MemberChange>,
    #[serde(default)]
    leaves: Vec<MemberChange>,
    /// Regions that are cut off from all others during an interval.
    #[serde(default)]
    cuts: Vec<FaultInterval>,
    /// The time from which the platform's list omits killed VMs.
    list_drops_at_ms: Option<u64>,
    /// The time from which the platform's list names a VM as leaving.
    list_leaving_at_ms: Option<u64>,
    expect: Vec<Expectation>,
}

/// A kill, restart or leave of one member.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberChange {
    member: usize,
    at_ms: u64,
}

/// A pause of a member or a cut of a region, from `from_ms` up to `to_ms`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultInterval {
    /// The index of the member or region.
    which: usize,
    from_ms: u64,
    to_ms: u64,
}

/// What every running member's view must satisfy from `from_ms` up to `to_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expectation {
    from_ms: u64,
    to_ms: u64,
    /// If set, only members of this region are checked.
    region: Option<usize>,
    /// The exact number of members considered alive.
    alive: Option<usize>,
    /// The minimum number of members considered alive.
    min_alive: Option<usize>,
    /// The exact number of expected members.
    expected: Option<usize>,
    /// The maximum number of reachable members.
    max_reachable: Option<usize>,
    /// The minimum number of reachable members.
    min_reachable: Option<usize>,
    /// The exact number of VMs known to be leaving.
    listed_leaving: Option<usize>,
    /// A member that must be recorded as leaving or gone.
    left: Option<usize>,
    /// Whether every record must carry the latest incarnation of its member.
    #[serde(default)]
    is_last_incarnation: bool,
    /// The maximum mean number of bytes that a member may send per second.
    max_bytes_per_s: Option<u64>,
}

#[derive(Clone, Debug)]
enum Message {
    Gossip(Gossip),
    GossipAnswer(Gossip),
    IndirectProbe(usize),
    TargetReached,
    Synchronise(Vec<u64>, usize),
    Records(Vec<MemberRecord>),
}

#[derive(Clone, Debug)]
enum Event {
    Wake(usize),
    MessageArrived {
        from: usize,
        to: usize,
        exchange: u64,
        message: Message,
    },
    ExchangeTimedOut(usize, u64),
    ReadTable(usize),
    ReadPlatformList,
    CheckExpectations,
    Kill(usize),
    Restart(usize),
    Leave(usize),
}

/// What a pending exchange is for.
#[derive(Clone, Debug)]
enum Purpose {
    Probe(u64),
    IndirectProbe(u64),
    OnBehalfOf { asker: usize, exchange: u64 },
    Synchronise,
}

/// Runs the scenario and returns the expectations that did not hold.
///
/// The run stops at the first check that fails.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while world.violations.is_empty()
        && let Some(event) = world.sim.next_before(world.body.end_ms)
    {
        world.handle(event);
    }
    world.violations
}

struct World {
    body: Body,
    sim: Sim<Event>,
    members: Vec<Membership>,
    /// The index of each member's region.
    region_of: Vec<usize>,
    is_running: Vec<bool>,
    pending: BTreeMap<u64, (usize, Purpose)>,
    last_exchange: u64,
    table: BTreeMap<Name, MemberRecord>,
    sent_bytes: Vec<u64>,
    violations: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        let region_of: Vec<usize> = body
            .regions
            .iter()
            .enumerate()
            .flat_map(|(region, count)| vec![region; *count])
            .collect();
        let record = |index: usize| {
            let data_centre = index % body.data_centres_per_region;
            let data_centre = format!("dc-{}-{data_centre}", region_of[index]);
            member_record(index, data_centre.into())
        };
        let records: Vec<MemberRecord> = (0..region_of.len()).map(record).collect();
        for member in 0..region_of.len() {
            sim.schedule_at(member as u64 * 37 % 1_000, Event::Wake(member));
        }
        sim.schedule_at(0, Event::CheckExpectations);
        sim.schedule_at(PLATFORM_LIST_INTERVAL_MS, Event::ReadPlatformList);
        body.kills
            .iter()
            .for_each(|kill| sim.schedule_at(kill.at_ms, Event::Kill(kill.member)));
        body.restarts
            .iter()
            .for_each(|start| sim.schedule_at(start.at_ms, Event::Restart(start.member)));
        body.leaves
            .iter()
            .for_each(|leave| sim.schedule_at(leave.at_ms, Event::Leave(leave.member)));
        Self {
            body,
            sim,
            is_running: vec![true; region_of.len()],
            sent_bytes: vec![0; region_of.len()],
            region_of,
            pending: BTreeMap::new(),
            last_exchange: 0,
            table: records
                .iter()
                .map(|record| (record.vm.clone(), record.clone()))
                .collect(),
            members: records.into_iter().map(Membership::new).collect(),
            violations: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.sim.now_ms;
        match event {
            Event::Wake(member) => self.wake_member(member),
            Event::MessageArrived {
                from,
                to,
                exchange,
                message,
            } => self.on_message(from, to, exchange, message),
            Event::ExchangeTimedOut(member, exchange) => {
                if let Some(to_ms) = self.paused_until(member) {
                    self.sim
                        .schedule_at(to_ms, Event::ExchangeTimedOut(member, exchange));
                } else {
                    self.end_exchange(member, exchange, None);
                }
            }
            Event::ReadTable(member) => {
                let records = self.table.values().cloned().collect();
                self.notify_member(member, MembershipEvent::RecordsReceived(records));
            }
            Event::ReadPlatformList => self.read_platform_list(),
            Event::CheckExpectations => {
                self.check_expectations();
                self.sim
                    .schedule_at(now_ms + CHECK_INTERVAL_MS, Event::CheckExpectations);
            }
            Event::Kill(member) => self.is_running[member] = false,
            Event::Restart(member) => self.restart(member),
            Event::Leave(member) => self.members[member].leave(),
        }
    }

    fn wake_member(&mut self, member: usize) {
        if !self.is_running[member] {
            return;
        }
        if let Some(to_ms) = self.paused_until(member) {
            self.sim.schedule_at(to_ms, Event::Wake(member));
            return;
        }
        let now_ms = self.sim.now_ms;
        if self.members[member].next_deadline_ms() <= now_ms {
            self.notify_member(member, MembershipEvent::Deadline);
        }
        let next_ms = self.members[member].next_deadline_ms();
        self.sim
            .schedule_at(next_ms.max(now_ms + 1), Event::Wake(member));
    }

    fn notify_member(&mut self, member: usize, event: MembershipEvent) {
        let mut effects = Vec::new();
        let now_ms = self.sim.now_ms;
        self.members[member].handle(now_ms, event, &mut effects);
        for effect in effects {
            self.execute_effect(member, effect);
        }
    }

    fn execute_effect(&mut self, member: usize, effect: MembershipEffect) {
        let now_ms = self.sim.now_ms;
        match effect {
            MembershipEffect::Probe { probe, to } => {
                let gossip = self.members[member].build_gossip_request(now_ms, &to.vm);
                let purpose = Purpose::Probe(probe);
                self.send_request(
                    member,
                    member_index(&to.vm),
                    purpose,
                    Message::Gossip(gossip),
                );
            }
            MembershipEffect::ProbeThrough {
                probe,
                through,
                target,
            } => {
                let message = Message::IndirectProbe(member_index(&target.vm));
                self.send_request(
                    member,
                    member_index(&through.vm),
                    Purpose::IndirectProbe(probe),
                    message,
                );
            }
            MembershipEffect::Synchronise {
                with,
                digests,
                first_bucket,
            } => {
                let message = Message::Synchronise(digests.to_vec(), first_bucket);
                self.send_request(
                    member,
                    member_index(&with.vm),
                    Purpose::Synchronise,
                    message,
                );
            }
            MembershipEffect::ReadTable => {
                self.sim.schedule_at(now_ms + 5, Event::ReadTable(member));
            }
            MembershipEffect::DeleteRow { record } => {
                self.table.remove(&record.vm);
            }
            MembershipEffect::LeavingChanged => {}
        }
    }

    fn send_request(&mut self, from: usize, to: usize, purpose: Purpose, message: Message) {
        self.last_exchange += 1;
        let exchange = self.last_exchange;
        self.pending.insert(exchange, (from, purpose));
        let timed_out = Event::ExchangeTimedOut(from, exchange);
        self.sim
            .schedule_at(self.sim.now_ms + EXCHANGE_TIMEOUT_MS, timed_out);
        self.send(from, to, exchange, message);
    }

    fn send(&mut self, from: usize, to: usize, exchange: u64, message: Message) {
        self.sent_bytes[from] += estimate_bytes(&message);
        let is_cut = self.is_cut(from, to);
        if !is_cut {
            let event = Event::MessageArrived {
                from,
                to,
                exchange,
                message,
            };
            self.sim.send(self.body.network, &event);
        }
    }

    fn on_message(&mut self, from: usize, to: usize, exchange: u64, message: Message) {
        if !self.is_running[to] {
            return;
        }
        if let Some(to_ms) = self.paused_until(to) {
            // Messages buffered during a pause are read after it.
            let event = Event::MessageArrived {
                from,
                to,
                exchange,
                message,
            };
            self.sim.schedule_at(to_ms, event);
            return;
        }
        let now_ms = self.sim.now_ms;
        match message {
            Message::Gossip(gossip) => {
                let sender = gossip.from.clone();
                self.notify_member(to, MembershipEvent::GossipReceived(gossip));
                let answer = self.members[to].build_gossip_answer(now_ms, &sender);
                self.send(to, from, exchange, Message::GossipAnswer(answer));
            }
            Message::IndirectProbe(target) => {
                let gossip = self.members[to].build_gossip_request(now_ms, "");
                let purpose = Purpose::OnBehalfOf {
                    asker: from,
                    exchange,
                };
                self.send_request(to, target, purpose, Message::Gossip(gossip));
            }
            Message::Synchronise(digests, first) => {
                let records = self.members[to].differing_records(&digests, first, 64);
                self.send(to, from, exchange, Message::Records(records));
            }
            answer => self.end_exchange(to, exchange, Some(answer)),
        }
    }

    /// Ends a pending exchange, with `answer` unless it timed out.
    fn end_exchange(&mut self, member: usize, exchange: u64, answer: Option<Message>) {
        let is_own = self
            .pending
            .get(&exchange)
            .is_some_and(|(own, _)| *own == member);
        if !is_own || !self.is_running[member] {
            return;
        }
        let Some((_, purpose)) = self.pending.remove(&exchange) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Probe(probe), Some(Message::GossipAnswer(gossip))) => {
                self.notify_member(member, MembershipEvent::ProbeAnswered { probe, gossip });
            }
            (Purpose::Probe(probe), _) => {
                self.notify_member(member, MembershipEvent::ProbeUnanswered { probe });
            }
            (Purpose::IndirectProbe(probe), Some(Message::TargetReached)) => {
                self.notify_member(member, MembershipEvent::ReachedIndirectly { probe });
            }
            (Purpose::OnBehalfOf { asker, exchange }, Some(_)) => {
                self.send(member, asker, exchange, Message::TargetReached);
            }
            (Purpose::Synchronise, Some(Message::Records(records))) => {
                self.notify_member(member, MembershipEvent::RecordsReceived(records));
            }
            _ => {}
        }
    }

    fn restart(&mut self, member: usize) {
        let mut record = self.table[&vm_name(member)].clone();
        record.incarnation += 1;
        self.table.insert(record.vm.clone(), record.clone());
        self.members[member] = Membership::new(record);
        self.pending.retain(|_, (own, _)| *own != member);
        self.is_running[member] = true;
        self.sim.schedule_at(self.sim.now_ms, Event::Wake(member));
    }

    /// Lets one member read the platform's list, each time the next member.
    fn read_platform_list(&mut self) {
        let now_ms = self.sim.now_ms;
        self.sim
            .schedule_at(now_ms + PLATFORM_LIST_INTERVAL_MS, Event::ReadPlatformList);
        let omits_killed = self
            .body
            .list_drops_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms);
        let vms: BTreeSet<Name> = (0..self.members.len())
            .filter(|member| self.is_running[*member] || !omits_killed)
            .map(vm_name)
            .collect();
        let names_leaving_vm = self
            .body
            .list_leaving_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms);
        let leaving = names_leaving_vm
            .then(|| Name::from("sampler-1"))
            .into_iter()
            .collect();
        let round = usize::try_from(now_ms / PLATFORM_LIST_INTERVAL_MS)
            .expect("the round fits into a usize");
        let reader = round % self.members.len();
        if self.is_running[reader] && self.paused_until(reader).is_none() {
            self.notify_member(reader, MembershipEvent::PlatformListRead { vms, leaving });
        }
    }

    fn paused_until(&self, member: usize) -> Option<u64> {
        let now_ms = self.sim.now_ms;
        let mut pauses = self.body.pauses.iter();
        pauses
            .find(|pause| pause.which == member && (pause.from_ms..pause.to_ms).contains(&now_ms))
            .map(|pause| pause.to_ms)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let now_ms = self.sim.now_ms;
        let (from, to) = (self.region_of[from], self.region_of[to]);
        from != to
            && self.body.cuts.iter().any(|cut| {
                (cut.which == from || cut.which == to) && (cut.from_ms..cut.to_ms).contains(&now_ms)
            })
    }

    fn check_expectations(&mut self) {
        let now_ms = self.sim.now_ms;
        for expectation in self.body.expect.clone() {
            if !(expectation.from_ms..expectation.to_ms).contains(&now_ms) {
                continue;
            }
            for member in 0..self.members.len() {
                let applies = expectation
                    .region
                    .is_none_or(|region| region == self.region_of[member]);
                if applies && self.is_running[member] && self.paused_until(member).is_none() {
                    self.check_member(member, &expectation);
                }
            }
        }
    }

    fn check_member(&mut self, member: usize, expectation: &Expectation) {
        let now_ms = self.sim.now_ms;
        let view = &self.members[member];
        let alive = view.members_taking_work().count();
        let reachable = view.count_reachable(now_ms);
        let bytes_per_s = self.sent_bytes[member] * 1_000 / now_ms.max(1);
        let has_latest = view.records().all(|record| {
            !expectation.is_last_incarnation
                || record.incarnation == self.table[&record.vm].incarnation
        });
        let checks = [
            ("alive", alive, expectation.alive, expectation.alive),
            ("alive", alive, expectation.min_alive, None),
            (
                "expected",
                view.count_expected(),
                expectation.expected,
                expectation.expected,
            ),
            (
                "reachable",
                reachable,
                expectation.min_reachable,
                expectation.max_reachable,
            ),
            (
                "leaving",
                view.leaving_vms().len(),
                expectation.listed_leaving,
                expectation.listed_leaving,
            ),
        ];
        for (what, found, min, max) in checks {
            if min.is_some_and(|min| found < min) || max.is_some_and(|max| found > max) {
                self.violations.push(format!(
                    "at {now_ms} ms vm-{member} counts {found} as {what}, \
                     outside {min:?} to {max:?}"
                ));
            }
        }
        let left = expectation.left.map(vm_name);
        let has_left = |record: &MemberRecord| {
            left.as_ref() != Some(&record.vm) || record.state >= MemberState::Leaving
        };
        if !view.records().all(has_left) {
            self.violations.push(format!(
                "at {now_ms} ms vm-{member} does not have {left:?} as leaving"
            ));
        }
        if !has_latest {
            self.violations.push(format!(
                "at {now_ms} ms vm-{member} has a record with an outdated incarnation"
            ));
        }
        if expectation
            .max_bytes_per_s
            .is_some_and(|max| bytes_per_s > max)
        {
            self.violations.push(format!(
                "vm-{member} sent {bytes_per_s} B/s, which is over the limit"
            ));
        }
    }
}

/// Returns the estimated size of a message on the wire.
fn estimate_bytes(message: &Message) -> u64 {
    const HEADER_BYTES: usize = 115;
    let body = match message {
        Message::Gossip(gossip) | Message::GossipAnswer(gossip) => estimate_gossip_bytes(gossip),
        Message::IndirectProbe(_) => 20,
        Message::TargetReached => 1,
        Message::Synchronise(..) => 150,
        Message::Records(records) => 60 * records.len(),
    };
    (HEADER_BYTES + body) as u64
}

fn estimate_gossip_bytes(gossip: &Gossip) -> usize {
    30 + 60 * gossip.records.len() + 12 * (gossip.heard.len() + gossip.leaving.len())
}

fn member_record(member: usize, data_centre: Name) -> MemberRecord {
    let address = |port: usize| format!("127.0.0.1:{}", port + member).parse();
    MemberRecord {
        vm: vm_name(member),
        data_centre,
        caller_address: address(10_000).expect("the address is valid"),
        control_address: address(20_000).expect("the address is valid"),
        incarnation: 1,
        generation: 0,
        state: MemberState::Alive,
    }
}

fn vm_name(member: usize) -> Name {
    format!("vm-{member}").into()
}

fn member_index(vm: &str) -> usize {
    vm.trim_start_matches("vm-")
        .parse()
        .expect("a VM name ends in its index")
}
