//! The rows of the table that hold the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of the row that every patch writes by compare-and-set.
pub const NUMBER_KEY: &str = "config/number";
/// The key of the row with a whole document.
pub const SNAPSHOT_KEY: &str = "config/snapshot";
/// What the keys of the changes start with.
pub const HISTORY_KEY_PREFIX: &str = "config/history/";
/// Every so many versions, the whole document is written.
pub const SNAPSHOT_INTERVAL_VERSIONS: u64 = 64;

/// The row under [`NUMBER_KEY`]; small, since every daemon polls it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NumberRow {
    /// The latest version.
    pub number: u64,
}

/// The row that remembers the answer to a patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PatchRow {
    /// The version that the patch gave.
    pub number: u64,
    /// A hash of the patch, to tell another one under the same id.
    pub digest: Arc<str>,
}

/// Returns the key of the row that remembers the answer to a patch.
#[must_use]
pub fn patch_key(id: &str) -> Arc<str> {
    format!("config/patch/{id}").into()
}

/// Returns the key of the change that gave version `number`.
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
