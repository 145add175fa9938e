use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The urgency of a request, in ascending order.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Requests for trainers' samples.
    Background,
    /// Requests on which a machine waits.
    #[default]
    Normal,
    /// Requests on which a person waits.
    Interactive,
}

/// A fixed limit on the number of requests that run at once.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::admission::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(1);
/// assert!(limit.try_start());
/// assert!(!limit.try_start());
/// limit.end();
/// assert!(limit.try_start());
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    running: u32,
    max: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit of `max` requests at once.
    #[must_use]
    pub const fn new(max: u32) -> Self {
        Self { running: 0, max }
    }

    /// Changes the limit; requests that run are not affected.
    pub const fn set_max(&mut self, max: u32) {
        self.max = max;
    }

    /// Starts a request if the limit permits, and returns whether it did.
    pub const fn try_start(&mut self) -> bool {
        let is_started = self.running < self.max;
        if is_started {
            self.running += 1;
        }
        is_started
    }

    /// Records that a request ended.
    pub const fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
