//! Lists finished samples: each position of a batch is filled once and never
//! changes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use tokio::sync::mpsc;

use super::{
    row_values::{load_value, store_value},
    sample::FinishedSample,
    state::Server,
};
use crate::{
    core::{
        Name,
        batch::{ListedSample, ListedState, json_bytes},
    },
    platform::{Condition, OTHER_RESULT_BYTES, Row, StoreError, Tx, TxOutcome},
};

/// The table of listed samples, with one part per batch.
pub(crate) const LISTING_TABLE: &str = "listed";
/// The key of the row with the number of filled positions.
///
/// Every listing transaction writes the row, so that positions are filled in
/// order even if several VMs list samples.
const NEXT_KEY: &str = "next";
/// The prefix of the keys of listed samples, before the position.
const POSITION_PREFIX: &str = "p/";
/// The prefix of the keys of positions, before the sample's id.
const SAMPLE_PREFIX: &str = "s/";
/// The first key after all positions.
const POSITIONS_END: &str = "p0";
/// The first key after all samples' ids.
const SAMPLES_END: &str = "s0";

/// The most samples that one transaction lists. A transaction holds 100 entries.
const MAX_SAMPLES_PER_TX: usize = 30;
/// The most bytes of listed samples in one transaction.
const MAX_ROW_BYTES_PER_TX: usize = 500_000;
/// How long samples are collected before they are listed, in milliseconds. The
/// delay halves the number of writes and is far shorter than the interval at
/// which readers poll.
const LISTING_DELAY_MS: u64 = 30;
/// How long to wait before a failed listing is retried, in milliseconds.
const LISTING_RETRY_DELAY_MS: u64 = 100;

/// Returns the key of a position. Keys sort in the order of positions.
pub(crate) fn position_key(position: usize) -> Name {
    format!("{POSITION_PREFIX}{position:08}").into()
}

/// Returns the prefix of the names of the objects that hold long texts of a batch.
pub(crate) fn text_object_prefix(batch: &str) -> String {
    format!("text-{batch}-")
}

/// Reads listed samples, starting at position `from`, until they would exceed
/// `max_bytes` in an answer; at least one, if there is one.
///
/// # Errors
///
/// Fails if the store cannot be read or a sample cannot be decoded.
pub(crate) async fn read_listed(
    server: &Server,
    batch: &str,
    from: usize,
    max_bytes: usize,
) -> Result<Vec<ListedSample>, StoreError> {
    let from = position_key(from);
    let limit = (max_bytes / OTHER_RESULT_BYTES).max(1);
    let (page, _) = server
        .store
        .read_page(LISTING_TABLE, batch, &from, Some(POSITIONS_END), limit)
        .await?;
    let mut listed = Vec::new();
    let mut bytes = 0;
    for row in &page.rows {
        let sample = decode_listed(server, row).await?;
        bytes += json_bytes(&sample.text) + OTHER_RESULT_BYTES;
        if bytes > max_bytes && !listed.is_empty() {
            break;
        }
        listed.push(sample);
    }
    Ok(listed)
}

async fn decode_listed(server: &Server, row: &Row) -> Result<ListedSample, StoreError> {
    let bytes = row.bytes.as_deref().unwrap_or_default();
    let value = load_value(server, bytes).await?;
    rmp_serde::from_slice(&value).map_err(|error| {
        StoreError::Unknown(format!(
            "listed sample {} cannot be decoded: {error}",
            row.key
        ))
    })
}

/// Reads the positions of the listed samples, by sample id.
///
/// # Errors
///
/// Fails if the store cannot be read or a position cannot be decoded.
pub(crate) async fn read_listed_positions(
    server: &Server,
    batch: &str,
) -> Result<BTreeMap<Name, usize>, StoreError> {
    let rows = server
        .store
        .read(
            LISTING_TABLE,
            batch,
            SAMPLE_PREFIX,
            Some(SAMPLES_END),
            usize::MAX,
        )
        .await?;
    let mut positions = BTreeMap::new();
    for row in &rows.rows {
        let bytes = row.bytes.as_deref().unwrap_or_default();
        let position = rmp_serde::from_slice(bytes).map_err(|error| {
            StoreError::Unknown(format!(
                "position of listed sample {} cannot be decoded: {error}",
                row.key
            ))
        })?;
        if let Some(sample) = row.key.strip_prefix(SAMPLE_PREFIX) {
            positions.insert(sample.into(), position);
        }
    }
    Ok(positions)
}

