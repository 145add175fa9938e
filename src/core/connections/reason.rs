use strum::{Display, EnumIter, IntoStaticStr};

/// Why a VM closes a connection.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum CloseReason {
    /// The head of a request was not complete in time.
    HeadTime,
    /// The body of a request did not move while others waited for memory.
    StalledBody,
    /// The answer was not read in time.
    UnreadAnswer,
    /// The connections of its listener exceed their memory.
    Memory,
    /// Its listener has too many connections.
    Count,
}
