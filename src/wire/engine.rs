//! The protocol of model engines.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Asks an engine to generate, or to resume an attempt that it has already
/// started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Generate {
    /// The id of this attempt, which is unique.
    pub attempt: Arc<str>,
    /// The text to continue.
    pub prompt: Arc<str>,
    /// The tokens generated so far, after which generation continues.
    pub prefix: Vec<Arc<str>>,
    /// The maximum number of tokens, including the prefix.
    pub max_tokens: u32,
    /// The seed for sampling.
    pub seed: u64,
    /// The priority; higher numbers are scheduled first.
    pub priority: u8,
}

/// One part of an engine's response, sent as one server-sent event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The id of the attempt.
    pub attempt: Arc<str>,
    /// The index of the chunk's first token.
    pub offset: u32,
    /// The tokens.
    pub tokens: Vec<Arc<str>>,
    /// The weights version that produced them.
    pub weights_version: u64,
    /// `stop` or `length` in the last chunk.
    pub finish: Option<Arc<str>>,
}

/// The state that an engine reports of itself. It lags behind the actual state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// A number that changes each time the engine starts.
    pub incarnation: u64,
    /// Attempts that are generating.
    pub running: u32,
    /// Attempts that are waiting for a slot.
    pub queued: u32,
    /// The maximum number of attempts that generate concurrently.
    pub slots: u32,
    /// The weights version in use.
    pub weights_version: u64,
    /// The highest fencing number of any order received.
    pub fence: u64,
    /// The engine's current role.
    pub role: Role,
}

/// The part of inference that an engine performs.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Processes prompts and generates tokens.
    #[default]
    Mixed,
    /// Only processes prompts.
    Prefill,
    /// Only generates tokens.
    Decode,
}

/// An order to an engine. Orders are idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number of the lease under which the order is sent.
    pub fence: u64,
    /// The action to perform.
    pub action: Action,
}

/// An action that an engine can be ordered to perform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads this weights version and uses it.
    LoadVersion(u64),
    /// Loads this adapter.
    LoadAdapter(Arc<str>),
    /// Switches to this role.
    TakeRole(Role),
}
