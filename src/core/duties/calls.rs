use rand::Rng;

use crate::core::retry::backoff_ms;

/// The share of the calls that the API allows which duties use: they stay under half.
const CALL_SHARE: f64 = 0.45;
/// The first and the longest back-off after a call that failed, in milliseconds. The
/// longest leaves room for some calls before the holder steps down.
const FIRST_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_000;
/// How long all calls of a holder fail until it steps down, in milliseconds.
const MAX_FAILING_MS: u64 = 4_000;
/// How long a VM that stepped down since its calls failed does not claim the lease, in
/// milliseconds, so that another VM tries.
const ABSTAIN_MS: u64 = 10_000;

/// What the answer to a call shows about further calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallAnswer {
    /// The API takes calls.
    Answered,
    /// There were too many calls.
    Paced,
    /// There was no answer, or a server error.
    Failed,
}

/// When this VM may make the next call of a duty, and whether it keeps the duties.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::{CallAnswer, DutyCalls};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut calls = DutyCalls::new(50.0);
/// assert!(calls.take_turn(1_000));
/// assert!(!calls.take_turn(1_010));
/// assert_eq!(calls.next_at_ms(), 1_045);
/// calls.on_answer(1_010, CallAnswer::Failed, &mut rng);
/// assert!(calls.next_at_ms() >= 1_060);
/// calls.on_answer(5_010, CallAnswer::Failed, &mut rng);
/// assert!(calls.abstains(5_010));
/// assert!(!calls.abstains(15_010));
/// ```
#[derive(Clone, Debug)]
pub struct DutyCalls {
    interval_ms: u64,
    next_at_ms: u64,
    /// The calls in a row that failed or were too many.
    failures: u32,
    /// When the first of the calls failed since the last one that did not.
    failing_since_ms: Option<u64>,
    abstain_until_ms: u64,
}

impl DutyCalls {
    /// Creates the state before the first call.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is positive, and the cast saturates"
    )]
    pub fn new(allowed_per_s: f64) -> Self {
        Self {
            interval_ms: (1_000.0 / (allowed_per_s * CALL_SHARE)).ceil() as u64,
            next_at_ms: 0,
            failures: 0,
            failing_since_ms: None,
            abstain_until_ms: 0,
        }
    }

    /// Returns the earliest time of the next call.
    #[must_use]
    pub const fn next_at_ms(&self) -> u64 {
        self.next_at_ms
    }

    /// Returns whether a call may be made now, which it then must be, or be given up.
    pub const fn take_turn(&mut self, now_ms: u64) -> bool {
        let is_allowed = now_ms >= self.next_at_ms;
        if is_allowed {
            self.next_at_ms = now_ms + self.interval_ms;
        }
        is_allowed
    }

    /// Records the answer to a call.
    pub fn on_answer<R>(&mut self, now_ms: u64, answer: CallAnswer, rng: &mut R)
    where
        R: Rng,
    {
        if answer == CallAnswer::Answered {
            self.failures = 0;
        } else {
            let wait_ms = backoff_ms(self.failures, FIRST_BACKOFF_MS, MAX_BACKOFF_MS, rng);
            self.failures = self.failures.saturating_add(1);
            self.next_at_ms = self.next_at_ms.max(now_ms + wait_ms);
        }
        if answer != CallAnswer::Failed {
            self.failing_since_ms = None;
            return;
        }
        let since_ms = *self.failing_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + MAX_FAILING_MS {
            self.abstain_until_ms = now_ms + ABSTAIN_MS;
            self.failing_since_ms = None;
        }
    }

    /// Records that this VM has become the holder: what failed before says nothing now.
    pub const fn on_won(&mut self) {
        self.failures = 0;
        self.failing_since_ms = None;
    }

    /// Returns whether this VM leaves the duties to others, since its calls failed.
    #[must_use]
    pub const fn abstains(&self, now_ms: u64) -> bool {
        now_ms < self.abstain_until_ms
    }
}
