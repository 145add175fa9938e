use strum::{Display, EnumIter, IntoStaticStr};

/// Why a piece of work does not run.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// It cannot be complete by its deadline.
    TooLate,
    /// As much work waits as is allowed, and all of it goes first.
    RoomFull,
}

/// A refusal, with the time at which room is expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why it is refused.
    pub reason: RefusalReason,
    /// When its caller should come back.
    pub retry_at_ms: u64,
}

/// What a piece of work has to do next, other than to wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It starts now.
    Start {
        /// Whether it takes one of the starts that are reserved for work that has waited
        /// long: it may then use an endpoint that is as full as callers may fill it.
        is_reserved: bool,
    },
    /// It does not run.
    Refuse(Refused),
}
