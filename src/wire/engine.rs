//! The protocol of model engines.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Asks an engine to generate, or to resume an attempt that it knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Generate {
    /// The id of this attempt; never used twice.
    pub attempt: Arc<str>,
    /// The text to continue.
    pub prompt: Arc<str>,
    /// Tokens generated earlier, after which to continue.
    pub prefix: Vec<Arc<str>>,
    /// The most tokens in all, the prefix included.
    pub max_tokens: u32,
    /// The seed for sampling.
    pub seed: u64,
    /// The priority; a higher number goes first.
    pub priority: u8,
}

/// A piece of an engine's answer, as one server-sent event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The attempt this piece belongs to.
    pub attempt: Arc<str>,
    /// The index of the first token of this piece.
    pub offset: u32,
    /// The tokens.
    pub tokens: Vec<Arc<str>>,
    /// The weights version that produced them.
    pub weights_version: u64,
    /// `stop` or `length` on the last piece.
    pub finish: Option<Arc<str>>,
}

/// What an engine reports of itself; it lags behind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// A number that changes whenever the engine starts anew.
    pub incarnation: u64,
    /// Attempts that generate now.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// Attempts that can generate together.
    pub slots: u32,
    /// The weights version in use.
    pub weights_version: u64,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The role that the engine has taken.
    pub role: Role,
}

/// What an engine is used for.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Reads prompts and generates.
    #[default]
    Mixed,
    /// Only reads prompts.
    Prefill,
    /// Only generates.
    Decode,
}

/// An order to an engine; repeating one is harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number of the lease under which it is given.
    pub fence: u64,
    /// What the engine is to do.
    pub action: Action,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load this weights version and use it.
    LoadVersion(u64),
    /// Load this adapter.
    LoadAdapter(Arc<str>),
    /// Take this role.
    TakeRole(Role),
}
