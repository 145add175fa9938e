use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// What a request to an endpoint is sent for.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// A caller's request, or a retry of it.
    Caller,
    /// A second request beside a caller's request that is slow.
    Hedge,
    /// A run of a sample.
    Sample,
    /// A call that scores a sample.
    Score,
    /// An order to load weights, or the report that it needs.
    Order,
}

impl Purpose {
    /// Returns whether no caller waits for the request.
    #[must_use]
    pub const fn is_background(self) -> bool {
        matches!(self, Self::Sample | Self::Score)
    }
}
