//! The protocol of the platform: table, object store and list of VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::core::Name;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: Arc<str>,
    /// The number of writes to the row; 0 if the row does not exist.
    pub row_version: u64,
    /// The value; `null` if the row does not exist.
    pub value: Value,
}

/// Asks for rows by key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Get {
    /// The keys. The response has one row for each, in this order.
    pub keys: Vec<Arc<str>>,
}

/// Asks for the rows whose key starts with a prefix, sorted by key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Scan {
    /// The prefix of the keys.
    pub prefix: Arc<str>,
    /// The key after which the scan starts.
    pub after: Arc<str>,
    /// The maximum number of rows to return.
    pub limit: u32,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Check {
    /// The key.
    pub key: Arc<str>,
    /// The version that the row must have; 0 if the row must not exist.
    pub row_version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// The key.
    pub key: Arc<str>,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Writes rows atomically if every check holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransactionOutcome {
    /// Whether the writes took effect.
    pub committed: bool,
    /// The current versions of the checked and written rows.
    pub row_versions: Vec<(Arc<str>, u64)>,
}

/// One VM in the platform's list. The list lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// The VM's name.
    pub vm: Name,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}
