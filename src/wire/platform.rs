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
    /// Counts the writes to the row; 0 where there is no row.
    pub row_version: u64,
    /// The value; `null` where there is no row.
    pub value: Value,
}

/// Asks for rows by key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Get {
    /// The keys; one row is answered for each, in this order.
    pub keys: Vec<Arc<str>>,
}

/// Asks for the rows whose key starts with a prefix, in the order of keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Scan {
    /// What the keys start with.
    pub prefix: Arc<str>,
    /// Only keys after this one.
    pub after: Arc<str>,
    /// The most rows to answer.
    pub limit: u32,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Check {
    /// The key.
    pub key: Arc<str>,
    /// The version that the row must have; 0 where there must be no row.
    pub row_version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// The key.
    pub key: Arc<str>,
    /// The new value; none deletes the row.
    pub value: Option<Value>,
}

/// Writes rows together, if every check holds.
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
    /// The versions of the checked and written rows, now.
    pub row_versions: Vec<(Arc<str>, u64)>,
}

/// One VM in the platform's list, which lags behind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// The VM's name.
    pub vm: Name,
    /// Whether the platform is about to take the VM away.
    pub leaving: bool,
}
