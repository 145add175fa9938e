use std::collections::{BTreeMap, BTreeSet};

use super::{
    Entry, FreePlaces, RefusalReason, Refused, Verdict,
    drain::DrainRate,
    lane::{Lane, Rank},
    order::{Ordered, start_order},
    returns::{Returns, ceil_div},
};
use crate::core::Name;

/// The bounds of a waiting room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomPolicy {
    /// The most callers that wait, and as much training work: callers push none of it out,
    /// so that it can become overdue.
    pub max_waiting: usize,
    /// After how long work counts as overdue, if half of its time is not over before.
    pub overdue_ms: u64,
    /// One part in so many of the started work is reserved for overdue work.
    pub reserved_part: u64,
}

impl RoomPolicy {
    /// The bounds that `serve` uses.
    ///
    /// With them, overdue work takes about a ninth of the places from more urgent work.
    pub const DEFAULT: Self = Self {
        max_waiting: 256,
        overdue_ms: 2_000,
        reserved_part: 8,
    };
}

/// The work that waits at one VM for the endpoints of one service.
///
/// The next place goes to callers before training, and then to the least work for its
/// value: a step of priority counts fourfold, and what an account was given beyond its fair
/// share of its priority counts as work. Of its own work, an account is given the smallest
/// that can still meet its objective.
///
/// Work that has waited for half of its time, or for [`RoomPolicy::overdue_ms`], is overdue.
/// While any is, one part in [`RoomPolicy::reserved_part`] of the started work goes to the
/// oldest of it, taking turns among callers and training of each priority. So with K of
/// those, each has one part in K x `reserved_part`, whatever else comes.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::shortage::{
///     Entry, FreePlaces, RoomPolicy, Verdict, WaitingRoom, WorkKind,
/// };
///
/// let mut room = WaitingRoom::new(RoomPolicy::DEFAULT);
/// let entry = |id: &str, priority| Entry {
///     id: id.into(),
///     kind: WorkKind::Request,
///     priority,
///     account: None,
///     came_ms: 0,
///     objective_at_ms: 300,
///     deadline_ms: 900,
///     work_ms: 50,
/// };
/// let ordinary = room.enter(entry("a", 5));
/// let urgent = room.enter(entry("b", 0));
/// let start = Verdict::Start { is_reserved: false };
/// assert_eq!(room.advance(0, FreePlaces::of_any_kind(1)), [(urgent, start)]);
/// room.on_started(urgent);
/// assert_eq!(room.advance(40, FreePlaces::of_any_kind(1)), [(ordinary, start)]);
/// ```
#[derive(Clone, Debug)]
pub struct WaitingRoom {
    policy: RoomPolicy,
    next_number: u64,
    waiting: BTreeMap<u64, Entry>,
    /// The work that was told to start and has not been placed yet, and when it was told.
    starting: BTreeMap<u64, (Entry, u64)>,
    /// The work that found no endpoint, and until when it is passed over.
    passed_over_until_ms: BTreeMap<u64, u64>,
    lanes: BTreeMap<Rank, Lane>,
    /// The work that may be started for being overdue, in milliseconds.
    reserved_work_ms: u64,
    /// The started work that has not been counted into the reserved part.
    unreserved_work_ms: u64,
    reserved_starts: u64,
    /// The slots of the endpoints; until it was measured, each is expected to work for us.
    slots: u32,
    drain: DrainRate,
    returns: Returns,
}

/// How long work that found no endpoint is passed over, in milliseconds: it may need
/// weights or software that no free endpoint has.
const PASS_OVER_MS: u64 = 25;
/// For how long work that is starting takes a place before its endpoint counts it, in
/// milliseconds. Work whose content is on trial may start much later.
const MAX_STARTING_MS: u64 = 50;
/// The most reserved work that is kept while no work is overdue, in milliseconds.
const MAX_RESERVED_WORK_MS: u64 = 500;

impl WaitingRoom {
    /// Creates an empty room.
    #[must_use]
    pub const fn new(policy: RoomPolicy) -> Self {
        Self {
            policy,
            next_number: 0,
            waiting: BTreeMap::new(),
            starting: BTreeMap::new(),
            passed_over_until_ms: BTreeMap::new(),
            lanes: BTreeMap::new(),
            reserved_work_ms: 0,
            unreserved_work_ms: 0,
            reserved_starts: 0,
            slots: 1,
            drain: DrainRate::NEW,
            returns: Returns::NEW,
        }
    }

