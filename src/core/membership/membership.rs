use std::collections::{BTreeMap, BTreeSet};

use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};

use super::{
    BUCKETS, Digests, Effect, Event,
    digest::{bucket, digests, summary},
    member::Member,
    notices::{NOTICE_MS, Notices},
    queue::Queue,
    reach::Reach,
    ring::neighbours,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
        rendezvous,
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};

/// The most records in one message.
pub const MAX_RECORDS: usize = 24;

const PERIOD_MS: u64 = 1_000;
const PROBE_TIMEOUT_MS: u64 = 500;
const INDIRECT_TIMEOUT_MS: u64 = 1_000;
const INDIRECT_PROBES: usize = 3;
const SUSPICION_MS: u64 = 4_000;
/// How much longer a suspicion waits while many members are suspected at once.
const MASS_FACTOR: u64 = 3;
const MAX_NOTICES: usize = 24;
const UNREACHABLE_EVERY: u64 = 5;
const FORGET_MS: u64 = 600_000;
/// How long a member is unreachable before the platform's list may end it.
const LIST_TRUST_MS: u64 = 30_000;
const SETTLED_MS: u64 = 3_000;
const SYNCHRONISE_MS: u64 = 2_000;
const ALONE_MS: u64 = 5_000;
const MIN_READ_TABLE_MS: u64 = 1_000;
const MAX_READ_TABLE_MS: u64 = 16_000;
const MAX_ADDRESSES: usize = 16;
const MIN_FAR_ADDRESSES: usize = 4;

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
///     core::membership::{Effect, Event, Membership},
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
/// members.handle(0, Event::Records(vec![record("vm-2")]), &mut effects);
/// members.handle(0, Event::Deadline, &mut effects);
/// assert!(effects.iter().any(|effect| matches!(effect, Effect::Probe { .. })));
/// assert_eq!(members.expected(), 2);
/// // Nothing was heard of the other one yet.
/// assert_eq!(members.reachable(0), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    me: Name,
    members: BTreeMap<Name, Member>,
    news: Queue,
    notices: Notices,
    reach: Reach,
    probes: BTreeMap<u64, Probe>,
    last_probe: u64,
    turn: u64,
    turn_at_ms: u64,
    changed_ms: u64,
    synchronise_at_ms: u64,
    first_bucket: usize,
    answered_ms: u64,
    read_table_at_ms: u64,
    read_table_wait_ms: u64,
    announce_at_ms: u64,
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
            turn: 0,
            turn_at_ms: 0,
            changed_ms: 0,
            synchronise_at_ms: 0,
            first_bucket: 0,
            answered_ms: 0,
            read_table_at_ms: 0,
            read_table_wait_ms: MIN_READ_TABLE_MS,
            announce_at_ms: 0,
        }
    }

    /// Takes an event and appends what is to be done about it.
    pub fn handle(&mut self, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Deadline => self.on_deadline(now_ms, effects),
            Event::Received(gossip) => self.absorb(now_ms, gossip, effects),
            Event::Answered { probe, gossip } => self.on_answer(now_ms, probe, gossip, effects),
            Event::Unanswered { probe } => self.on_unanswered(now_ms, probe, effects),
            Event::Confirmed { probe } => {
                self.probes.remove(&probe);
            }
            Event::Records(records) => self.merge(now_ms, records),
            Event::Listed { vms, leaving } => self.on_list(now_ms, &vms, &leaving, effects),
            Event::Changed => self.on_changed(now_ms, effects),
        }
    }

    /// Returns when [`Event::Deadline`] is due.
    #[must_use]
    pub fn next_deadline_ms(&self) -> u64 {
        let probes = self.probes.values().map(|probe| probe.deadline_ms);
        let suspicions = self
            .members
            .values()
            .filter_map(|member| member.suspicion_deadline_ms);
        probes.chain(suspicions).fold(self.turn_at_ms, u64::min)
    }

    /// Returns the message for a member: what is new, and what is held of it.
    ///
    /// A member that is suspected has to hear of it to refute it.
    pub fn request(&mut self, now_ms: u64, to: &str) -> Gossip {
        let max_sends = self.max_sends();
        let mut names = self.news.take(MAX_RECORDS, max_sends);
        let is_doubted = self.members.get(to).is_some_and(|member| {
            matches!(
                member.record.state,
                MemberState::Suspect | MemberState::Gone
            )
        });
        if is_doubted && !names.iter().any(|name| &**name == to) {
            names.push(to.into());
        }
        let records = names
            .iter()
            .filter_map(|name| Some(self.members.get(name)?.record.clone()));
        Gossip {
            from: self.me.clone(),
            config_number: 0,
            records: records.collect(),
            crashes: Vec::new(),
            digest: summary(&self.digests()),
            heard: Vec::new(),
            leaving: self.notices.take(now_ms, MAX_NOTICES, max_sends),
        }
    }

    /// Returns the answer to a member's message.
    pub fn answer(&mut self, now_ms: u64, to: &str) -> Gossip {
        Gossip {
            heard: self.reach.ages(now_ms),
            ..self.request(now_ms, to)
        }
    }

    /// Returns up to `limit` records of buckets that differ from a member's.
    #[must_use]
    pub fn differing(
        &self,
        request: &[u64],
        first_bucket: usize,
        limit: usize,
    ) -> Vec<MemberRecord> {
        let own = self.digests();
        let order = (0..BUCKETS).map(|step| (first_bucket % BUCKETS + step) % BUCKETS);
        let differing = order.filter(|index| request.get(*index) != Some(&own[*index]));
        differing
            .flat_map(|index| {
                self.records()
                    .filter(move |record| bucket(&record.vm) == index)
            })
            .take(limit)
            .cloned()
            .collect()
    }

    /// Announces that this member shuts down.
    pub fn leave(&mut self) {
        self.update_me(|me| me.state = MemberState::Leaving);
    }

    /// Returns this member's own record.
    ///
    /// # Panics
    ///
    /// Never: the own record is always known.
    #[must_use]
    pub fn me(&self) -> &MemberRecord {
        &self.members[&self.me].record
    }

    /// Returns every record known, in the order of names.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the members that take work.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|member| member.takes_work())
            .map(|member| &member.record)
    }

    /// Returns whether a member does not answer any more.
    #[must_use]
    pub fn is_unreachable(&self, vm: &str) -> bool {
        self.members
            .get(vm)
            .is_some_and(|member| member.unreachable_since_ms.is_some())
    }

    /// Returns how many members there are, with this one: all that are not
    /// gone for good, whether or not they can be reached.
    #[must_use]
    pub fn expected(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.is_expected())
            .count()
    }

    /// Returns the records of the members that [`Membership::expected`] counts.
    pub fn expected_records(&self) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.values();
        let expected = members.filter(|member| member.is_expected());
        expected.map(|member| &member.record)
    }

    /// Returns how many members, with this one, were lately heard of, directly
    /// or through others.
    ///
    /// A member counts while it is not unreachable and its data centre was
    /// heard of within [`super::REACHABLE_MS`].
    #[must_use]
    pub fn reachable(&self, now_ms: u64) -> usize {
        let is_heard = |member: &Member| {
            !guard::is_on(Guard::ReachEvidence)
                || member.record.vm == self.me
                || self.reach.is_reachable(now_ms, &member.record.data_centre)
        };
        self.members
            .values()
            .filter(|member| member.is_answering() && is_heard(member))
            .count()
    }

    /// Returns the VMs that the platform is about to take away.
    #[must_use]
    pub fn listed_leaving(&self) -> BTreeSet<Name> {
        self.notices.leaving()
    }

    /// Draws the members to which a caller is sent: a bounded number of those
    /// that take work, those of the data centre `near` first.
    ///
    /// Each caller gets a draw of its own, so that callers spread.
    pub fn draw_addresses<R>(&self, near: &str, rng: &mut R) -> Vec<&MemberRecord>
    where
        R: Rng,
    {
        let is_near = |record: &&MemberRecord| &*record.data_centre == near;
        let near_count = MAX_ADDRESSES - MIN_FAR_ADDRESSES;
        let mut drawn = self
            .alive()
            .filter(is_near)
            .choose_multiple(rng, near_count);
        drawn.shuffle(rng);
        let far_count = MAX_ADDRESSES - drawn.len();
        let far = self.alive().filter(|record| !is_near(record));
        let mut far = far.choose_multiple(rng, far_count);
        far.shuffle(rng);
        drawn.extend(far);
        drawn
    }

    fn on_deadline(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
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
            effects.push(Effect::LeavingChanged);
        }
        self.members
            .retain(|_, member| member.forget_at_ms.is_none_or(|at_ms| now_ms < at_ms));
        self.probe_next(now_ms, effects);
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

    fn probe_next(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let neighbours = self.neighbours();
        let turn = usize::try_from(self.turn).unwrap_or_default();
        if !neighbours.is_empty() {
            let target = neighbours[turn % neighbours.len()].clone();
            self.probe(now_ms, &target, effects);
        }
        // Unreachable members are tried now and then: that is how a cut heals.
        if self.turn.is_multiple_of(UNREACHABLE_EVERY) || neighbours.is_empty() {
            let turn = self.turn.to_string();
            let unreachable = self
                .members
                .values()
                .filter(|member| member.is_expected() && member.unreachable_since_ms.is_some());
            let drawn = unreachable
                .map(|member| member.record.vm.clone())
                .max_by_key(|vm| rendezvous::weight(vm, &format!("{}{turn}", self.me)));
            if let Some(target) = drawn {
                self.probe(now_ms, &target, effects);
            }
        }
    }

    fn neighbours(&self) -> Vec<Name> {
        let answering: Vec<Name> = self
            .members
            .values()
            .filter(|member| member.is_answering())
            .map(|member| member.record.vm.clone())
            .collect();
        neighbours(&answering, &self.me)
    }

    fn probe(&mut self, now_ms: u64, target: &Name, effects: &mut Vec<Effect>) {
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
        effects.push(Effect::Probe {
            probe: self.last_probe,
            to: member.record.clone(),
        });
    }

    fn on_answer(&mut self, now_ms: u64, probe: u64, gossip: Gossip, effects: &mut Vec<Effect>) {
        if let Some(probe) = self.probes.remove(&probe) {
            self.answered_ms = now_ms;
            self.read_table_wait_ms = MIN_READ_TABLE_MS;
            if let Some(member) = self.members.get(&gossip.from) {
                let data_centre = member.record.data_centre.clone();
                self.reach
                    .on_answer(probe.sent_ms, &data_centre, &gossip.heard);
            }
        }
        self.absorb(now_ms, gossip, effects);
    }

    fn absorb(&mut self, now_ms: u64, gossip: Gossip, effects: &mut Vec<Effect>) {
        let mut is_leaving_new = false;
        for notice in &gossip.leaving {
            is_leaving_new |= self.notices.add(now_ms, &notice.vm, notice.remaining_ms);
        }
        if is_leaving_new {
            effects.push(Effect::LeavingChanged);
        }
        self.merge(now_ms, gossip.records);
        let digests = self.digests();
        let is_settled = now_ms >= self.changed_ms + SETTLED_MS;
        let is_due = now_ms >= self.synchronise_at_ms && (is_settled || self.members.len() == 1);
        if gossip.digest == summary(&digests) || !is_due || !guard::is_on(Guard::AntiEntropy) {
            return;
        }
        let Some(with) = self.members.get(&gossip.from) else {
            return;
        };
        effects.push(Effect::Synchronise {
            with: with.record.clone(),
            digests,
            first_bucket: self.first_bucket,
        });
        self.first_bucket = (self.first_bucket + 1) % BUCKETS;
        self.synchronise_at_ms = now_ms + SYNCHRONISE_MS;
    }

    fn on_unanswered(&mut self, now_ms: u64, number: u64, effects: &mut Vec<Effect>) {
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
        probe.is_indirect = true;
        probe.deadline_ms = now_ms + INDIRECT_TIMEOUT_MS;
        let through = self.neighbours();
        let through = through.iter().filter(|name| **name != probe.target);
        let through = through.take(INDIRECT_PROBES);
        let target = &self.members[&probe.target].record;
        effects.extend(through.map(|through| Effect::ProbeThrough {
            probe: number,
            through: self.members[through].record.clone(),
            target: target.clone(),
        }));
        self.probes.insert(number, probe);
    }

    fn suspect(&mut self, now_ms: u64, target: &Name) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        let mut record = member.record.clone();
        record.state = match record.state {
            // It said that it leaves, so it has left.
            MemberState::Leaving => MemberState::Gone,
            _ => MemberState::Suspect,
        };
        self.merge(now_ms, [record]);
        if !guard::is_on(Guard::Suspicion) {
            self.end_suspicion(now_ms, target);
        }
    }

    fn end_suspicions(&mut self, now_ms: u64) {
        let due: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member
                    .suspicion_deadline_ms
                    .is_some_and(|deadline_ms| deadline_ms <= now_ms)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.end_suspicion(now_ms, &name);
        }
    }

    fn end_suspicion(&mut self, now_ms: u64, name: &Name) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.suspicion_deadline_ms = None;
        member.unreachable_since_ms = Some(now_ms);
        if !guard::is_on(Guard::KeepUnreachable) {
            member.record.state = MemberState::Gone;
            member.forget_at_ms = Some(now_ms + FORGET_MS);
        }
    }

    fn on_list(
        &mut self,
        now_ms: u64,
        vms: &BTreeSet<Name>,
        leaving: &BTreeSet<Name>,
        effects: &mut Vec<Effect>,
    ) {
        let mut is_leaving_new = false;
        for vm in leaving {
            is_leaving_new |= self.notices.add(now_ms, vm, NOTICE_MS);
        }
        if is_leaving_new {
            effects.push(Effect::LeavingChanged);
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
            effects.push(Effect::DeleteRow {
                record: record.clone(),
            });
            record.state = MemberState::Gone;
            self.merge(now_ms, [record]);
        }
    }

    /// Tells all neighbours at once, at most once a period.
    fn on_changed(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.announce_at_ms {
            return;
        }
        self.announce_at_ms = now_ms + PERIOD_MS;
        for target in self.neighbours() {
            self.probe(now_ms, &target, effects);
        }
    }

    fn read_table_if_alone(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let is_alone = now_ms >= self.answered_ms + ALONE_MS;
        if is_alone && now_ms >= self.read_table_at_ms {
            self.read_table_at_ms = now_ms + self.read_table_wait_ms;
            self.read_table_wait_ms = MAX_READ_TABLE_MS.min(2 * self.read_table_wait_ms);
            effects.push(Effect::ReadTable);
        }
    }

    fn merge<I>(&mut self, now_ms: u64, records: I)
    where
        I: IntoIterator<Item = MemberRecord>,
    {
        for record in records {
            if record.vm == self.me {
                self.refute(now_ms, &record);
            } else {
                self.merge_other(now_ms, record);
            }
        }
    }

    fn refute(&mut self, now_ms: u64, told: &MemberRecord) {
        let me = self.me();
        let is_doubted = matches!(told.state, MemberState::Suspect | MemberState::Gone);
        if told.incarnation == me.incarnation && told.generation >= me.generation && is_doubted {
            let generation = told.generation + 1;
            self.update_me(|me| me.generation = generation);
            self.changed_ms = now_ms;
        }
    }

    fn update_me<F>(&mut self, update: F)
    where
        F: FnOnce(&mut MemberRecord),
    {
        if let Some(me) = self.members.get_mut(&self.me) {
            update(&mut me.record);
            self.news.push(self.me.clone());
        }
    }

    fn merge_other(&mut self, now_ms: u64, record: MemberRecord) {
        let known = self.members.get(&record.vm);
        if known.is_some_and(|known| rank(&record) <= rank(&known.record)) {
            return;
        }
        if known.is_none() && record.state == MemberState::Gone {
            return;
        }
        let suspicion_ms = self.suspicion_ms();
        let name = record.vm.clone();
        let state = record.state;
        let mut member = Member::new(record);
        match state {
            MemberState::Suspect => member.suspicion_deadline_ms = Some(now_ms + suspicion_ms),
            MemberState::Gone => member.forget_at_ms = Some(now_ms + FORGET_MS),
            MemberState::Alive | MemberState::Leaving => {}
        }
        self.members.insert(name.clone(), member);
        self.news.push(name);
        self.changed_ms = now_ms;
    }

    /// A quarter of all members suspected at once is rather a cut, or a flood
    /// of old suspicions after it: refutations then need longer to arrive.
    fn suspicion_ms(&self) -> u64 {
        let suspected = self
            .members
            .values()
            .filter(|member| member.suspicion_deadline_ms.is_some())
            .count();
        if suspected * 4 > self.members.len().max(12) {
            SUSPICION_MS * MASS_FACTOR
        } else {
            SUSPICION_MS
        }
    }

    fn digests(&self) -> Digests {
        digests(self.records())
    }

    fn max_sends(&self) -> u32 {
        const FACTOR: u32 = 3;
        FACTOR * (self.members.len() + 1).next_power_of_two().ilog2()
    }
}

fn rank(record: &MemberRecord) -> (u64, u64, MemberState) {
    if guard::is_on(Guard::Incarnation) {
        (record.incarnation, record.generation, record.state)
    } else {
        (0, 0, record.state)
    }
}
