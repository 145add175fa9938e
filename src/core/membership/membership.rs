use std::collections::{BTreeMap, BTreeSet};

use super::{
    MembershipEffect, MembershipEvent, member::Member, notices::Notices, queue::Queue,
    reach::Reach, ring::neighbours,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
        rendezvous,
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};

const PERIOD_MS: u64 = 1_000;
const PROBE_TIMEOUT_MS: u64 = 500;
const INDIRECT_TIMEOUT_MS: u64 = 1_000;
const INDIRECT_PROBES: usize = 3;
const UNREACHABLE_EVERY: u64 = 5;
/// How long a member is unreachable before the platform's list may end it.
const LIST_TRUST_MS: u64 = 30_000;
const ALONE_MS: u64 = 5_000;
const MIN_READ_TABLE_MS: u64 = 1_000;
const MAX_READ_TABLE_MS: u64 = 16_000;

#[derive(Clone, Debug)]
struct Probe {
    target: Name,
    incarnation: u64,
    sent_ms: u64,
    deadline_ms: u64,
    is_indirect: bool,
}

/// One member's view of all members.
///
/// # Examples
///
/// ```
/// use chicoryreach::{
///     core::membership::{MembershipEffect, MembershipEvent, Membership},
///     wire::peers::{MemberRecord, MemberState},
/// };
///
/// let record = |vm: &str| MemberRecord {
///     vm: vm.into(),
///     data_centre: "krk-north".into(),
///     caller_address: "10.0.0.1:80".parse().unwrap(),
///     control_address: "10.0.0.1:81".parse().unwrap(),
///     incarnation: 1,
///     generation: 0,
///     state: MemberState::Alive,
/// };
/// let mut members = Membership::new(record("vm-1"));
/// let mut effects = Vec::new();
/// members.handle(0, MembershipEvent::RecordsReceived(vec![record("vm-2")]), &mut effects);
/// members.handle(0, MembershipEvent::Deadline, &mut effects);
/// assert!(effects.iter().any(|effect| matches!(effect, MembershipEffect::Probe { .. })));
/// assert_eq!(members.count_expected(), 2);
/// // Nothing was heard of the other one yet.
/// assert_eq!(members.count_reachable(0), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: Name,
    pub(super) members: BTreeMap<Name, Member>,
    pub(super) news: Queue,
    pub(super) notices: Notices,
    pub(super) reach: Reach,
    probes: BTreeMap<u64, Probe>,
    last_probe: u64,
    next_neighbour: usize,
    turn: u64,
    turn_at_ms: u64,
    pub(super) changed_ms: u64,
    pub(super) synchronise_at_ms: u64,
    pub(super) first_bucket: usize,
    answered_ms: u64,
    read_table_at_ms: u64,
    read_table_wait_ms: u64,
    announce_at_ms: u64,
    /// Whether there is news that is not to wait for the next probes.
    pub(super) is_urgent: bool,
}

impl Membership {
    /// Creates a view that knows only this member.
    #[must_use]
    pub fn new(me: MemberRecord) -> Self {
        let name = me.vm.clone();
        let mut news = Queue::default();
        news.push(name.clone());
        Self {
            me: name.clone(),
            members: BTreeMap::from([(name, Member::new(me))]),
            news,
            notices: Notices::default(),
            reach: Reach::default(),
            probes: BTreeMap::new(),
            last_probe: 0,
            next_neighbour: 0,
            turn: 0,
            turn_at_ms: 0,
            changed_ms: 0,
            synchronise_at_ms: 0,
            first_bucket: 0,
            answered_ms: 0,
            read_table_at_ms: 0,
            read_table_wait_ms: MIN_READ_TABLE_MS,
            announce_at_ms: 0,
            is_urgent: false,
        }
    }

