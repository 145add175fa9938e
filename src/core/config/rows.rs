//! The table rows that hold the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of the row with the latest version number, which every patch writes
/// by compare-and-set.
pub const NUMBER_KEY: &str = "config/number";
/// The key of the row with a snapshot of the whole document.
pub const SNAPSHOT_KEY: &str = "config/snapshot";
/// The prefix of the keys of changes.
pub const HISTORY_KEY_PREFIX: &str = "config/history/";
/// The number of versions between two snapshots of the whole document.
pub const SNAPSHOT_INTERVAL_VERSIONS: u64 = 64;

/// The row under [`NUMBER_KEY`].
///
/// It is small because every daemon polls it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NumberRow {
    /// The latest version.
    pub number: u64,
}

/// The row that records an accepted patch under its id, so that a patch that is
/// sent again gets the same answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PatchRow {
    /// The version that the patch produced.
    pub number: u64,
    /// A hash of the patch, which detects a different patch under the same id.
    pub digest: Arc<str>,
}

/// Returns the key of the row that records the patch with this id.
#[must_use]
pub fn patch_key(id: &str) -> Arc<str> {
    format!("config/patch/{id}").into()
}

/// Returns the key of the change that produced version `number`.
///
/// Keys sort in the order of the versions.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::history_key;
///
/// assert!(history_key(9) < history_key(10));
/// ```
#[must_use]
pub fn history_key(number: u64) -> Arc<str> {
    format!("{HISTORY_KEY_PREFIX}{number:020}").into()
}
