use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// How urgent a request is. The order is that of urgency.
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
    /// Samples for trainers.
    Background,
    /// What a machine waits for.
    #[default]
    Normal,
    /// What a person waits for.
    Interactive,
}

/// Limits how many requests of one service run at once through one daemon.
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
    most: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit of `most` requests at once.
    #[must_use]
    pub const fn new(most: u32) -> Self {
        Self { running: 0, most }
    }

    /// Changes the limit; what runs is not touched.
    pub const fn set_max(&mut self, most: u32) {
        self.most = most;
    }

    /// Starts a request if there is room, and says whether there was.
    pub const fn try_start(&mut self) -> bool {
        let has_room = self.running < self.most;
        if has_room {
            self.running += 1;
        }
        has_room
    }

    /// Notes that a request ended.
    pub const fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
