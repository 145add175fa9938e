use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::VersionedDocument;

/// An accepted patch, which turns version `number - 1` into `number`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The version that the change produced.
    pub number: u64,
    /// The id of the patch.
    pub patch_id: Arc<str>,
    /// The JSON merge patch (RFC 7396).
    pub merge: Value,
}

/// The data that brings an outdated daemon to a newer version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The missing changes, in ascending order of their numbers.
    Changes(Vec<Change>),
    /// The whole document, where the missing changes are no longer kept.
    Whole(VersionedDocument),
}
