use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::core::Name;

/// A request that scores a sample.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ScoreCall {
    /// The request id.
    pub id: Name,
    /// The host that selects the route.
    pub host: Name,
    /// The path that selects the route.
    pub path: Name,
    /// The request body.
    pub body: Bytes,
}

/// A sample that a trainer requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SampleSpec {
    /// The sample's id, also used as the request id of its runs.
    pub id: Name,
    /// The request path of its runs.
    pub path: Name,
    /// The request headers of its runs.
    pub headers: Vec<(Name, Name)>,
    /// The request body of its runs.
    pub body: Bytes,
    /// The group that the sample belongs to; a group's samples share a prompt.
    pub group: Name,
    /// The trainer's estimate of how many tokens the sample generates.
    pub length_hint: u64,
    /// The most tokens that the sample may generate, if the trainer names any.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// The request that scores the sample, if any.
    pub score: Option<ScoreCall>,
}

impl SampleSpec {
    /// Returns whether the sample can have an event of this number: each event holds at
    /// least one token.
    #[must_use]
    pub fn allows_event(&self, number: u64) -> bool {
        self.max_tokens
            .is_none_or(|max_tokens| number <= max_tokens)
    }
}

/// A batch as its trainer submitted it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchSpec {
    /// The batch's id.
    pub id: Name,
    /// The host that the trainer named.
    pub host: Name,
    /// The path that the trainer named.
    pub path: Name,
    /// The training step that the batch is for.
    pub step: u64,
    /// The model.
    pub model: Name,
    /// The oldest weights version that may generate a token.
    pub min_weights_version: u64,
    /// The number of complete groups that the trainer waits for.
    pub target_groups: usize,
    /// The samples.
    pub samples: Vec<SampleSpec>,
    /// The account whose caller submitted the batch; `None` if there were no accounts, or
    /// an older build accepted it.
    #[serde(default)]
    pub account: Option<Name>,
}

/// The metadata of an accepted batch, stored separately from its samples.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchHead {
    /// The object that holds the [`BatchSpec`], or its first part.
    pub object: Name,
    /// The number of objects that the [`BatchSpec`] is split over.
    #[serde(default = "one_part")]
    pub object_parts: usize,
    /// The bytes of these objects together; 0 in heads that an older build wrote.
    #[serde(default)]
    pub spec_bytes: usize,
    /// When the batch was accepted, in milliseconds of the platform's clock.
    pub accepted_platform_ms: u64,
    /// The number of samples.
    pub sample_count: usize,
    /// The trainer's estimate of how many tokens all samples generate.
    pub tokens: u64,
    /// The groups; some may already have been part of an earlier batch.
    pub groups: BTreeSet<Name>,
    /// The number of shares that the groups are divided into.
    pub share_count: u32,
    /// The host that the trainer named.
    pub host: Name,
    /// The path that the trainer named.
    pub path: Name,
    /// The model.
    pub model: Name,
    /// The oldest weights version that may generate a token.
    pub min_weights_version: u64,
    /// The account whose caller submitted the batch; `None` if there were no accounts, or
    /// an older build accepted it.
    #[serde(default)]
    pub account: Option<Name>,
}

impl BatchHead {
    /// Returns the names of the objects that hold the [`BatchSpec`], in order.
    pub fn object_names(&self) -> impl Iterator<Item = Name> {
        object_part_names(&self.object, self.object_parts)
    }
}

/// Returns the names of the objects of a batch that is split into `parts`.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::object_part_names;
///
/// let names: Vec<_> = object_part_names(&"batch-7".into(), 2).collect();
/// assert_eq!(names, ["batch-7".into(), "batch-7-1".into()]);
/// ```
pub fn object_part_names(first: &Name, parts: usize) -> impl Iterator<Item = Name> {
    (0..parts).map(move |part| match part {
        0 => first.clone(),
        part => format!("{first}-{part}").into(),
    })
}

const fn one_part() -> usize {
    1
}

/// The final state of a sample.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// The text was generated completely and scored, if a score was requested.
    Done,
    /// The sample was abandoned.
    Dead,
}

/// The result at one position of a batch, which never changes once listed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedSample {
    /// The sample's id.
    pub id: Name,
    /// The final state.
    pub state: ListedState,
    /// The text.
    pub text: Name,
    /// The weights versions that generated the events, in order of first use.
    pub weights_versions: Vec<u64>,
    /// The score, if there is one.
    pub score: Option<Name>,
}
