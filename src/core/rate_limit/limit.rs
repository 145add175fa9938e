use serde::{Deserialize, Serialize};

/// The number of requests a second that an endpoint accepts from all VMs together.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::rate_limit::RateLimit;
///
/// assert_eq!(RateLimit::new(2.5).unwrap().interval_ms(), 400.0);
/// assert!(RateLimit::new(0.0).is_none());
/// ```
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimit {
    per_s: f64,
}

impl RateLimit {
    /// Returns the limit, or `None` if it is not a positive number.
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s > 0.0).then_some(Self { per_s })
    }

    /// Returns the number of requests a second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.per_s
    }

    /// Returns the time between two requests, in milliseconds.
    #[must_use]
    pub fn interval_ms(self) -> f64 {
        1_000.0 / self.per_s
    }
}