    /// Takes an event and appends what is to be done about it.
    pub fn handle(
        &mut self,
        now_ms: u64,
        event: MembershipEvent,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match event {
            MembershipEvent::Deadline => self.on_deadline(now_ms, effects),
            MembershipEvent::GossipReceived(gossip) => self.absorb(now_ms, gossip, effects),
            MembershipEvent::ProbeAnswered { probe, gossip } => {
                self.on_answer(now_ms, probe, gossip, effects)
            }
            MembershipEvent::ProbeUnanswered { probe } => {
                self.on_unanswered(now_ms, probe, effects)
            }
            MembershipEvent::ReachedIndirectly { probe } => {
                self.probes.remove(&probe);
            }
            MembershipEvent::RecordsReceived(records) => self.learn(now_ms, records),
            MembershipEvent::PlatformListRead { vms, leaving } => {
                self.on_list(now_ms, &vms, &leaving, effects)
            }
            MembershipEvent::UrgentChange => self.is_urgent = true,
        }
        if self.is_urgent {
            self.tell_neighbours(now_ms, effects);
        }
    }

    /// Returns when [`MembershipEvent::Deadline`] is due.
    #[must_use]
    pub fn next_deadline_ms(&self) -> u64 {
        let probes = self.probes.values().map(|probe| probe.deadline_ms);
        let suspicions = self
            .members
            .values()
            .filter_map(|member| member.suspicion_deadline_ms);
        probes.chain(suspicions).fold(self.turn_at_ms, u64::min)
    }

