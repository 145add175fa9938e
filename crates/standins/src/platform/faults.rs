use serde::{Deserialize, Serialize};

/// What is wrong with the platform now.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request is refused.
    pub is_down: bool,
    /// Every request waits this long first, in milliseconds.
    pub delay_ms: u64,
    /// This many answers of writes are lost after the write took effect.
    pub lose_answers: u32,
    /// At most this many writes a second; 0 for no limit.
    pub max_writes_per_s: u32,
}
