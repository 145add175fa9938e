use std::collections::{BTreeMap, BTreeSet};

use super::{
    MembershipEffect, MembershipEvent, member::Member, notices::LeavingNotices, queue::GossipQueue,
    reachability::Reachability, ring::neighbours,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
        rendezvous,
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};

/// The interval between rounds; each round probes one neighbour.
const ROUND_INTERVAL_MS: u64 = 1_000;
/// Half the time after which a probe without a reported outcome counts as
/// unanswered.
const HALF_PROBE_TIMEOUT_MS: u64 = 500;
/// How long indirect probes have to reach the target before it is suspected.
const INDIRECT_PROBE_TIMEOUT_MS: u64 = 1_000;
/// How many neighbours are asked to probe a member that did not answer.
const INDIRECT_PROBE_COUNT: usize = 3;
/// The interval between probes of an unreachable member, in rounds.
const UNREACHABLE_PROBE_INTERVAL_ROUNDS: u64 = 5;
/// How long a member must be unreachable before its absence from the platform's
/// list makes it count as gone.
const MIN_UNREACHABLE_BEFORE_GONE_MS: u64 = 30_000;
/// How long no probe must have been answered before the table is read.
const NO_ANSWER_TIMEOUT_MS: u64 = 5_000;
/// The first backoff between reads of the table, doubled after each read and
/// reset when a probe is answered.
const MIN_TABLE_READ_BACKOFF_MS: u64 = 1_000;
const MAX_TABLE_READ_BACKOFF_MS: u64 = 16_000;

/// A probe whose outcome is not known yet.
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
/// // The other member has not answered yet.
/// assert_eq!(members.count_reachable(0), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: Name,
    pub(super) members: BTreeMap<Name, Member>,
    pub(super) gossip_queue: GossipQueue,
    pub(super) notices: LeavingNotices,
    pub(super) reachability: Reachability,
    probes: BTreeMap<u64, Probe>,
    last_probe_number: u64,
    neighbour_index: usize,
    round: u64,
    next_round_ms: u64,
    pub(super) last_change_ms: u64,
    pub(super) next_synchronise_ms: u64,
    /// The bucket from which the next synchronisation starts.
    pub(super) first_bucket: usize,
    last_probe_answer_ms: u64,
    next_table_read_ms: u64,
    table_read_backoff_ms: u64,
    next_urgent_gossip_ms: u64,
    /// Whether something must be gossiped without waiting for the next round.
    pub(super) is_urgent: bool,
}

impl Membership {
    /// Creates a view that knows only this member.
    #[must_use]
    pub fn new(me: MemberRecord) -> Self {
        let name = me.vm.clone();
        let mut gossip_queue = GossipQueue::default();
        gossip_queue.push(name.clone());
        Self {
            me: name.clone(),
            members: BTreeMap::from([(name, Member::new(me))]),
            gossip_queue,
            notices: LeavingNotices::default(),
            reachability: Reachability::default(),
            probes: BTreeMap::new(),
            last_probe_number: 0,
            neighbour_index: 0,
            round: 0,
            next_round_ms: 0,
            last_change_ms: 0,
            next_synchronise_ms: 0,
            first_bucket: 0,
            last_probe_answer_ms: 0,
            next_table_read_ms: 0,
            table_read_backoff_ms: MIN_TABLE_READ_BACKOFF_MS,
            next_urgent_gossip_ms: 0,
            is_urgent: false,
        }
    }

    /// Handles an event, and appends the actions to carry out to `effects`.
    pub fn handle(
        &mut self,
        now_ms: u64,
        event: MembershipEvent,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match event {
            MembershipEvent::Deadline => self.on_deadline(now_ms, effects),
            MembershipEvent::GossipReceived(gossip) => self.merge_gossip(now_ms, gossip, effects),
            MembershipEvent::ProbeAnswered { probe, gossip } => {
                self.on_answer(now_ms, probe, gossip, effects);
            }
            MembershipEvent::ProbeUnanswered { probe } => {
                self.on_unanswered(now_ms, probe, effects);
            }
            MembershipEvent::ReachedIndirectly { probe } => {
                self.probes.remove(&probe);
            }
            MembershipEvent::RecordsReceived(records) => self.merge_without_gossip(now_ms, records),
            MembershipEvent::PlatformListRead { vms, leaving } => {
                self.on_list(now_ms, &vms, &leaving, effects);
            }
            MembershipEvent::UrgentChange => self.is_urgent = true,
        }
        if self.is_urgent {
            self.probe_all_neighbours(now_ms, effects);
        }
    }

    /// Returns the time at which [`MembershipEvent::Deadline`] is due.
    #[must_use]
    pub fn next_deadline_ms(&self) -> u64 {
        let probes = self.probes.values().map(|probe| probe.deadline_ms);
        let suspicions = self
            .members
            .values()
            .filter_map(|member| member.suspicion_deadline_ms);
        probes.chain(suspicions).fold(self.next_round_ms, u64::min)
    }

