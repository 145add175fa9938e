use strum::{Display, EnumIter, IntoStaticStr};

use crate::core::Name;

/// The kind of work that competes for an endpoint's slots.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// A caller's request with one answer.
    Request,
    /// A caller's stream of events.
    Stream,
    /// A sample of a batch.
    Sample,
    /// The scoring of a sample.
    ScoreCall,
}

impl WorkKind {
    /// Returns whether it belongs to a batch: no caller waits for it.
    #[must_use]
    pub const fn is_training(self) -> bool {
        matches!(self, Self::Sample | Self::ScoreCall)
    }
}

/// A piece of work that asks for a place at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The id of its request, by which a caller that comes back is recognized.
    pub id: Name,
    /// The kind of the work.
    pub kind: WorkKind,
    /// The priority of the account, or else of the route; 0 is the most urgent.
    pub priority: u8,
    /// The account, if there is one.
    pub account: Option<Name>,
    /// When it came.
    pub came_ms: u64,
    /// When it should be complete.
    pub objective_at_ms: u64,
    /// When it is of no use any more.
    pub deadline_ms: u64,
    /// The estimated time for which it occupies a slot.
    pub work_ms: u64,
}

impl Entry {
    /// Returns whether it cannot be complete by its deadline if it starts at a time.
    #[must_use]
    pub const fn is_too_late(&self, start_ms: u64) -> bool {
        start_ms.saturating_add(self.work_ms) > self.deadline_ms
    }
}
