use crate::core::guard::{self, Guard};

/// The weight of the newest latency in the short average.
const SHORT_WEIGHT: f64 = 0.1;
/// In which time the long average follows the latency while all is well. By
/// time and not by count: a busy service would follow an overload at once.
const FOLLOW_MS: f64 = 30_000.0;
/// The same while it is not. It follows at all so that a service that has
/// become slower for good is not held to its old latency for ever.
const CONGESTED_FOLLOW_MS: f64 = 300_000.0;
/// The most that one latency counts in the long average.
const MAX_WEIGHT: f64 = 0.1;
/// How far the short average may be above the long one.
const TOLERANCE: f64 = 2.0;
/// What is left of the limit after one decrease: at least and at most.
const LEAST_LEFT: f64 = 0.5;
const MOST_LEFT: f64 = 0.9;

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

#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Clone, Copy, Debug)]
struct Averages {
    short_ms: f64,
    long_ms: f64,
    noted_at_ms: u64,
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
        let slowness = self.slowness(now_ms, latency_ms);
        if has_failed || slowness > TOLERANCE {
            if now_ms >= self.decrease_at_ms {
                let left = (TOLERANCE / slowness).clamp(LEAST_LEFT, MOST_LEFT);
                self.limit = (self.limit * left).max(self.least);
                // What runs now was started under the old limit.
                self.decrease_at_ms = now_ms + latency_ms;
            }
        } else if f64::from(running) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }

    /// Returns how many times its usual latency the service has now.
    fn slowness(&mut self, now_ms: u64, latency_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let newest_ms = latency_ms.max(1) as f64;
        let averages = self.averages.get_or_insert(Averages {
            short_ms: newest_ms,
            long_ms: newest_ms,
            noted_at_ms: now_ms,
        });
        averages.short_ms += SHORT_WEIGHT * (newest_ms - averages.short_ms);
        let slowness = averages.short_ms / averages.long_ms;
        let follow_ms = if slowness > TOLERANCE {
            CONGESTED_FOLLOW_MS
        } else {
            FOLLOW_MS
        };
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let elapsed_ms = now_ms.saturating_sub(averages.noted_at_ms) as f64;
        let weight = (elapsed_ms / follow_ms).min(MAX_WEIGHT);
        averages.noted_at_ms = now_ms;
        averages.long_ms += weight * (newest_ms - averages.long_ms);
        slowness
    }
}
