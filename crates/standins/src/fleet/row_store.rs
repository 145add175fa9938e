use std::collections::BTreeMap;

use serde_json::{Value, json};

/// How many changes are remembered for whoever follows a table.
const HISTORY: usize = 2_000;

/// The key of a row: table, part, key.
type RowKey = (String, String, String);

/// One row as it stands.
#[derive(Clone, Debug)]
pub struct Row {
    /// The value, as base64.
    pub value: String,
    /// The transaction that wrote it.
    pub row_version: u64,
}

/// Rows and objects, without any I/O.
#[derive(Debug, Default)]
pub struct RowStore {
    rows: BTreeMap<RowKey, Row>,
    history: Vec<(u64, RowKey)>,
    /// Changes up to this version are forgotten.
    forgotten_version: u64,
    version: u64,
    /// The objects.
    pub objects: BTreeMap<String, Vec<u8>>,
}

fn text(entry: &Value, name: &str) -> String {
    entry[name].as_str().unwrap_or_default().to_owned()
}

fn key(entry: &Value) -> RowKey {
    (
        text(entry, "table"),
        text(entry, "part"),
        text(entry, "key"),
    )
}

impl RowStore {
    /// Returns the newest version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Writes a row without any condition, as operators and samplers do.
    pub fn put(&mut self, table: &str, name: &str, value: String) {
        self.version += 1;
        self.write(
            (table.to_owned(), String::new(), name.to_owned()),
            Some(value),
        );
    }

    /// Removes a row without any condition.
    pub fn remove(&mut self, table: &str, name: &str) {
        self.version += 1;
        self.write((table.to_owned(), String::new(), name.to_owned()), None);
    }

    /// Drops what it knows of earlier changes.
    pub fn clear_history(&mut self) {
        self.history.clear();
        self.forgotten_version = self.version;
    }

    /// Applies a transaction; returns the rows of the conditions if one fails.
    ///
    /// # Errors
    ///
    /// The rows as they stand, where a condition does not hold.
    pub fn transact(&mut self, body: &Value) -> Result<u64, Value> {
        let none = Vec::new();
        let conditions = body["expect_rev"].as_array().unwrap_or(&none);
        let holds = |condition: &Value| {
            let row_version = self
                .rows
                .get(&key(condition))
                .map_or(0, |row| row.row_version);
            Some(row_version) == condition["row_version"].as_u64()
        };
        if !conditions.iter().all(holds) {
            let rows = conditions
                .iter()
                .map(|condition| self.shown(&key(condition)));
            return Err(rows.collect());
        }
        self.version += 1;
        for entry in body["set_keys"].as_array().unwrap_or(&none) {
            self.write(key(entry), Some(text(entry, "value")));
        }
        for entry in body["remove"].as_array().unwrap_or(&none) {
            self.write(key(entry), None);
        }
        Ok(self.version)
    }

    fn write(&mut self, key: RowKey, value: Option<String>) {
        self.history.push((self.version, key.clone()));
        if self.history.len() > HISTORY {
            let dropped = self.history.remove(0);
            self.forgotten_version = dropped.0;
        }
        match value {
            Some(value) => {
                let row_version = self.version;
                self.rows.insert(key, Row { value, row_version });
            }
            None => {
                self.rows.remove(&key);
            }
        }
    }

    fn shown(&self, key: &RowKey) -> Value {
        let (table, part, name) = key;
        match self.rows.get(key) {
            Some(row) => json!({"table": table, "part": part, "key": name,
                "value": row.value, "row_version": row.row_version}),
            None => json!({"table": table, "part": part, "key": name,
                "tombstone": true, "row_version": 0}),
        }
    }

    /// Reads the rows of a part from a key on, before another.
    #[must_use]
    pub fn read(&self, table: &str, part: &str, from: &str, to: Option<&str>) -> Vec<Value> {
        let of_part = self.rows.keys().filter(|(t, p, _)| t == table && p == part);
        of_part
            .filter(|(_, _, name)| &**name >= from && to.is_none_or(|to| &**name < to))
            .map(|key| self.shown(key))
            .collect()
    }

    /// Returns the parts of a table.
    #[must_use]
    pub fn parts(&self, table: &str) -> Vec<String> {
        let of_table = self.rows.keys().filter(|(t, _, _)| t == table);
        let mut parts: Vec<String> = of_table.map(|(_, part, _)| part.clone()).collect();
        parts.dedup();
        parts
    }

    /// Returns what has changed of a table after a version; none where that
    /// is no longer known.
    #[must_use]
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.forgotten_version {
            return None;
        }
        let newer = self.history.iter().filter(|(version, _)| *version > after);
        let mut keys: Vec<&RowKey> = newer
            .map(|(_, key)| key)
            .filter(|(of_table, _, _)| of_table == table)
            .collect();
        keys.reverse();
        let mut seen = std::collections::BTreeSet::new();
        keys.retain(|key| seen.insert((*key).clone()));
        keys.reverse();
        Some(keys.into_iter().map(|key| self.shown(key)).collect())
    }
}