    fn on_deadline(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        self.forgive_own_pause(now_ms);
        let due: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline_ms <= now_ms)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.on_unanswered(now_ms, number, effects);
        }
        self.end_suspicions(now_ms);
        if now_ms < self.turn_at_ms {
            return;
        }
        self.turn += 1;
        self.turn_at_ms = now_ms + PERIOD_MS;
        if self.notices.expire(now_ms) {
            effects.push(MembershipEffect::LeavingChanged);
        }
        self.members
            .retain(|_, member| member.forget_at_ms.is_none_or(|at_ms| now_ms < at_ms));
        self.probe_next(now_ms, effects);
        self.probe_unreachable(now_ms, effects);
        self.read_table_if_alone(now_ms, effects);
    }

    /// After a pause of this member, what did not answer meanwhile proves nothing.
    fn forgive_own_pause(&mut self, now_ms: u64) {
        let late_ms = now_ms.saturating_sub(self.turn_at_ms);
        if self.turn_at_ms == 0 || late_ms < PERIOD_MS {
            return;
        }
        self.probes.clear();
        for member in self.members.values_mut() {
            if let Some(deadline_ms) = &mut member.suspicion_deadline_ms {
                *deadline_ms += late_ms;
            }
        }
    }

    fn probe_next(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        let neighbours = self.neighbours();
        self.next_neighbour += 1;
        if !neighbours.is_empty() {
            let target = neighbours[self.next_neighbour % neighbours.len()].clone();
            self.probe(now_ms, &target, effects);
        }
    }

    /// Tries an unreachable member now and then: that is how a cut heals.
    fn probe_unreachable(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        if !self.turn.is_multiple_of(UNREACHABLE_EVERY) && !self.is_alone() {
            return;
        }
        let key = format!("{}/{}", self.me, self.turn);
        let unreachable = self
            .members
            .values()
            .filter(|member| member.is_expected() && member.unreachable_since_ms.is_some());
        let drawn = unreachable
            .map(|member| member.record.vm.clone())
            .max_by_key(|vm| rendezvous::weight(vm, &key));
        if let Some(target) = drawn {
            self.probe(now_ms, &target, effects);
        }
    }

    fn is_alone(&self) -> bool {
        let answering = self.members.values().filter(|member| member.is_answering());
        answering.count() <= 1
    }

    pub(super) fn neighbours(&self) -> Vec<Name> {
        let answering: Vec<Name> = self
            .members
            .values()
            .filter(|member| member.is_answering())
            .map(|member| member.record.vm.clone())
            .collect();
        neighbours(&answering, &self.me)
    }

    fn probe(&mut self, now_ms: u64, target: &Name, effects: &mut Vec<MembershipEffect>) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        self.last_probe += 1;
        let probe = Probe {
            target: target.clone(),
            incarnation: member.record.incarnation,
            sent_ms: now_ms,
            deadline_ms: now_ms + 2 * PROBE_TIMEOUT_MS,
            is_indirect: false,
        };
        self.probes.insert(self.last_probe, probe);
        effects.push(MembershipEffect::Probe {
            probe: self.last_probe,
            to: member.record.clone(),
        });
    }

    fn on_answer(
        &mut self,
        now_ms: u64,
        probe: u64,
        gossip: Gossip,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if let Some(probe) = self.probes.remove(&probe) {
            self.answered_ms = now_ms;
            self.read_table_wait_ms = MIN_READ_TABLE_MS;
            if let Some(member) = self.members.get_mut(&gossip.from) {
                if member.record.state == MemberState::Leaving {
                    member.suspicion_deadline_ms = None;
                }
                let data_centre = member.record.data_centre.clone();
                self.reach
                    .on_answer(probe.sent_ms, &data_centre, &gossip.heard);
            }
        }
        self.absorb(now_ms, gossip, effects);
    }

    fn on_unanswered(&mut self, now_ms: u64, number: u64, effects: &mut Vec<MembershipEffect>) {
        let Some(mut probe) = self.probes.remove(&number) else {
            return;
        };
        let is_same = self.members.get(&probe.target).is_some_and(|member| {
            member.record.incarnation == probe.incarnation && member.is_answering()
        });
        if !is_same {
            return;
        }
        if probe.is_indirect || !guard::is_on(Guard::Suspicion) {
            self.suspect(now_ms, &probe.target);
            return;
        }
        // Another neighbour is asked at once: in a cut, news would else come
        // only as often as probes happen to go to this side.
        self.probe_next(now_ms, effects);
        probe.is_indirect = true;
        probe.deadline_ms = now_ms + INDIRECT_TIMEOUT_MS;
        let through = self.neighbours();
        let through = through.iter().filter(|name| **name != probe.target);
        let through = through.take(INDIRECT_PROBES);
        let target = &self.members[&probe.target].record;
        effects.extend(through.map(|through| MembershipEffect::ProbeThrough {
            probe: number,
            through: self.members[through].record.clone(),
            target: target.clone(),
        }));
        self.probes.insert(number, probe);
    }

    fn on_list(
        &mut self,
        now_ms: u64,
        vms: &BTreeSet<Name>,
        leaving: &BTreeSet<Name>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let mut is_leaving_new = false;
        for vm in leaving {
            is_leaving_new |= self.notices.on_listed(now_ms, vm);
        }
        if is_leaving_new {
            self.is_urgent = true;
            effects.push(MembershipEffect::LeavingChanged);
        }
        // A list without this VM is not a list of the daemons' VMs.
        if !vms.contains(&self.me) {
            return;
        }
        let is_over = |member: &Member| {
            member
                .unreachable_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + LIST_TRUST_MS)
                && !vms.contains(&member.record.vm)
        };
        let over: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| member.is_expected() && is_over(member))
            .map(|member| member.record.clone())
            .collect();
        for mut record in over {
            effects.push(MembershipEffect::DeleteRow {
                record: record.clone(),
            });
            record.state = MemberState::Gone;
            self.merge(now_ms, [record]);
        }
    }

    /// Tells all neighbours at once, at most once a period.
    fn tell_neighbours(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        if now_ms < self.announce_at_ms {
            return;
        }
        self.is_urgent = false;
        self.announce_at_ms = now_ms + PERIOD_MS;
        for target in self.neighbours() {
            self.probe(now_ms, &target, effects);
        }
    }

    fn read_table_if_alone(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        let is_alone = now_ms >= self.answered_ms + ALONE_MS;
        if is_alone && now_ms >= self.read_table_at_ms {
            self.read_table_at_ms = now_ms + self.read_table_wait_ms;
            self.read_table_wait_ms = MAX_READ_TABLE_MS.min(2 * self.read_table_wait_ms);
            effects.push(MembershipEffect::ReadTable);
        }
    }
}
