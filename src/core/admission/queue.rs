use std::{cmp::Reverse, collections::BTreeSet};

use rand::Rng;
use strum::IntoEnumIterator;

use super::{AdaptiveLimit, Priority};
use crate::{
    core::guard::{self, Guard},
    error::{ErrorKind, Refusal},
};

/// The weight of the newest request in the average time that one takes.
const NEWEST_WEIGHT: f64 = 0.1;
/// The least time after which a refused request may come back.
const MIN_RETRY_MS: u64 = 200;

/// What becomes of a request that asks to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It runs now.
    Start,
    /// It waits under this number.
    Wait(u64),
    /// It does not run.
    Refuse(Refusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// The request with this number runs now.
    Start(u64),
    /// The request with this number does not run.
    Refuse(u64, Refusal),
}

/// How a request that ran ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// How long it ran.
    pub elapsed_ms: u64,
    /// Whether its endpoints failed it.
    pub has_failed: bool,
}

/// The requests of one service through one daemon: what runs, and what waits
/// in the order of priority and deadline.
///
/// What can no longer meet its deadline is refused at once, before it runs, so
/// that its caller can act and that nothing is spent on it.
///
/// # Examples
///
/// ```
/// use chicoryreach::{
///     core::admission::{Admission, Decision, RequestEnd, Dequeued, Priority},
///     error::ErrorKind,
/// };
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut admission = Admission::new(1, 1);
/// let mut offer = |admission: &mut Admission, deadline_ms| {
///     admission.offer(0, Priority::Normal, deadline_ms, &mut rng)
/// };
/// assert_eq!(offer(&mut admission, 900), Decision::Start);
/// admission.on_end(0, RequestEnd { elapsed_ms: 310, has_failed: false });
/// assert_eq!(offer(&mut admission, 900), Decision::Start);
/// assert_eq!(offer(&mut admission, 900), Decision::Wait(0));
/// // It would have to wait for two others, 310 ms each.
/// let Decision::Refuse(refusal) = offer(&mut admission, 900) else { panic!() };
/// assert_eq!(refusal.kind(), ErrorKind::Overloaded);
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    limit: AdaptiveLimit,
    running: u32,
    waiting: BTreeSet<Key>,
    request_ms: Option<f64>,
    next_number: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    urgency: Reverse<Priority>,
    deadline_ms: u64,
    number: u64,
}

impl Admission {
    /// Creates the admission of a service that runs between `least` and `most`
    /// requests at once.
    #[must_use]
    pub fn new(least: u32, most: u32) -> Self {
        Self {
            limit: AdaptiveLimit::new(least, most),
            running: 0,
            waiting: BTreeSet::new(),
            request_ms: None,
            next_number: 0,
        }
    }

    /// Changes the bounds of the limit.
    pub fn set_bounds(&mut self, least: u32, most: u32) {
        self.limit.set_bounds(least, most);
    }

    /// Returns how many requests run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Decides about a new request.
    pub fn offer<R>(
        &mut self,
        now_ms: u64,
        priority: Priority,
        deadline_ms: u64,
        rng: &mut R,
    ) -> Decision
    where
        R: Rng,
    {
        if self.running < self.limit.get() && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Start;
        }
        let key = Key {
            urgency: Reverse(priority),
            deadline_ms,
            number: self.next_number,
        };
        let ahead = self.waiting.range(..key).count();
        let done_at_ms = now_ms + self.wait_ms(ahead + 1) + self.request_ms();
        if done_at_ms > deadline_ms && guard::is_on(Guard::DeadlineAdmission) {
            return Decision::Refuse(self.refusal(now_ms, rng));
        }
        self.next_number += 1;
        self.waiting.insert(key);
        Decision::Wait(key.number)
    }

    /// Notes that a request that ran ended.
    pub fn on_end(&mut self, now_ms: u64, ended: RequestEnd) {
        let RequestEnd {
            elapsed_ms,
            has_failed,
        } = ended;
        self.limit
            .on_latency(now_ms, elapsed_ms, self.running, has_failed);
        self.running = self.running.saturating_sub(1);
        if !has_failed {
            #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
            let newest_ms = elapsed_ms as f64;
            let known_ms = self.request_ms.unwrap_or(newest_ms);
            self.request_ms = Some(known_ms + NEWEST_WEIGHT * (newest_ms - known_ms));
        }
    }

    /// Takes the next waiting request that has room or no hope; to be called
    /// until there is none, after [`Admission::on_end`] and when
    /// [`Admission::next_deadline_ms`] has come.
    pub fn dequeue<R>(&mut self, now_ms: u64, rng: &mut R) -> Option<Dequeued>
    where
        R: Rng,
    {
        if guard::is_on(Guard::DeadlineAdmission) {
            let due_ms = now_ms + self.request_ms();
            let late = self.firsts().find(|key| key.deadline_ms < due_ms);
            if let Some(key) = late {
                self.waiting.remove(&key);
                return Some(Dequeued::Refuse(key.number, self.refusal(now_ms, rng)));
            }
        }
        if self.running >= self.limit.get() {
            return None;
        }
        let key = self.waiting.pop_first()?;
        self.running += 1;
        Some(Dequeued::Start(key.number))
    }

    /// Returns when the next waiting request can no longer meet its deadline.
    #[must_use]
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let first = self.firsts().map(|key| key.deadline_ms).min()?;
        Some(first.saturating_sub(self.request_ms()) + 1)
    }

    /// Forgets a waiting request whose caller is gone; says whether it waited.
    pub fn cancel(&mut self, number: u64) -> bool {
        let len = self.waiting.len();
        self.waiting.retain(|key| key.number != number);
        self.waiting.len() < len
    }

    /// Returns the first to come due of each priority.
    fn firsts(&self) -> impl Iterator<Item = Key> {
        Priority::iter().filter_map(|priority| {
            let urgency = Reverse(priority);
            let from = Key {
                urgency,
                deadline_ms: 0,
                number: 0,
            };
            let first = self.waiting.range(from..).next();
            first.filter(|key| key.urgency == urgency).copied()
        })
    }

    fn request_ms(&self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an average of times"
        )]
        let request_ms = self.request_ms.unwrap_or_default() as u64;
        request_ms
    }

    /// How long it takes until `ahead` more requests have been started.
    fn wait_ms(&self, ahead: usize) -> u64 {
        let limit = u64::from(self.limit.get().max(1));
        self.request_ms() * ahead as u64 / limit
    }

    /// The time to come back is when the queue has been worked off, spread
    /// over as long again so that those refused do not come back together.
    fn refusal<R>(&self, now_ms: u64, rng: &mut R) -> Refusal
    where
        R: Rng,
    {
        let drained_ms = self.wait_ms(self.waiting.len() + 1).max(MIN_RETRY_MS);
        let retry_at_ms = now_ms + rng.random_range(drained_ms..=2 * drained_ms);
        Refusal::new(
            ErrorKind::Overloaded,
            "the request cannot be answered before its deadline",
        )
        .with_retry_at(retry_at_ms)
    }
}
