use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::core::Name;

/// The call that scores a sample.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ScoreCall {
    /// The call's request id.
    pub id: Name,
    /// The host that selects the route.
    pub host: Name,
    /// The path that selects the route.
    pub path: Name,
    /// The body.
    pub body: Bytes,
}

/// One sample that a trainer asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SampleSpec {
    /// The sample's id, which is the request id of its runs.
    pub id: Name,
    /// The path of its runs.
    pub path: Name,
    /// The headers of its runs.
    pub headers: Vec<(Name, Name)>,
    /// The body of its runs.
    pub body: Bytes,
    /// The group; its samples share their prompt.
    pub group: Name,
    /// About how many tokens it generates, by the trainer's estimate.
    pub length_hint: u64,
    /// The call that scores it, if any.
    pub score: Option<ScoreCall>,
}

/// A batch as its trainer handed it in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchSpec {
    /// The batch's id.
    pub id: Name,
    /// The host that the trainer named.
    pub host: Name,
    /// The path that the trainer named.
    pub path: Name,
    /// The trainer's step.
    pub step: u64,
    /// The model.
    pub model: Name,
    /// The oldest weights version that may generate a token.
    pub min_weights_version: u64,
    /// How many whole groups the trainer waits for.
    pub target_groups: usize,
    /// The samples.
    pub samples: Vec<SampleSpec>,
}

/// What the platform keeps of an accepted batch beside the samples.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchHead {
    /// The object that holds the [`BatchSpec`].
    pub object: Name,
    /// When it was accepted, by the platform's clock.
    pub accepted_platform_ms: u64,
    /// How many samples it has.
    pub sample_count: usize,
    /// About how many tokens they generate, by the trainer's estimates.
    pub tokens: u64,
    /// Its groups: some may have come in an earlier batch already.
    pub groups: BTreeSet<Name>,
    /// Into how many shares its groups are divided.
    pub share_count: u32,
    /// The host that the trainer named.
    pub host: Name,
    /// The path that the trainer named.
    pub path: Name,
    /// The model.
    pub model: Name,
    /// The oldest weights version that may generate a token.
    pub min_weights_version: u64,
}

/// How a sample ended.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// Its whole text was generated and scored.
    Done,
    /// It was given up.
    Dead,
}

/// What stands at one position of a batch, for ever.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedSample {
    /// The sample.
    pub id: Name,
    /// How it ended.
    pub state: ListedState,
    /// The whole text.
    pub text: Name,
    /// The weights versions that generated its events, in their order.
    pub weights_versions: Vec<u64>,
    /// The score.
    pub score: Option<Name>,
}