    fn on_deadline(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        self.compensate_own_pause(now_ms);
        let due: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline_ms <= now_ms)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.on_unanswered(now_ms, number, effects);
        }
        self.expire_suspicions(now_ms);
        if now_ms < self.next_round_ms {
            return;
        }
        self.round += 1;
        self.next_round_ms = now_ms + ROUND_INTERVAL_MS;
        if self.notices.expire(now_ms) {
            effects.push(MembershipEffect::LeavingChanged);
        }
        self.members
            .retain(|_, member| member.forget_at_ms.is_none_or(|at_ms| now_ms < at_ms));
        self.probe_next_neighbour(now_ms, effects);
        self.probe_unreachable(now_ms, effects);
        self.read_table_if_unanswered(now_ms, effects);
    }

    /// Discards pending probes and extends suspicions after a pause of this member,
    /// since answers that did not arrive meanwhile are no evidence of a failure.
    fn compensate_own_pause(&mut self, now_ms: u64) {
        let late_ms = now_ms.saturating_sub(self.next_round_ms);
        if self.next_round_ms == 0 || late_ms < ROUND_INTERVAL_MS {
            return;
        }
        self.probes.clear();
        for member in self.members.values_mut() {
            if let Some(deadline_ms) = &mut member.suspicion_deadline_ms {
                *deadline_ms += late_ms;
            }
        }
    }

    fn probe_next_neighbour(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        let neighbours = self.neighbours();
        self.neighbour_index += 1;
        if !neighbours.is_empty() {
            let target = neighbours[self.neighbour_index % neighbours.len()].clone();
            self.probe(now_ms, &target, effects);
        }
    }

    /// Probes one unreachable member every few rounds, or each round while no other
    /// member answers, so that the view recovers after a network partition.
    fn probe_unreachable(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        if !self.round.is_multiple_of(UNREACHABLE_PROBE_INTERVAL_ROUNDS) && !self.is_alone() {
            return;
        }
        let key = format!("{}/{}", self.me, self.round);
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
        self.last_probe_number += 1;
        let probe = Probe {
            target: target.clone(),
            incarnation: member.record.incarnation,
            sent_ms: now_ms,
            deadline_ms: now_ms + 2 * HALF_PROBE_TIMEOUT_MS,
            is_indirect: false,
        };
        self.probes.insert(self.last_probe_number, probe);
        effects.push(MembershipEffect::Probe {
            probe: self.last_probe_number,
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
            self.last_probe_answer_ms = now_ms;
            self.table_read_backoff_ms = MIN_TABLE_READ_BACKOFF_MS;
            if let Some(member) = self.members.get_mut(&gossip.from) {
                if member.record.state == MemberState::Leaving {
                    member.suspicion_deadline_ms = None;
                }
                let data_centre = member.record.data_centre.clone();
                self.reachability
                    .on_answer(probe.sent_ms, &data_centre, &gossip.heard);
            }
        }
        self.merge_gossip(now_ms, gossip, effects);
    }

    fn on_unanswered(&mut self, now_ms: u64, number: u64, effects: &mut Vec<MembershipEffect>) {
        let Some(mut probe) = self.probes.remove(&number) else {
            return;
        };
        let can_be_suspected = self.members.get(&probe.target).is_some_and(|member| {
            member.record.incarnation == probe.incarnation && member.is_answering()
        });
        if !can_be_suspected {
            return;
        }
        if probe.is_indirect || !guard::is_on(Guard::Suspicion) {
            self.suspect(now_ms, &probe.target);
            return;
        }
        // Probes another neighbour at once. In a network partition, gossip would
        // otherwise arrive only when a probe happens to go to this side of it.
        self.probe_next_neighbour(now_ms, effects);
        probe.is_indirect = true;
        probe.deadline_ms = now_ms + INDIRECT_PROBE_TIMEOUT_MS;
        let through = self.neighbours();
        let through = through.iter().filter(|name| **name != probe.target);
        let through = through.take(INDIRECT_PROBE_COUNT);
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
        let mut has_new_leaving = false;
        for vm in leaving {
            has_new_leaving |= self.notices.on_listed(now_ms, vm);
        }
        if has_new_leaving {
            self.is_urgent = true;
            effects.push(MembershipEffect::LeavingChanged);
        }
        // A list that lacks this VM does not list the daemons' VMs.
        if !vms.contains(&self.me) {
            return;
        }
        let is_gone = |member: &Member| {
            member
                .unreachable_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + MIN_UNREACHABLE_BEFORE_GONE_MS)
                && !vms.contains(&member.record.vm)
        };
        let gone: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| member.is_expected() && is_gone(member))
            .map(|member| member.record.clone())
            .collect();
        for mut record in gone {
            effects.push(MembershipEffect::DeleteRow {
                record: record.clone(),
            });
            record.state = MemberState::Gone;
            self.merge_records(now_ms, [record]);
        }
    }

    /// Probes all neighbours at once, at most once per round interval.
    fn probe_all_neighbours(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        if now_ms < self.next_urgent_gossip_ms {
            return;
        }
        self.is_urgent = false;
        self.next_urgent_gossip_ms = now_ms + ROUND_INTERVAL_MS;
        for target in self.neighbours() {
            self.probe(now_ms, &target, effects);
        }
    }

    /// Reads the table, with exponential backoff, while no probe is answered.
    fn read_table_if_unanswered(&mut self, now_ms: u64, effects: &mut Vec<MembershipEffect>) {
        let is_unanswered = now_ms >= self.last_probe_answer_ms + NO_ANSWER_TIMEOUT_MS;
        if is_unanswered && now_ms >= self.next_table_read_ms {
            self.next_table_read_ms = now_ms + self.table_read_backoff_ms;
            self.table_read_backoff_ms =
                MAX_TABLE_READ_BACKOFF_MS.min(2 * self.table_read_backoff_ms);
            effects.push(MembershipEffect::ReadTable);
        }
    }
}
