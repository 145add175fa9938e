use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use bytes::Bytes;
use chicoryreach::wire::platform::{Get, ListedVm, Row, Scan, Transaction, TransactionOutcome};
use serde_json::Value;

/// The rows, objects and list of VMs of a platform stand-in.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<Arc<str>, (u64, Value)>,
    /// The last version of each row. It survives the row's deletion, so that
    /// versions keep rising.
    last_versions: BTreeMap<Arc<str>, u64>,
    /// The objects, by name.
    pub objects: BTreeMap<Arc<str>, Bytes>,
    /// The list of VMs that the platform reports.
    pub vms: Vec<ListedVm>,
    /// The number of reads served.
    pub reads: u64,
    /// The number of transactions that took effect.
    pub writes: u64,
}

impl Store {
    /// Reads rows by key. A missing row has version 0 and no value.
    pub fn get(&mut self, get: &Get) -> Vec<Row> {
        self.reads += 1;
        get.keys.iter().map(|key| self.row(key)).collect()
    }

    fn row(&self, key: &Arc<str>) -> Row {
        let (row_version, value) = self.rows.get(key).cloned().unwrap_or((0, Value::Null));
        Row {
            key: key.clone(),
            row_version,
            value,
        }
    }

    /// Reads rows whose keys start with a prefix.
    pub fn scan(&mut self, scan: &Scan) -> Vec<Row> {
        self.reads += 1;
        let start = if scan.after.is_empty() {
            Bound::Included(scan.prefix.clone())
        } else {
            Bound::Excluded(scan.after.clone())
        };
        let rows = self.rows.range((start, Bound::Unbounded));
        rows.take_while(|(key, _)| key.starts_with(&*scan.prefix))
            .take(scan.limit as usize)
            .map(|(key, (row_version, value))| Row {
                key: key.clone(),
                row_version: *row_version,
                value: value.clone(),
            })
            .collect()
    }

    /// Applies all writes of a transaction atomically if every check holds.
    pub fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let committed = transaction
            .checks
            .iter()
            .all(|check| self.version(&check.key) == check.row_version);
        if committed {
            self.writes += 1;
            for write in &transaction.writes {
                self.write(&write.key, write.value.clone());
            }
        }
        let checked = transaction.checks.iter().map(|check| &check.key);
        let written = transaction.writes.iter().map(|write| &write.key);
        let row_versions = checked
            .chain(written)
            .map(|key| (key.clone(), self.version(key)))
            .collect();
        TransactionOutcome {
            committed,
            row_versions,
        }
    }

    fn version(&self, key: &Arc<str>) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    fn write(&mut self, key: &Arc<str>, value: Option<Value>) {
        let last = self.last_versions.entry(key.clone()).or_default();
        *last += 1;
        match value {
            Some(value) => self.rows.insert(key.clone(), (*last, value)),
            None => self.rows.remove(key),
        };
    }
}
