//! Messages between trainers and daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::callers::VersionSpan;

/// Opens a step: asks for groups of samples.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OpenStep {
    /// The step's number; opening it again with the same content is harmless.
    pub step: u64,
    /// The trainer's weights version.
    pub weights_version: u64,
    /// One prompt a group.
    pub prompts: Vec<Arc<str>>,
    /// How many samples each group has.
    pub samples_per_group: u32,
    /// The most tokens a sample has.
    pub max_tokens: u32,
    /// The most versions by which a delivered sample may be behind.
    pub staleness_bound: u64,
}

/// The place that exactly one sample fills.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Slot {
    /// The step's number.
    pub step: u64,
    /// The index of the group.
    pub group: u32,
    /// The index of the sample in its group.
    pub index: u32,
}

/// A sample as its trainer gets it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// The place it fills.
    pub slot: Slot,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The generated tokens.
    pub tokens: Vec<Arc<str>>,
    /// The weights versions that produced the tokens.
    pub weights: Vec<VersionSpan>,
    /// The seed.
    pub seed: u64,
}

/// Asks for samples that were not acknowledged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    /// Where to go on; the same cursor always gives the same samples.
    pub cursor: u64,
    /// The trainer's weights version now.
    pub weights_version: u64,
    /// The most samples to answer.
    pub limit: u32,
}

/// Samples in the order of their cursors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetched {
    /// The samples.
    pub samples: Vec<Sample>,
    /// The cursor after the last of them.
    pub next_cursor: u64,
}

/// Says that samples have been taken over, and which weights the trainer has now.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Acknowledge {
    /// Every sample before this cursor is the trainer's.
    pub cursor: u64,
    /// The trainer's weights version now.
    pub weights_version: u64,
}

/// The answer to [`OpenStep`] and [`Acknowledge`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcknowledgedCursor {
    /// The cursor that is acknowledged.
    pub acknowledged_cursor: u64,
}
