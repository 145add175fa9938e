use rand::Rng;

use crate::core::retry::backoff_ms;

/// The weight of the newest measurement in a moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Failures in a row after which an endpoint gets one request at a time.
const MAX_FAILURES: u32 = 3;
/// The first and the longest time that such an endpoint is left alone.
const FIRST_PAUSE_MS: u64 = 500;
const MAX_PAUSE_MS: u64 = 10_000;

/// Failures within this time of the last that counted are the same failure.
const SAME_FAILURE_MS: u64 = 500;
/// After how long what was seen counts half.
const HALF_LIFE_MS: f64 = 5_000.0;

/// What a daemon has learned of one endpoint from its own requests.
///
/// An endpoint that answers load reports may fail or crawl all the same, so
/// that what the daemon's own requests meet counts beside the reports.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::routing::Health;
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut health = Health::default();
/// (0..3).for_each(|n| health.on_failed(1_000 * n, &mut rng));
/// assert!(!health.takes_work(2_000, 0));
/// // After the pause it gets one request, not all of them.
/// assert!(health.takes_work(10_000, 0));
/// assert!(!health.takes_work(10_000, 1));
/// health.on_ok(11_000, 100, 2_000);
/// assert!(health.takes_work(10_000, 1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    unit_ms: Option<f64>,
    measured_at_ms: u64,
    failed_share: f64,
    failed_at_ms: u64,
    failures_in_row: u32,
    pause_until_ms: u64,
}

impl Health {
    /// Notes an answer: `units` of work took `elapsed_ms`.
    ///
    /// A unit is a token of a model service and a call of a plain service.
    pub fn on_ok(&mut self, now_ms: u64, units: u32, elapsed_ms: u64) {
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let unit_ms = elapsed_ms as f64 / f64::from(units.max(1));
        let known_ms = self.unit_ms.unwrap_or(unit_ms);
        self.unit_ms = Some(average(known_ms, unit_ms));
        self.measured_at_ms = now_ms;
        self.failed_share = average(self.failed_share, 0.0);
        self.failures_in_row = 0;
        self.pause_until_ms = 0;
    }

    /// Notes a failure.
    ///
    /// Requests that ran together fail together: within half a
    /// second they count once. Pauses grow from one failure to the next and are
    /// spread at random, so that daemons do not come back together.
    pub fn on_failed<R>(&mut self, now_ms: u64, rng: &mut R)
    where
        R: Rng,
    {
        if self.failures_in_row > 0 && now_ms < self.failed_at_ms + SAME_FAILURE_MS {
            return;
        }
        self.failed_share = average(self.failed_share_now(now_ms), 1.0);
        self.failed_at_ms = now_ms;
        self.failures_in_row += 1;
        if let Some(pauses) = self.failures_in_row.checked_sub(MAX_FAILURES) {
            let pause_ms = backoff_ms(pauses, FIRST_PAUSE_MS, MAX_PAUSE_MS, rng);
            self.pause_until_ms = now_ms + pause_ms;
        }
    }

    /// Returns whether the endpoint may get a request while `in_flight` others
    /// of this daemon run there.
    #[must_use]
    pub const fn takes_work(&self, now_ms: u64, in_flight: u32) -> bool {
        let is_trusted = self.failures_in_row < MAX_FAILURES;
        is_trusted || (now_ms >= self.pause_until_ms && in_flight == 0)
    }

    /// Returns how long a unit of work took lately, if any was done.
    #[must_use]
    pub const fn unit_ms(&self) -> Option<f64> {
        self.unit_ms
    }

    /// Returns how long a unit of work is expected to take, where `typical_ms`
    /// is what it takes elsewhere.
    ///
    /// What was measured counts less as it ages: an endpoint that was slow gets
    /// no work, and without work nothing would ever show that it is so no more.
    #[must_use]
    pub fn expected_unit_ms(&self, now_ms: u64, typical_ms: f64) -> f64 {
        let unit_ms = self.unit_ms.unwrap_or(typical_ms);
        let weight = remaining(now_ms, self.measured_at_ms);
        weight.mul_add(unit_ms - typical_ms, typical_ms)
    }

    /// Returns how many tries a request is expected to need there.
    #[must_use]
    pub fn expected_tries(&self, now_ms: u64) -> f64 {
        const MIN_OK_SHARE: f64 = 0.05;
        1.0 / (1.0 - self.failed_share_now(now_ms)).max(MIN_OK_SHARE)
    }

    fn failed_share_now(&self, now_ms: u64) -> f64 {
        self.failed_share * remaining(now_ms, self.failed_at_ms)
    }
}

fn average(known: f64, newest: f64) -> f64 {
    NEWEST_WEIGHT.mul_add(newest - known, known)
}

/// How much something counts that was seen at `at_ms`: half after each half-life.
fn remaining(now_ms: u64, at_ms: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let age = now_ms.saturating_sub(at_ms) as f64 / HALF_LIFE_MS;
    0.5_f64.powf(age)
}
