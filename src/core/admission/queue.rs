use std::{cmp::Reverse, collections::BTreeSet};

use rand::Rng;
use strum::IntoEnumIterator;

use super::{AdaptiveLimit, Priority};
use crate::{
    core::guard::{self, Guard},
    error::{ErrorKind, Refusal},
};

/// The weight of the newest request in the moving average of request durations.
const NEWEST_WEIGHT: f64 = 0.1;
/// The minimum delay after which a refused request may be retried.
const MIN_RETRY_DELAY_MS: u64 = 200;

/// The decision about a new request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request runs now.
    Start,
    /// The request waits under this number.
    Wait(u64),
    /// The request does not run.
    Refuse(Refusal),
}

/// A request that left the queue, and the decision about it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// The request with this number runs now.
    Start(u64),
    /// The request with this number does not run.
    Refuse(u64, Refusal),
}

/// The end of a request that ran.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// The time for which the request ran.
    pub elapsed_ms: u64,
    /// Whether the request failed at its endpoints.
    pub has_failed: bool,
}

/// The admission control for the requests of one service through one daemon.
///
/// Requests beyond the limit wait in the order of priority and deadline. A
/// request that would miss its deadline because it has to wait is refused before
/// it runs, so that its caller can react at once and no capacity is wasted on it.
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
/// // The request would have to wait for two others, 310 ms each.
/// let Decision::Refuse(refusal) = offer(&mut admission, 900) else { panic!() };
/// assert_eq!(refusal.kind(), ErrorKind::Overloaded);
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    limit: AdaptiveLimit,
    running: u32,
    waiting: BTreeSet<QueueKey>,
    /// The moving average of request durations.
    mean_request_ms: Option<f64>,
    next_number: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    urgency: Reverse<Priority>,
    deadline_ms: u64,
    number: u64,
}

impl Admission {
    /// Creates the admission control of a service with a limit between `min` and
    /// `max` requests at once.
    #[must_use]
    pub fn new(min: u32, max: u32) -> Self {
        Self {
            limit: AdaptiveLimit::new(min, max),
            running: 0,
            waiting: BTreeSet::new(),
            mean_request_ms: None,
            next_number: 0,
        }
    }

    /// Changes the bounds of the limit.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        self.limit.set_bounds(min, max);
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Decides whether a new request starts, waits or is refused.
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
        let key = QueueKey {
            urgency: Reverse(priority),
            deadline_ms,
            number: self.next_number,
        };
        let ahead = self.waiting.range(..key).count();
        let done_at_ms = now_ms + self.wait_ms(ahead + 1) + self.mean_request_ms();
        if done_at_ms > deadline_ms && guard::is_on(Guard::DeadlineAdmission) {
            return Decision::Refuse(self.refusal(now_ms, rng));
        }
        self.next_number += 1;
        self.waiting.insert(key);
        Decision::Wait(key.number)
    }

    /// Records the end of a request that ran.
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
            let known_ms = self.mean_request_ms.unwrap_or(newest_ms);
            self.mean_request_ms = Some(known_ms + NEWEST_WEIGHT * (newest_ms - known_ms));
        }
    }

    /// Removes the next waiting request that can start or that can no longer meet
    /// its deadline.
    ///
    /// Must be called after [`Admission::on_end`] and at
    /// [`Admission::next_deadline_ms`], each time until it returns `None`.
    pub fn dequeue<R>(&mut self, now_ms: u64, rng: &mut R) -> Option<Dequeued>
    where
        R: Rng,
    {
        if guard::is_on(Guard::DeadlineAdmission) {
            let done_at_ms = now_ms + self.mean_request_ms();
            let late = self
                .earliest_by_priority()
                .find(|key| key.deadline_ms < done_at_ms);
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

    /// Returns the time from which on a waiting request can no longer meet its
    /// deadline, or `None` if none waits.
    #[must_use]
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let earliest_ms = self
            .earliest_by_priority()
            .map(|key| key.deadline_ms)
            .min()?;
        Some(earliest_ms.saturating_sub(self.mean_request_ms()) + 1)
    }

    /// Removes a waiting request whose caller has disconnected, and returns
    /// whether it waited.
    pub fn cancel(&mut self, number: u64) -> bool {
        let len = self.waiting.len();
        self.waiting.retain(|key| key.number != number);
        self.waiting.len() < len
    }

    /// Returns the waiting request with the earliest deadline of each priority.
    fn earliest_by_priority(&self) -> impl Iterator<Item = QueueKey> {
        Priority::iter().filter_map(|priority| {
            let urgency = Reverse(priority);
            let from = QueueKey {
                urgency,
                deadline_ms: 0,
                number: 0,
            };
            let first = self.waiting.range(from..).next();
            first.filter(|key| key.urgency == urgency).copied()
        })
    }

    fn mean_request_ms(&self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an average of times"
        )]
        let mean_request_ms = self.mean_request_ms.unwrap_or_default() as u64;
        mean_request_ms
    }

    /// Returns the expected time until `ahead` more requests have started.
    fn wait_ms(&self, ahead: usize) -> u64 {
        let limit = u64::from(self.limit.get().max(1));
        self.mean_request_ms() * ahead as u64 / limit
    }

    /// Returns the refusal of a request that cannot meet its deadline.
    ///
    /// The retry time lies between the expected time until the queue is drained
    /// and twice that time. The random spread keeps refused requests from being
    /// retried at the same time.
    fn refusal<R>(&self, now_ms: u64, rng: &mut R) -> Refusal
    where
        R: Rng,
    {
        let drained_ms = self.wait_ms(self.waiting.len() + 1).max(MIN_RETRY_DELAY_MS);
        let retry_at_ms = now_ms + rng.random_range(drained_ms..=2 * drained_ms);
        Refusal::new(
            ErrorKind::Overloaded,
            "the request cannot be answered before its deadline",
        )
        .with_retry_at(retry_at_ms)
    }
}
