//! Messages between trainers and daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::callers::VersionSpan;

/// Opens a step, which requests groups of samples.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OpenStep {
    /// The step's number. Opening the same step again with the same content has
    /// no effect.
    pub step: u64,
    /// The trainer's weights version.
    pub weights_version: u64,
    /// One prompt per group.
    pub prompts: Vec<Arc<str>>,
    /// The number of samples in each group.
    pub samples_per_group: u32,
    /// The maximum number of tokens of a sample.
    pub max_tokens: u32,
    /// The maximum number of weights versions by which a delivered sample may lag
    /// behind the trainer.
    pub staleness_bound: u64,
}

/// Identifies a sample's position in a step. Exactly one sample fills it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Slot {
    /// The step's number.
    pub step: u64,
    /// The index of the group.
    pub group: u32,
    /// The index of the sample in its group.
    pub index: u32,
}

/// A sample as delivered to its trainer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// The slot that the sample fills.
    pub slot: Slot,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The generated tokens.
    pub tokens: Vec<Arc<str>>,
    /// The weights versions that produced the tokens.
    pub weights: Vec<VersionSpan>,
    /// The seed for sampling.
    pub seed: u64,
}

/// Asks for samples that are not yet acknowledged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    /// The cursor to start from. The same cursor always gives the same samples.
    pub cursor: u64,
    /// The trainer's current weights version.
    pub weights_version: u64,
    /// The maximum number of samples to return.
    pub limit: u32,
}

/// The response to [`Fetch`]: samples in the order of their cursors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetched {
    /// The samples.
    pub samples: Vec<Sample>,
    /// The cursor after the last sample.
    pub next_cursor: u64,
}

/// Acknowledges received samples and reports the trainer's weights version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Acknowledge {
    /// The trainer has received every sample before this cursor.
    pub cursor: u64,
    /// The trainer's current weights version.
    pub weights_version: u64,
}

/// The response to [`OpenStep`] and [`Acknowledge`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcknowledgedCursor {
    /// The cursor up to which samples are acknowledged.
    pub acknowledged_cursor: u64,
}
