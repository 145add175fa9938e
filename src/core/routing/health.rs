use rand::Rng;

use crate::core::retry::backoff_ms;

/// The weight of the newest measurement in a moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// The number of consecutive failures from which on an endpoint is paused, and
/// then gets one request at a time.
const PAUSE_AFTER_CONSECUTIVE_FAILURES: u32 = 3;
/// The upper bound of the first pause of such an endpoint.
const MAX_FIRST_PAUSE_MS: u64 = 500;
/// The upper bound of every later pause.
const MAX_PAUSE_MS: u64 = 10_000;

/// Failures within this time after the last counted one are not counted.
const SAME_FAILURE_WINDOW_MS: u64 = 500;
/// The time after which the weight of a measurement or failure is halved.
const HALF_LIFE_MS: f64 = 5_000.0;

/// The latencies and failures of a daemon's own requests at one endpoint.
///
/// An endpoint that answers polls with load reports may still fail requests or
/// be slow. The results of the daemon's own requests are therefore taken into
/// account in addition to the reports.
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
/// // After the pause it gets one request at a time.
/// assert!(health.takes_work(10_000, 0));
/// assert!(!health.takes_work(10_000, 1));
/// health.on_ok(11_000, 100, 2_000);
/// assert!(health.takes_work(10_000, 1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// The moving average of the time per unit of work.
    unit_ms: Option<f64>,
    measured_at_ms: u64,
    /// The moving average of the share of failed requests.
    failed_share: f64,
    /// The time of the last counted failure.
    failed_at_ms: u64,
    consecutive_failures: u32,
    pause_until_ms: u64,
}

impl Health {
    /// Records a successful request that took `elapsed_ms` for `units` of work.
    ///
    /// A unit is a token for a model service and a call for a plain service.
    pub fn on_ok(&mut self, now_ms: u64, units: u32, elapsed_ms: u64) {
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let unit_ms = elapsed_ms as f64 / f64::from(units.max(1));
        let known_ms = self.unit_ms.unwrap_or(unit_ms);
        self.unit_ms = Some(moving_average(known_ms, unit_ms));
        self.measured_at_ms = now_ms;
        self.failed_share = moving_average(self.failed_share, 0.0);
        self.consecutive_failures = 0;
        self.pause_until_ms = 0;
    }

    /// Records a failed request.
    ///
    /// Concurrent requests tend to fail together, so failures within half a
    /// second count once. Pauses grow with each failure and have random jitter,
    /// so that daemons do not return to the endpoint at the same time.
    pub fn on_failed<R>(&mut self, now_ms: u64, rng: &mut R)
    where
        R: Rng,
    {
        if self.consecutive_failures > 0 && now_ms < self.failed_at_ms + SAME_FAILURE_WINDOW_MS {
            return;
        }
        self.failed_share = moving_average(self.failed_share_now(now_ms), 1.0);
        self.failed_at_ms = now_ms;
        self.consecutive_failures += 1;
        if let Some(pauses) = self
            .consecutive_failures
            .checked_sub(PAUSE_AFTER_CONSECUTIVE_FAILURES)
        {
            let pause_ms = backoff_ms(pauses, MAX_FIRST_PAUSE_MS, MAX_PAUSE_MS, rng);
            self.pause_until_ms = now_ms + pause_ms;
        }
    }

    /// Returns whether the endpoint may get a request while `in_flight` other
    /// requests of this daemon run there.
    #[must_use]
    pub const fn takes_work(&self, now_ms: u64, in_flight: u32) -> bool {
        let is_healthy = self.consecutive_failures < PAUSE_AFTER_CONSECUTIVE_FAILURES;
        is_healthy || (now_ms >= self.pause_until_ms && in_flight == 0)
    }

    /// Returns the average time per unit of work, or `None` if none was measured.
    #[must_use]
    pub const fn unit_ms(&self) -> Option<f64> {
        self.unit_ms
    }

    /// Returns the expected time per unit of work, where `typical_unit_ms` is the
    /// time at other endpoints.
    ///
    /// The weight of the measurement decays with its age. Otherwise an endpoint
    /// that was slow once would get no work, and without work no measurement
    /// would show that it has recovered.
    #[must_use]
    pub fn expected_unit_ms(&self, now_ms: u64, typical_unit_ms: f64) -> f64 {
        let unit_ms = self.unit_ms.unwrap_or(typical_unit_ms);
        let weight = decay(now_ms, self.measured_at_ms);
        weight.mul_add(unit_ms - typical_unit_ms, typical_unit_ms)
    }

    /// Returns the expected number of tries until a request succeeds.
    #[must_use]
    pub fn expected_tries(&self, now_ms: u64) -> f64 {
        const MIN_OK_SHARE: f64 = 0.05;
        1.0 / (1.0 - self.failed_share_now(now_ms)).max(MIN_OK_SHARE)
    }

    fn failed_share_now(&self, now_ms: u64) -> f64 {
        self.failed_share * decay(now_ms, self.failed_at_ms)
    }
}

fn moving_average(known: f64, newest: f64) -> f64 {
    NEWEST_WEIGHT.mul_add(newest - known, known)
}

/// Returns the weight at `now_ms` of an observation made at `at_ms`; it halves
/// every [`HALF_LIFE_MS`].
fn decay(now_ms: u64, at_ms: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let age = now_ms.saturating_sub(at_ms) as f64 / HALF_LIFE_MS;
    0.5_f64.powf(age)
}
