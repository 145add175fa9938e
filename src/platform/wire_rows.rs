//! Encodes transactions and decodes rows of the store.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};

use super::store::{Row, Tx};
use crate::core::Name;

#[derive(Deserialize)]
pub(super) struct WireRow {
    #[serde(default)]
    pub(super) part: Name,
    pub(super) key: Name,
    pub(super) value: Option<String>,
    #[serde(default)]
    pub(super) row_version: u64,
    #[serde(default)]
    pub(super) tombstone: bool,
}

#[derive(Deserialize)]
pub(super) struct WireRows {
    #[serde(default)]
    pub(super) rows: Vec<WireRow>,
    #[serde(default)]
    pub(super) has_more: bool,
    /// The newest version of the store, not the version of a row.
    pub(super) row_version: u64,
    pub(super) now_ms: u64,
}

#[derive(Deserialize)]
pub(super) struct WireTxAnswer {
    #[serde(default)]
    pub(super) rows: Vec<WireRow>,
    #[serde(default)]
    pub(super) row_version: u64,
    pub(super) now_ms: Option<u64>,
}

#[derive(Serialize)]
pub(super) struct WireTx {
    /// The rows that the transaction depends on, and the version that each must
    /// have.
    pub(super) expect_rev: Vec<WireCondition>,
    pub(super) set_keys: Vec<WireSet>,
    pub(super) remove: Vec<WireKey>,
}

#[derive(Serialize)]
pub(super) struct WireCondition {
    pub(super) table: &'static str,
    pub(super) part: Name,
    pub(super) key: Name,
    pub(super) row_version: u64,
}

#[derive(Serialize)]
pub(super) struct WireSet {
    pub(super) table: &'static str,
    pub(super) part: Name,
    pub(super) key: Name,
    pub(super) value: String,
}

#[derive(Serialize)]
pub(super) struct WireKey {
    pub(super) table: &'static str,
    pub(super) part: Name,
    pub(super) key: Name,
}

/// Decodes a row. A value that is not base64 is dropped.
pub(super) fn decode_row(row: WireRow) -> Row {
    let bytes = row.value.filter(|_| !row.tombstone);
    let bytes = bytes.and_then(|text| match STANDARD.decode(&text) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::warn!(part = %row.part, key = %row.key, %error,
                "value of the row ignored: it is not base64");
            None
        }
    });
    Row {
        part: row.part,
        key: row.key,
        bytes,
        version: if row.tombstone { 0 } else { row.row_version },
    }
}

/// Encodes a transaction.
pub(super) fn encode_tx(tx: &Tx) -> WireTx {
    let part = &tx.part;
    WireTx {
        expect_rev: tx
            .conditions
            .iter()
            .map(|condition| WireCondition {
                table: condition.table,
                part: part.clone(),
                key: condition.key.clone(),
                row_version: condition.row_version,
            })
            .collect(),
        set_keys: tx
            .set
            .iter()
            .map(|(table, key, bytes)| WireSet {
                table,
                part: part.clone(),
                key: key.clone(),
                value: STANDARD.encode(bytes),
            })
            .collect(),
        remove: tx
            .delete
            .iter()
            .map(|(table, key)| WireKey {
                table,
                part: part.clone(),
                key: key.clone(),
            })
            .collect(),
    }
}