    /// Sets the number of slots of the endpoints, by which room is expected until it was
    /// measured.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Adds work and returns its number; [`WaitingRoom::advance`] decides about it.
    ///
    /// Work of a caller that was refused before keeps the time at which it first came.
    pub fn enter(&mut self, mut entry: Entry) -> u64 {
        if let Some(first_ms) = self.returns.first_came_ms(&entry) {
            entry.came_ms = entry.came_ms.min(first_ms);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.insert_waiting(number, entry);
        number
    }

    /// Returns how many places are taken by work that is starting.
    fn count_starting(&self, now_ms: u64) -> u32 {
        let mut count = 0;
        for (_, told_ms) in self.starting.values() {
            count += u32::from(told_ms + MAX_STARTING_MS > now_ms);
        }
        count
    }

    fn insert_waiting(&mut self, number: u64, entry: Entry) {
        let rank = Rank::of(&entry);
        if !self.has_waiting(rank, entry.account.as_ref()) {
            let lane = self.lanes.entry(rank).or_default();
            lane.on_backlogged(entry.account.as_ref());
        }
        self.waiting.insert(number, entry);
    }

    fn has_waiting(&self, rank: Rank, account: Option<&Name>) -> bool {
        let mut waiting = self.waiting.values();
        waiting.any(|entry| Rank::of(entry) == rank && entry.account.as_ref() == account)
    }

    /// Decides about the work that waits; what is not returned waits on.
    ///
    /// `places` are all free places, those for work that is starting included.
    pub fn advance(&mut self, now_ms: u64, places: FreePlaces) -> Vec<(u64, Verdict)> {
        let mut places = places;
        places.take(self.count_starting(now_ms));
        let mut verdicts = self.refuse_expired(now_ms);
        let order = start_order(now_ms, &self.lanes, &self.waiting);
        verdicts.extend(self.start_in_order(now_ms, places, &order));
        verdicts.extend(self.refuse_hopeless(now_ms, &order));
        if self.waiting.is_empty() {
            self.drain.on_idle();
        } else {
            self.drain.on_busy(now_ms);
        }
        verdicts
    }

    /// Records that work that was told to start has an endpoint.
    pub fn on_started(&mut self, number: u64) {
        if let Some((entry, _)) = self.starting.remove(&number) {
            self.returns.on_start(&entry);
        }
    }

    /// Records that work that was told to start has found no endpoint: it waits on.
    pub fn on_not_placed(&mut self, now_ms: u64, number: u64) {
        let Some((entry, _)) = self.starting.remove(&number) else {
            return;
        };
        let lane = self.lanes.entry(Rank::of(&entry)).or_default();
        lane.on_not_placed(&entry);
        self.passed_over_until_ms
            .insert(number, now_ms + PASS_OVER_MS);
        self.insert_waiting(number, entry);
    }

    /// Removes work that is no longer wanted.
    pub fn leave(&mut self, number: u64) {
        self.waiting.remove(&number);
        self.starting.remove(&number);
        self.passed_over_until_ms.remove(&number);
    }

    /// Returns the number of pieces of work that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits or is starting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.starting.is_empty()
    }

    /// Returns when work that waits is expected to start, if that was measured.
    #[must_use]
    pub fn expected_start_ms(&self, now_ms: u64, number: u64) -> Option<u64> {
        let work_per_ms = self.drain.work_per_ms(now_ms)?;
        let order = start_order(now_ms, &self.lanes, &self.waiting);
        let before = order.iter().take_while(|ordered| ordered.number != number);
        let work_ahead_ms = before.map(|ordered| ordered.entry.work_ms).sum();
        Some(now_ms + ceil_div(work_ahead_ms, work_per_ms))
    }

    /// Refuses what could not be complete in time if it started now.
    fn refuse_expired(&mut self, now_ms: u64) -> Vec<(u64, Verdict)> {
        let is_late =
            |(number, entry): (&u64, &Entry)| entry.is_too_late(now_ms).then_some(*number);
        let late: Vec<u64> = self.waiting.iter().filter_map(is_late).collect();
        let refused = late.into_iter();
        refused
            .filter_map(|number| self.refuse(now_ms, number, RefusalReason::TooLate, 0))
            .collect()
    }

    /// Starts as much work as there are places.
    fn start_in_order(
        &mut self,
        now_ms: u64,
        mut places: FreePlaces,
        order: &[Ordered],
    ) -> Vec<(u64, Verdict)> {
        self.passed_over_until_ms
            .retain(|_, until_ms| *until_ms > now_ms);
        let mut verdicts = Vec::new();
        while let Some((number, is_reserved)) = self.next_start(now_ms, places, order) {
            let Some(entry) = self.waiting.remove(&number) else {
                break;
            };
            if self.waiting.is_empty() {
                self.drain.on_idle();
            } else {
                self.drain.on_start(now_ms, entry.work_ms);
            }
            self.charge(&entry, is_reserved);
            places.take(1);
            self.starting.insert(number, (entry, now_ms));
            verdicts.push((number, Verdict::Start { is_reserved }));
        }
        verdicts
    }

    /// Accounts for a start.
    fn charge(&mut self, entry: &Entry, is_reserved: bool) {
        let rank = Rank::of(entry);
        let of_lane = self.waiting.values().chain([entry]);
        let of_lane = of_lane.filter(|other| Rank::of(other) == rank);
        let accounts: BTreeSet<Option<Name>> = of_lane.map(|entry| entry.account.clone()).collect();
        let lane = self.lanes.entry(rank).or_default();
        lane.on_start(entry, accounts.len());
        lane.forget_ended(|account| accounts.contains(account));
        if is_reserved {
            self.reserved_work_ms = self.reserved_work_ms.saturating_sub(entry.work_ms);
            self.reserved_starts += 1;
            lane.last_reserved = self.reserved_starts;
        } else {
            self.unreserved_work_ms += entry.work_ms;
            let part = self.policy.reserved_part.max(1);
            self.reserved_work_ms += self.unreserved_work_ms / part;
            self.unreserved_work_ms %= part;
            self.reserved_work_ms = self.reserved_work_ms.min(MAX_RESERVED_WORK_MS);
        }
    }

