use crate::core::guard::{self, Guard};

/// The weight of the newest latency in the short average.
const SHORT_AVERAGE_WEIGHT: f64 = 0.1;
/// The time constant of the long average while the service is not congested.
///
/// The average adapts by time and not by the number of requests: otherwise, the
/// average of a busy service would adapt to an overload at once.
const LONG_AVERAGE_TIME_CONSTANT_MS: f64 = 30_000.0;
/// The time constant of the long average while the service is congested.
///
/// The average still adapts, so that the limit of a service that has become
/// permanently slower is not based on its old latency forever.
const CONGESTED_LONG_AVERAGE_TIME_CONSTANT_MS: f64 = 300_000.0;
/// The maximum weight of one latency in the long average.
const MAX_LONG_AVERAGE_WEIGHT: f64 = 0.1;
/// The ratio of the short to the long average above which the service counts as
/// congested.
const CONGESTED_LATENCY_RATIO: f64 = 2.0;
/// The smallest factor by which one decrease multiplies the limit.
const MIN_DECREASE_FACTOR: f64 = 0.5;
/// The largest factor by which one decrease multiplies the limit.
const MAX_DECREASE_FACTOR: f64 = 0.9;

/// A concurrency limit that is adapted to the latency of a service.
///
/// The limit is increased additively and decreased multiplicatively. With this,
/// daemons that share endpoints converge to equal limits without communicating,
/// which limits based on the gradient of latency do not.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::admission::AdaptiveLimit;
///
/// let mut limit = AdaptiveLimit::new(4, 16);
/// (0..100).for_each(|at_ms| limit.on_latency(at_ms, 20, limit.get(), false));
/// assert_eq!(limit.get(), 16);
/// (0..100).for_each(|n| limit.on_latency(100 + 100 * n, 400, 16, false));
/// assert_eq!(limit.get(), 4);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    min: f64,
    max: f64,
    averages: Option<Averages>,
    /// The earliest time of the next decrease.
    decrease_at_ms: u64,
}

#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Clone, Copy, Debug)]
struct Averages {
    short_ms: f64,
    long_ms: f64,
    updated_at_ms: u64,
}

impl AdaptiveLimit {
    /// Creates a limit between `min` and `max` that starts at `max`.
    ///
    /// If `max` is below `min`, the limit is always `min`.
    #[must_use]
    pub fn new(min: u32, max: u32) -> Self {
        Self {
            limit: f64::from(max.max(min)),
            min: f64::from(min),
            max: f64::from(max.max(min)),
            averages: None,
            decrease_at_ms: 0,
        }
    }

    /// Returns the current limit.
    #[must_use]
    pub fn get(&self) -> u32 {
        if !guard::is_on(Guard::AdmissionLimit) {
            return u32::MAX;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit lies between two u32"
        )]
        let limit = self.limit as u32;
        limit
    }

    /// Changes the bounds and clamps the limit to them.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        self.min = f64::from(min);
        self.max = f64::from(max.max(min));
        self.limit = self.limit.clamp(self.min, self.max);
    }

    /// Adapts the limit to a request that took `latency_ms` while `running`
    /// requests ran, or that failed.
    ///
    /// The limit grows only if at least half of it is in use.
    pub fn on_latency(&mut self, now_ms: u64, latency_ms: u64, running: u32, has_failed: bool) {
        let latency_ratio = self.update_latency_ratio(now_ms, latency_ms);
        if has_failed || latency_ratio > CONGESTED_LATENCY_RATIO {
            if now_ms >= self.decrease_at_ms {
                let factor = (CONGESTED_LATENCY_RATIO / latency_ratio)
                    .clamp(MIN_DECREASE_FACTOR, MAX_DECREASE_FACTOR);
                self.limit = (self.limit * factor).max(self.min);
                // Requests that run now were started under the old limit.
                self.decrease_at_ms = now_ms + latency_ms;
            }
        } else if f64::from(running) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Updates the averages with a latency, and returns the ratio of the short to
    /// the long average.
    fn update_latency_ratio(&mut self, now_ms: u64, latency_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let newest_ms = latency_ms.max(1) as f64;
        let averages = self.averages.get_or_insert(Averages {
            short_ms: newest_ms,
            long_ms: newest_ms,
            updated_at_ms: now_ms,
        });
        averages.short_ms += SHORT_AVERAGE_WEIGHT * (newest_ms - averages.short_ms);
        let latency_ratio = averages.short_ms / averages.long_ms;
        let time_constant_ms = if latency_ratio > CONGESTED_LATENCY_RATIO {
            CONGESTED_LONG_AVERAGE_TIME_CONSTANT_MS
        } else {
            LONG_AVERAGE_TIME_CONSTANT_MS
        };
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let elapsed_ms = now_ms.saturating_sub(averages.updated_at_ms) as f64;
        let weight = (elapsed_ms / time_constant_ms).min(MAX_LONG_AVERAGE_WEIGHT);
        averages.updated_at_ms = now_ms;
        averages.long_ms += weight * (newest_ms - averages.long_ms);
        latency_ratio
    }
}
