//! Members that probe each other over a faulty network, and a platform's list.

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

const TIMEOUT_MS: u64 = 500;
const LOOK_MS: u64 = 250;
const LIST_EVERY_MS: u64 = 5_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// How many members there are in each region.
    regions: Vec<usize>,
    data_centres_per_region: usize,
    end_ms: u64,
    network: Network,
    #[serde(default)]
    pauses: Vec<Interval>,
    #[serde(default)]
    kills: Vec<Moment>,
    #[serde(default)]
    restarts: Vec<Moment>,
    #[serde(default)]
    leaves: Vec<Moment>,
    /// Regions that hear none of the others for a while.
    #[serde(default)]
    cuts: Vec<Interval>,
    /// When the platform's list loses the VMs that were killed.
    list_drops_at_ms: Option<u64>,
    /// When the platform's list says that a VM leaves.
    list_leaving_at_ms: Option<u64>,
    expect: Vec<Expectation>,
}

/// Something that happens to a member, or a region, at a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Moment {
    member: usize,
    at_ms: u64,
}

/// Something that goes on for a while.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Interval {
    /// The number of the member, or of the region.
    which: usize,
    from_ms: u64,
    to_ms: u64,
}

/// What has to hold, on every member that runs, from a time to another one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expectation {
    from_ms: u64,
    to_ms: u64,
    /// Only on the members of this region.
    region: Option<usize>,
    /// How many members are held alive.
    alive: Option<usize>,
    /// The least number that is held alive.
    min_alive: Option<usize>,
    /// How many members are expected.
    expected: Option<usize>,
    /// The most members that count as reachable.
    max_reachable: Option<usize>,
    /// The least.
    min_reachable: Option<usize>,
    /// How many VMs are known to be leaving.
    listed_leaving: Option<usize>,
    /// The member that is known to leave, or to be gone.
    left: Option<usize>,
    /// Each member's record is that of its last start.
    #[serde(default)]
    is_last_incarnation: bool,
    /// The most bytes that one member may have sent a second, in the mean.
    max_bytes_per_s: Option<u64>,
}

#[derive(Clone, Debug)]
enum Message {
    Gossip(Gossip),
    Answer(Gossip),
    Probe(usize),
    Reached,
    Synchronise(Vec<u64>, usize),
    Records(Vec<MemberRecord>),
}

#[derive(Clone, Debug)]
enum Step {
    Wake(usize),
    Arrives {
        from: usize,
        to: usize,
        exchange: u64,
        message: Message,
    },
    TimedOut(usize, u64),
    ReadTable(usize),
    List,
    Look,
    Kill(usize),
    Restart(usize),
    Leave(usize),
}

/// Why a member sent a request.
#[derive(Clone, Debug)]
enum Purpose {
    Probe(u64),
    Through(u64),
    ForOther { asker: usize, exchange: u64 },
    Synchronise,
}

/// Plays members that come and go; an expectation that does not hold breaks
/// the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while world.broken.is_empty()
        && let Some(event) = world.sim.next_before(world.body.end_ms)
    {
        world.handle(event);
    }
    world.broken
}

