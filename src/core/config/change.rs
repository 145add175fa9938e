use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::VersionedDocument;

/// One accepted patch: what turns version `number - 1` into `number`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The version that the change gave.
    pub number: u64,
    /// The id of the patch.
    pub patch_id: Arc<str>,
    /// The JSON merge patch (RFC 7396).
    pub merge: Value,
}

/// What brings a daemon that is behind to a newer version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The changes that it lacks, in the order of their numbers.
    Changes(Vec<Change>),
    /// The whole document, for one that is too far behind.
    Whole(VersionedDocument),
}
