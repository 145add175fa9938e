use serde::{Deserialize, Serialize};

/// The faults of a platform stand-in that are in effect.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every request is refused.
    pub is_down: bool,
    /// The delay before each request is handled, in milliseconds.
    pub delay_ms: u64,
    /// The number of writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// The largest number of writes in a second. Zero means no limit.
    pub max_writes_per_s: u32,
}