struct World {
    body: Body,
    sim: Sim<Step>,
    members: Vec<Membership>,
    region: Vec<usize>,
    is_running: Vec<bool>,
    pending: BTreeMap<u64, (usize, Purpose)>,
    exchanges: u64,
    table: BTreeMap<Name, MemberRecord>,
    sent_bytes: Vec<u64>,
    broken: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        let region: Vec<usize> = body
            .regions
            .iter()
            .enumerate()
            .flat_map(|(region, count)| vec![region; *count])
            .collect();
        let record = |number: usize| {
            let data_centre = number % body.data_centres_per_region;
            let data_centre = format!("dc-{}-{data_centre}", region[number]);
            record(number, data_centre.into())
        };
        let records: Vec<MemberRecord> = (0..region.len()).map(record).collect();
        for member in 0..region.len() {
            sim.at(member as u64 * 37 % 1_000, Step::Wake(member));
        }
        sim.at(0, Step::Look);
        sim.at(LIST_EVERY_MS, Step::List);
        body.kills
            .iter()
            .for_each(|kill| sim.at(kill.at_ms, Step::Kill(kill.member)));
        body.restarts
            .iter()
            .for_each(|start| sim.at(start.at_ms, Step::Restart(start.member)));
        body.leaves
            .iter()
            .for_each(|leave| sim.at(leave.at_ms, Step::Leave(leave.member)));
        Self {
            body,
            sim,
            is_running: vec![true; region.len()],
            sent_bytes: vec![0; region.len()],
            region,
            pending: BTreeMap::new(),
            exchanges: 0,
            table: records
                .iter()
                .map(|record| (record.vm.clone(), record.clone()))
                .collect(),
            members: records.into_iter().map(Membership::new).collect(),
            broken: Vec::new(),
        }
    }

    fn handle(&mut self, event: Step) {
        let now_ms = self.sim.now_ms;
        match event {
            Step::Wake(member) => self.wake(member),
            Step::Arrives {
                from,
                to,
                exchange,
                message,
            } => self.arrive(from, to, exchange, message),
            Step::TimedOut(member, exchange) => {
                if let Some(to_ms) = self.paused_until(member) {
                    self.sim.at(to_ms, Step::TimedOut(member, exchange));
                } else {
                    self.end_exchange(member, exchange, None);
                }
            }
            Step::ReadTable(member) => {
                let records = self.table.values().cloned().collect();
                self.tell(member, MembershipEvent::RecordsReceived(records));
            }
            Step::List => self.read_list(),
            Step::Look => {
                self.look();
                self.sim.at(now_ms + LOOK_MS, Step::Look);
            }
            Step::Kill(member) => self.is_running[member] = false,
            Step::Restart(member) => self.restart(member),
            Step::Leave(member) => self.members[member].leave(),
        }
    }

    fn wake(&mut self, member: usize) {
        if !self.is_running[member] {
            return;
        }
        if let Some(to_ms) = self.paused_until(member) {
            self.sim.at(to_ms, Step::Wake(member));
            return;
        }
        let now_ms = self.sim.now_ms;
        if self.members[member].next_deadline_ms() <= now_ms {
            self.tell(member, MembershipEvent::Deadline);
        }
        let next_ms = self.members[member].next_deadline_ms();
        self.sim.at(next_ms.max(now_ms + 1), Step::Wake(member));
    }

    fn tell(&mut self, member: usize, event: MembershipEvent) {
        let mut effects = Vec::new();
        let now_ms = self.sim.now_ms;
        self.members[member].handle(now_ms, event, &mut effects);
        for effect in effects {
            self.carry_out(member, effect);
        }
    }

    fn carry_out(&mut self, member: usize, effect: MembershipEffect) {
        let now_ms = self.sim.now_ms;
        match effect {
            MembershipEffect::Probe { probe, to } => {
                let gossip = self.members[member].build_gossip_request(now_ms, &to.vm);
                let purpose = Purpose::Probe(probe);
                self.request(member, number(&to.vm), purpose, Message::Gossip(gossip));
            }
            MembershipEffect::ProbeThrough {
                probe,
                through,
                target,
            } => {
                let message = Message::Probe(number(&target.vm));
                self.request(
                    member,
                    number(&through.vm),
                    Purpose::Through(probe),
                    message,
                );
            }
            MembershipEffect::Synchronise {
                with,
                digests,
                first_bucket,
            } => {
                let message = Message::Synchronise(digests.to_vec(), first_bucket);
                self.request(member, number(&with.vm), Purpose::Synchronise, message);
            }
            MembershipEffect::ReadTable => self.sim.at(now_ms + 5, Step::ReadTable(member)),
            MembershipEffect::DeleteRow { record } => {
                self.table.remove(&record.vm);
            }
            MembershipEffect::LeavingChanged => {}
        }
    }

    fn request(&mut self, from: usize, to: usize, purpose: Purpose, message: Message) {
        self.exchanges += 1;
        let exchange = self.exchanges;
        self.pending.insert(exchange, (from, purpose));
        let timed_out = Step::TimedOut(from, exchange);
        self.sim.at(self.sim.now_ms + TIMEOUT_MS, timed_out);
        self.send(from, to, exchange, message);
    }

    fn send(&mut self, from: usize, to: usize, exchange: u64, message: Message) {
        self.sent_bytes[from] += size(&message);
        let is_cut = self.is_cut(from, to);
        if !is_cut {
            let event = Step::Arrives {
                from,
                to,
                exchange,
                message,
            };
            self.sim.send(self.body.network, &event);
        }
    }

    fn arrive(&mut self, from: usize, to: usize, exchange: u64, message: Message) {
        if !self.is_running[to] {
            return;
        }
        if let Some(to_ms) = self.paused_until(to) {
            // What waits in the buffers is read after the pause.
            let event = Step::Arrives {
                from,
                to,
                exchange,
                message,
            };
            self.sim.at(to_ms, event);
            return;
        }
        let now_ms = self.sim.now_ms;
        match message {
            Message::Gossip(gossip) => {
                let sender = gossip.from.clone();
                self.tell(to, MembershipEvent::GossipReceived(gossip));
                let answer = self.members[to].build_gossip_answer(now_ms, &sender);
                self.send(to, from, exchange, Message::Answer(answer));
            }
            Message::Probe(target) => {
                let gossip = self.members[to].build_gossip_request(now_ms, "");
                let purpose = Purpose::ForOther {
                    asker: from,
                    exchange,
                };
                self.request(to, target, purpose, Message::Gossip(gossip));
            }
            Message::Synchronise(digests, first) => {
                let records = self.members[to].differing_records(&digests, first, 64);
                self.send(to, from, exchange, Message::Records(records));
            }
            answer => self.end_exchange(to, exchange, Some(answer)),
        }
    }

    /// Ends an exchange with its answer, or without one.
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
            (Purpose::Probe(probe), Some(Message::Answer(gossip))) => {
                self.tell(member, MembershipEvent::ProbeAnswered { probe, gossip });
            }
            (Purpose::Probe(probe), _) => {
                self.tell(member, MembershipEvent::ProbeUnanswered { probe });
            }
            (Purpose::Through(probe), Some(Message::Reached)) => {
                self.tell(member, MembershipEvent::ReachedIndirectly { probe });
            }
            (Purpose::ForOther { asker, exchange }, Some(_)) => {
                self.send(member, asker, exchange, Message::Reached);
            }
            (Purpose::Synchronise, Some(Message::Records(records))) => {
                self.tell(member, MembershipEvent::RecordsReceived(records));
            }
            _ => {}
        }
    }

    fn restart(&mut self, member: usize) {
        let mut record = self.table[&name(member)].clone();
        record.incarnation += 1;
        self.table.insert(record.vm.clone(), record.clone());
        self.members[member] = Membership::new(record);
        self.pending.retain(|_, (own, _)| *own != member);
        self.is_running[member] = true;
        self.sim.at(self.sim.now_ms, Step::Wake(member));
    }

    /// One member reads the platform's list, which lags.
    fn read_list(&mut self) {
        let now_ms = self.sim.now_ms;
        self.sim.at(now_ms + LIST_EVERY_MS, Step::List);
        let drops = self
            .body
            .list_drops_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms);
        let vms: BTreeSet<Name> = (0..self.members.len())
            .filter(|member| self.is_running[*member] || !drops)
            .map(name)
            .collect();
        let leaves = self
            .body
            .list_leaving_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms);
        let leaving = leaves
            .then(|| Name::from("sampler-1"))
            .into_iter()
            .collect();
        let turn = usize::try_from(now_ms / LIST_EVERY_MS).expect("it fits");
        let reader = turn % self.members.len();
        if self.is_running[reader] && self.paused_until(reader).is_none() {
            self.tell(reader, MembershipEvent::PlatformListRead { vms, leaving });
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
        let (from, to) = (self.region[from], self.region[to]);
        from != to
            && self.body.cuts.iter().any(|cut| {
                (cut.which == from || cut.which == to) && (cut.from_ms..cut.to_ms).contains(&now_ms)
            })
    }

    fn look(&mut self) {
        let now_ms = self.sim.now_ms;
        for expectation in self.body.expect.clone() {
            if !(expectation.from_ms..expectation.to_ms).contains(&now_ms) {
                continue;
            }
            for member in 0..self.members.len() {
                let is_meant = expectation
                    .region
                    .is_none_or(|region| region == self.region[member]);
                if is_meant && self.is_running[member] && self.paused_until(member).is_none() {
                    self.check(member, &expectation);
                }
            }
        }
    }

    fn check(&mut self, member: usize, expectation: &Expectation) {
        let now_ms = self.sim.now_ms;
        let view = &self.members[member];
        let alive = view.alive().count();
        let reachable = view.count_reachable(now_ms);
        let bytes_per_s = self.sent_bytes[member] * 1_000 / now_ms.max(1);
        let is_last = view.records().all(|record| {
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
                self.broken.push(format!(
                    "at {now_ms} ms vm-{member} holds {found} {what}, not {min:?} to {max:?}"
                ));
            }
        }
        let left = expectation.left.map(name);
        let has_left = |record: &MemberRecord| {
            left.as_ref() != Some(&record.vm) || record.state >= MemberState::Leaving
        };
        if !view.records().all(has_left) {
            self.broken.push(format!(
                "at {now_ms} ms vm-{member} does not know that {left:?} leaves"
            ));
        }
        if !is_last {
            self.broken.push(format!(
                "at {now_ms} ms vm-{member} holds an old incarnation"
            ));
        }
        if expectation
            .max_bytes_per_s
            .is_some_and(|most| bytes_per_s > most)
        {
            self.broken
                .push(format!("vm-{member} sent {bytes_per_s} B/s"));
        }
    }
}

fn size(message: &Message) -> u64 {
    const HEAD: usize = 115;
    let body = match message {
        Message::Gossip(gossip) | Message::Answer(gossip) => gossip_size(gossip),
        Message::Probe(_) => 20,
        Message::Reached => 1,
        Message::Synchronise(..) => 150,
        Message::Records(records) => 60 * records.len(),
    };
    (HEAD + body) as u64
}

fn gossip_size(gossip: &Gossip) -> usize {
    30 + 60 * gossip.records.len() + 12 * (gossip.heard.len() + gossip.leaving.len())
}

fn record(member: usize, data_centre: Name) -> MemberRecord {
    let address = |port: usize| format!("127.0.0.1:{}", port + member).parse();
    MemberRecord {
        vm: name(member),
        data_centre,
        caller_address: address(10_000).expect("the address is valid"),
        control_address: address(20_000).expect("the address is valid"),
        incarnation: 1,
        generation: 0,
        state: MemberState::Alive,
    }
}

fn name(member: usize) -> Name {
    format!("vm-{member}").into()
}

fn number(vm: &str) -> usize {
    vm.trim_start_matches("vm-")
        .parse()
        .expect("the name ends in a number")
}
