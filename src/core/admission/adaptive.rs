use crate::core::guard::{self, Guard};

/// The weight of the newest latency in the short average.
const SHORT_WEIGHT: f64 = 0.1;
/// The weight in the long average, while all is well and while it is not.
const LONG_WEIGHT: f64 = 0.01;
const LONG_WEIGHT_CONGESTED: f64 = 0.001;
/// How far the short average may be above the long one.
const TOLERANCE: f64 = 2.0;
/// What is left of the limit after one decrease.
const DECREASE: f64 = 0.9;

/// A limit that grows by steps and shrinks by shares, as latency tells it to.
///
/// Additive increase and multiplicative decrease let daemons that share
/// endpoints come to equal limits without talking to each other, which limits
/// that follow the gradient of latency do not.
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
    least: f64,
    most: f64,
    averages: Option<Averages>,
    decrease_at_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Averages {
    short_ms: f64,
    long_ms: f64,
}

impl AdaptiveLimit {
    /// Creates a limit between `least` and `most` that starts at `most`.
    #[must_use]
    pub fn new(least: u32, most: u32) -> Self {
        Self {
            limit: f64::from(most.max(least)),
            least: f64::from(least),
            most: f64::from(most.max(least)),
            averages: None,
            decrease_at_ms: 0,
        }
    }

    /// Returns the limit now.
    #[must_use]
    pub fn get(&self) -> u32 {
        if !guard::is_on(Guard::AdmissionLimit) {
            return u32::MAX;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it lies between two u32"
        )]
        let limit = self.limit as u32;
        limit
    }

    /// Changes the bounds.
    pub fn set_bounds(&mut self, least: u32, most: u32) {
        self.least = f64::from(least);
        self.most = f64::from(most.max(least));
        self.limit = self.limit.clamp(self.least, self.most);
    }

    /// Notes how long a request took while `running` ran, or that it failed.
    pub fn on_latency(&mut self, now_ms: u64, latency_ms: u64, running: u32, has_failed: bool) {
        let is_congested = has_failed || self.is_slow(latency_ms);
        if is_congested {
            if now_ms >= self.decrease_at_ms {
                self.limit = (self.limit * DECREASE).max(self.least);
                // What runs now was started under the old limit.
                self.decrease_at_ms = now_ms + latency_ms;
            }
        } else if f64::from(running) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }

    fn is_slow(&mut self, latency_ms: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let newest_ms = latency_ms as f64;
        let Some(averages) = &mut self.averages else {
            let (short_ms, long_ms) = (newest_ms, newest_ms);
            self.averages = Some(Averages { short_ms, long_ms });
            return false;
        };
        averages.short_ms += SHORT_WEIGHT * (newest_ms - averages.short_ms);
        let is_slow = averages.short_ms > TOLERANCE * averages.long_ms;
        let weight = if is_slow {
            LONG_WEIGHT_CONGESTED
        } else {
            LONG_WEIGHT
        };
        averages.long_ms += weight * (newest_ms - averages.long_ms);
        is_slow
    }
}