    /// Returns the work that starts next, and whether its start is reserved.
    fn next_start(
        &self,
        now_ms: u64,
        places: FreePlaces,
        order: &[Ordered],
    ) -> Option<(u64, bool)> {
        if places.callers == 0 || self.waiting.is_empty() {
            return None;
        }
        if let Some((number, entry)) = self.longest_overdue(now_ms)
            && self.reserved_work_ms >= entry.work_ms.min(MAX_RESERVED_WORK_MS)
        {
            return Some((number, true));
        }
        let mut startable = order.iter().filter(|ordered| {
            places.of_kind(ordered.entry.kind) > 0
                && self.waiting.contains_key(&ordered.number)
                && !self.passed_over_until_ms.contains_key(&ordered.number)
        });
        startable.next().map(|ordered| (ordered.number, false))
    }

    /// Returns the oldest overdue work of the lane whose last reserved start is the longest
    /// ago.
    fn longest_overdue(&self, now_ms: u64) -> Option<(u64, &Entry)> {
        let overdue = self.waiting.iter().filter(|(number, entry)| {
            let half_ms = entry.deadline_ms.saturating_sub(entry.came_ms) / 2;
            let overdue_at_ms = entry.came_ms + half_ms.min(self.policy.overdue_ms);
            overdue_at_ms <= now_ms && !self.passed_over_until_ms.contains_key(*number)
        });
        let last_reserved = |entry: &Entry| {
            let lane = self.lanes.get(&Rank::of(entry));
            lane.map_or(0, |lane| lane.last_reserved)
        };
        let oldest =
            overdue.min_by_key(|(number, entry)| (last_reserved(entry), entry.came_ms, **number));
        oldest.map(|(number, entry)| (*number, entry))
    }

    /// Refuses what is expected to start too late, and then what is beyond the most that
    /// may wait.
    ///
    /// The next work of each account in each lane is not refused for what is expected: a
    /// reserved start may serve it, and without it the account would fall below its part.
    fn refuse_hopeless(&mut self, now_ms: u64, order: &[Ordered]) -> Vec<(u64, Verdict)> {
        let work_per_ms = self.drain.work_per_ms(now_ms);
        let mut work_ahead_ms = 0;
        let mut refused: Vec<(u64, RefusalReason, u64)> = Vec::new();
        let mut kept: Vec<(&Ordered, u64)> = Vec::new();
        let is_waiting = |ordered: &&Ordered| self.waiting.contains_key(&ordered.number);
        for ordered in order.iter().filter(is_waiting) {
            let entry = &ordered.entry;
            let start_ms = work_per_ms.map(|rate| now_ms + ceil_div(work_ahead_ms, rate));
            let is_hopeless = start_ms.is_some_and(|start_ms| entry.is_too_late(start_ms));
            if is_hopeless && !ordered.is_next_of_account {
                refused.push((ordered.number, RefusalReason::TooLate, work_ahead_ms));
                continue;
            }
            kept.push((ordered, work_ahead_ms));
            work_ahead_ms += entry.work_ms;
        }
        let (training, callers): (Vec<_>, Vec<_>) = kept
            .into_iter()
            .partition(|(ordered, _)| ordered.entry.kind.is_training());
        for kept in [callers, training] {
            let excess = kept.len().saturating_sub(self.policy.max_waiting);
            // The last in the order first, then the last that is the next of its account.
            let last_first = kept.into_iter().rev();
            let (next, others): (Vec<_>, Vec<_>) =
                last_first.partition(|(ordered, _)| ordered.is_next_of_account);
            let last = others.into_iter().chain(next).take(excess);
            refused.extend(
                last.map(|(ordered, ahead)| (ordered.number, RefusalReason::RoomFull, ahead)),
            );
        }
        let refused = refused.into_iter();
        refused
            .filter_map(|(number, reason, ahead_ms)| self.refuse(now_ms, number, reason, ahead_ms))
            .collect()
    }

    fn refuse(
        &mut self,
        now_ms: u64,
        number: u64,
        reason: RefusalReason,
        work_ahead_ms: u64,
    ) -> Option<(u64, Verdict)> {
        let entry = self.waiting.remove(&number)?;
        self.passed_over_until_ms.remove(&number);
        let by_slots = f64::from(self.slots.max(1));
        let work_per_ms = self.drain.work_per_ms(now_ms).unwrap_or(by_slots);
        let retry_at_ms = self
            .returns
            .on_refused(now_ms, &entry, work_ahead_ms, work_per_ms);
        let refused = Refused {
            reason,
            retry_at_ms,
        };
        Some((number, Verdict::Refuse(refused)))
    }
}