/// The first free position, and the version of the row that holds it.
#[derive(Clone, Copy, Debug, Default)]
struct NextPosition {
    position: usize,
    row_version: u64,
}

/// A sample that waits to be listed, and the row that is to hold it.
struct WaitingSample {
    finished: FinishedSample,
    /// `None` until its text is in the store if it is too long for a row.
    row: Option<Vec<u8>>,
}

/// Lists finished samples until all senders are dropped and all samples are
/// listed.
pub(crate) async fn list_finished(
    server: Arc<Server>,
    batch: Name,
    mut finished: mpsc::UnboundedReceiver<FinishedSample>,
) {
    let mut next: Option<NextPosition> = None;
    let mut waiting: Vec<WaitingSample> = Vec::new();
    let unprepared = |finished| WaitingSample {
        finished,
        row: None,
    };
    loop {
        if waiting.is_empty() {
            match finished.recv().await {
                Some(sample) => waiting.push(unprepared(sample)),
                None => return,
            }
            tokio::time::sleep(Duration::from_millis(LISTING_DELAY_MS)).await;
        }
        while let Ok(sample) = finished.try_recv() {
            waiting.push(unprepared(sample));
        }
        let prepared = prepare_rows(&server, &batch, &mut waiting).await;
        let listed = list_prepared(&server, &batch, &mut next, &mut waiting).await;
        if let Err(error) = prepared.and(listed) {
            tracing::warn!(%batch, waiting = waiting.len(), %error, "samples not listed yet");
            next = None;
            tokio::time::sleep(Duration::from_millis(LISTING_RETRY_DELAY_MS)).await;
        }
    }
}

/// Encodes the rows of samples that have none, and moves those whose object could not
/// be written to the end, where they hold up no other.
///
/// # Errors
///
/// Returns the error of the last object that could not be written.
async fn prepare_rows(
    server: &Server,
    batch: &str,
    waiting: &mut [WaitingSample],
) -> Result<(), StoreError> {
    let prefix = text_object_prefix(batch);
    let rows = waiting.iter_mut().filter(|entry| entry.row.is_none());
    let rows = rows.map(async |entry| {
        let sample = &entry.finished.listed;
        let value = rmp_serde::to_vec_named(sample).map_err(|error| {
            StoreError::NotDone(format!("sample {} cannot be encoded: {error}", sample.id))
        })?;
        entry.row = Some(store_value(server, &prefix, value).await?);
        Ok(())
    });
    let outcomes = join_all(rows).await;
    waiting.sort_by_key(|entry| entry.row.is_none());
    outcomes.into_iter().collect()
}

/// Lists the first samples that have rows.
async fn list_prepared(
    server: &Server,
    batch: &Name,
    next: &mut Option<NextPosition>,
    waiting: &mut Vec<WaitingSample>,
) -> Result<(), StoreError> {
    let start = if let Some(start) = *next {
        start
    } else {
        // After a failed write, only a read shows whether it took effect.
        let listed = read_listed_positions(server, batch).await?;
        waiting.retain(|entry| !listed.contains_key(&entry.finished.listed.id));
        read_next_position(server, batch).await?
    };
    let count = count_fitting(waiting);
    if count == 0 {
        return Ok(());
    }
    let tx = listing_tx(batch, start, &waiting[..count])?;
    match server.store.transact(&tx).await? {
        TxOutcome::Committed(row_version) => {
            record_listed(server, batch, start, &waiting[..count]);
            waiting.drain(..count);
            *next = Some(NextPosition {
                position: start.position + count,
                row_version,
            });
        }
        TxOutcome::Conflict(rows) => {
            // Another VM has listed samples in the meantime; those that it has
            // listed are not listed again.
            for row in rows.iter().filter(|row| row.version > 0) {
                if let Some(sample) = row.key.strip_prefix(SAMPLE_PREFIX) {
                    tracing::info!(%batch, sample, "sample listed by another VM");
                    waiting.retain(|entry| &*entry.finished.listed.id != sample);
                }
            }
            let row = rows.iter().find(|row| &*row.key == NEXT_KEY);
            *next = match row {
                Some(row) => Some(decode_next_position(row)?),
                None => None,
            };
        }
    }
    Ok(())
}

