use std::collections::BTreeMap;

use serde_json::{Value, json};

/// The largest number of changes kept for clients that follow a table.
const MAX_HISTORY_ENTRIES: usize = 2_000;

/// The table, part and key of a row.
type RowKey = (String, String, String);

/// The current state of a row.
#[derive(Clone, Debug)]
pub struct Row {
    /// The value, encoded as base64.
    pub value: String,
    /// The version of the transaction that wrote the row.
    pub row_version: u64,
}

/// Rows and objects in memory, without I/O.
#[derive(Debug, Default)]
pub struct RowStore {
    rows: BTreeMap<RowKey, Row>,
    /// The changed keys, each with the version of its change.
    history: Vec<(u64, RowKey)>,
    /// The newest version whose changes are no longer in the history.
    dropped_version: u64,
    version: u64,
    /// The objects, by name.
    pub objects: BTreeMap<String, Vec<u8>>,
}

fn string_field(entry: &Value, name: &str) -> String {
    entry[name].as_str().unwrap_or_default().to_owned()
}

fn row_key(entry: &Value) -> RowKey {
    (
        string_field(entry, "table"),
        string_field(entry, "part"),
        string_field(entry, "key"),
    )
}

impl RowStore {
    /// Returns the newest version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Writes a row without a condition, as operators and samplers do.
    pub fn put(&mut self, table: &str, name: &str, value: String) {
        self.version += 1;
        self.write(
            (table.to_owned(), String::new(), name.to_owned()),
            Some(value),
        );
    }

    /// Removes a row without a condition.
    pub fn remove(&mut self, table: &str, name: &str) {
        self.version += 1;
        self.write((table.to_owned(), String::new(), name.to_owned()), None);
    }

    /// Removes all earlier changes from the history.
    pub fn clear_history(&mut self) {
        self.history.clear();
        self.dropped_version = self.version;
    }

    /// Applies a transaction if all its conditions hold, and returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// Returns the current rows of all conditions if one does not hold.
    pub fn transact(&mut self, body: &Value) -> Result<u64, Value> {
        let none = Vec::new();
        let conditions = body["expect_rev"].as_array().unwrap_or(&none);
        let holds = |condition: &Value| {
            let row_version = self
                .rows
                .get(&row_key(condition))
                .map_or(0, |row| row.row_version);
            Some(row_version) == condition["row_version"].as_u64()
        };
        if !conditions.iter().all(holds) {
            let rows = conditions
                .iter()
                .map(|condition| self.row_json(&row_key(condition)));
            return Err(rows.collect());
        }
        self.version += 1;
        for entry in body["set_keys"].as_array().unwrap_or(&none) {
            self.write(row_key(entry), Some(string_field(entry, "value")));
        }
        for entry in body["remove"].as_array().unwrap_or(&none) {
            self.write(row_key(entry), None);
        }
        Ok(self.version)
    }

    /// Returns which limit of the platform a transaction exceeds, if any.
    #[must_use]
    pub fn excess(body: &Value, row_bytes: usize, entries: usize) -> Option<&'static str> {
        let none = Vec::new();
        let lists = ["expect_rev", "set_keys", "remove"];
        let count: usize = lists
            .iter()
            .map(|list| body[*list].as_array().map_or(0, Vec::len))
            .sum();
        let is_too_long = |entry: &Value| {
            let value = entry["value"].as_str().unwrap_or_default();
            let padding = value.bytes().rev().take_while(|byte| *byte == b'=').count();
            value.len() / 4 * 3 - padding > row_bytes
        };
        if count > entries {
            return Some("the transaction has too many entries");
        }
        let mut set = body["set_keys"].as_array().unwrap_or(&none).iter();
        set.any(is_too_long).then_some("a row is too long")
    }

    fn write(&mut self, key: RowKey, value: Option<String>) {
        self.history.push((self.version, key.clone()));
        if self.history.len() > MAX_HISTORY_ENTRIES {
            let dropped = self.history.remove(0);
            self.dropped_version = dropped.0;
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

    fn row_json(&self, key: &RowKey) -> Value {
        let (table, part, name) = key;
        match self.rows.get(key) {
            Some(row) => json!({"table": table, "part": part, "key": name,
                "value": row.value, "row_version": row.row_version}),
            None => json!({"table": table, "part": part, "key": name,
                "tombstone": true, "row_version": 0}),
        }
    }

    /// Returns the rows of a part whose keys are at least `from` and less than
    /// `to`.
    #[must_use]
    pub fn read(&self, table: &str, part: &str, from: &str, to: Option<&str>) -> Vec<Value> {
        let keys_of_part = self
            .rows
            .keys()
            .filter(|(row_table, row_part, _)| row_table == table && row_part == part);
        keys_of_part
            .filter(|(_, _, name)| &**name >= from && to.is_none_or(|to| &**name < to))
            .map(|key| self.row_json(key))
            .collect()
    }

    /// Returns the parts of a table.
    #[must_use]
    pub fn parts(&self, table: &str) -> Vec<String> {
        let keys_of_table = self
            .rows
            .keys()
            .filter(|(row_table, _, _)| row_table == table);
        let mut parts: Vec<String> = keys_of_table.map(|(_, part, _)| part.clone()).collect();
        parts.dedup();
        parts
    }

    /// Returns the rows of a table that changed after a version, in the order of
    /// their last change.
    ///
    /// Returns `None` if the history does not reach back to that version.
    #[must_use]
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.dropped_version {
            return None;
        }
        let newer = self.history.iter().filter(|(version, _)| *version > after);
        let mut keys: Vec<&RowKey> = newer
            .map(|(_, key)| key)
            .filter(|(row_table, _, _)| row_table == table)
            .collect();
        keys.reverse();
        let mut seen = std::collections::BTreeSet::new();
        keys.retain(|key| seen.insert((*key).clone()));
        keys.reverse();
        Some(keys.into_iter().map(|key| self.row_json(key)).collect())
    }
}