/// Returns how many of the first samples have rows that fit into one transaction.
fn count_fitting(waiting: &[WaitingSample]) -> usize {
    let mut bytes = 0;
    let rows = waiting.iter().map_while(|entry| entry.row.as_ref());
    let fits = |row: &&Vec<u8>| {
        bytes += row.len();
        bytes <= MAX_ROW_BYTES_PER_TX
    };
    rows.take(MAX_SAMPLES_PER_TX).take_while(fits).count()
}

/// Returns the transaction that lists samples from position `start` on.
fn listing_tx(
    batch: &Name,
    start: NextPosition,
    samples: &[WaitingSample],
) -> Result<Tx, StoreError> {
    let encode_failed = |error: rmp_serde::encode::Error| {
        StoreError::NotDone(format!(
            "listing of batch {batch} cannot be encoded: {error}"
        ))
    };
    let mut tx = Tx {
        part: batch.clone(),
        conditions: vec![Condition {
            table: LISTING_TABLE,
            key: NEXT_KEY.into(),
            row_version: start.row_version,
        }],
        ..Tx::default()
    };
    let filled = start.position + samples.len();
    let filled = rmp_serde::to_vec(&filled).map_err(encode_failed)?;
    tx.set.push((LISTING_TABLE, NEXT_KEY.into(), filled));
    for (offset, entry) in samples.iter().enumerate() {
        let id = &entry.finished.listed.id;
        let sample_key: Name = format!("{SAMPLE_PREFIX}{id}").into();
        tx.conditions.push(Condition {
            table: LISTING_TABLE,
            key: sample_key.clone(),
            row_version: 0,
        });
        let row = entry.row.clone().unwrap_or_default();
        let position = start.position + offset;
        tx.set.push((LISTING_TABLE, position_key(position), row));
        let position = rmp_serde::to_vec(&position).map_err(encode_failed)?;
        tx.set.push((LISTING_TABLE, sample_key, position));
    }
    Ok(tx)
}

/// Counts and logs samples that were listed.
fn record_listed(server: &Server, batch: &Name, start: NextPosition, samples: &[WaitingSample]) {
    for (offset, entry) in samples.iter().enumerate() {
        let sample = &entry.finished.listed;
        server.metrics.samples_listed.inc();
        if sample.state == ListedState::Dead {
            server.metrics.samples_dead.inc();
        }
        tracing::info!(%batch, sample = %sample.id, position = start.position + offset,
            state = %sample.state, versions = ?sample.weights_versions, "listed");
    }
}

async fn read_next_position(server: &Server, batch: &str) -> Result<NextPosition, StoreError> {
    let to = format!("{NEXT_KEY}\0");
    let rows = server
        .store
        .read(LISTING_TABLE, batch, NEXT_KEY, Some(&to), 1)
        .await?;
    rows.rows
        .first()
        .map_or(Ok(NextPosition::default()), decode_next_position)
}

fn decode_next_position(row: &Row) -> Result<NextPosition, StoreError> {
    if row.version == 0 {
        return Ok(NextPosition::default());
    }
    let bytes = row.bytes.as_deref().unwrap_or_default();
    let position = rmp_serde::from_slice(bytes).map_err(|error| {
        StoreError::Unknown(format!(
            "number of filled positions cannot be decoded: {error}"
        ))
    })?;
    Ok(NextPosition {
        position,
        row_version: row.version,
    })
}
