//! Listing samples: each position of a batch is filled once, for ever.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::mpsc;

use super::state::Server;
use crate::{
    core::{
        Name,
        batch::{ListedSample, ListedState},
    },
    platform::{Condition, Row, StoreError, Tx, TxOutcome},
};

/// The table of listed samples, one part a batch.
pub(crate) const LISTING_TABLE: &str = "listed";
/// How many positions are filled; every listing writes it, so that positions
/// are filled one after another whoever writes.
const NEXT_KEY: &str = "next";
const POSITION_PREFIX: &str = "p/";
const SAMPLE_PREFIX: &str = "s/";
/// The key after all positions.
const AFTER_POSITIONS: &str = "p0";
const AFTER_SAMPLES: &str = "s0";

/// The most samples listed with one transaction: it holds 100 entries.
const MAX_LISTED: usize = 30;
/// The most bytes of text in one transaction.
const MAX_BYTES: usize = 500_000;
/// How long samples are gathered before they are listed, in milliseconds: it
/// halves the writes and is far below the pace of the readers.
const GATHER_MS: u64 = 30;
const AFTER_FAILURE_MS: u64 = 100;

/// Returns the key of a position; keys are in the order of positions.
pub(crate) fn position_key(position: usize) -> Name {
    format!("{POSITION_PREFIX}{position:08}").into()
}

/// Reads the samples listed from a position on.
pub(crate) async fn read_listed(
    server: &Server,
    batch: &str,
    from: usize,
    limit: usize,
) -> Result<Vec<ListedSample>, StoreError> {
    let from = position_key(from);
    let rows = server
        .store
        .read(LISTING_TABLE, batch, &from, Some(AFTER_POSITIONS), limit)
        .await?;
    let listed = rows.rows.iter().map(decode);
    listed.collect()
}

fn decode(row: &Row) -> Result<ListedSample, StoreError> {
    let bytes = row.bytes.as_deref().unwrap_or_default();
    rmp_serde::from_slice(bytes).map_err(|error| StoreError::Unknown(error.to_string()))
}

/// Reads which samples are listed, with their positions.
pub(crate) async fn read_names(
    server: &Server,
    batch: &str,
) -> Result<BTreeMap<Name, usize>, StoreError> {
    let rows = server
        .store
        .read(
            LISTING_TABLE,
            batch,
            SAMPLE_PREFIX,
            Some(AFTER_SAMPLES),
            usize::MAX,
        )
        .await?;
    let mut names = BTreeMap::new();
    for row in &rows.rows {
        let bytes = row.bytes.as_deref().unwrap_or_default();
        let position =
            rmp_serde::from_slice(bytes).map_err(|error| StoreError::Unknown(error.to_string()))?;
        if let Some(name) = row.key.strip_prefix(SAMPLE_PREFIX) {
            names.insert(name.into(), position);
        }
    }
    Ok(names)
}

/// How many positions are filled, and the version of that row.
#[derive(Clone, Copy, Debug, Default)]
struct Next {
    position: usize,
    row_version: u64,
}

/// Lists samples as they come, until the sender is dropped and all is listed.
pub(crate) async fn list(
    server: Arc<Server>,
    batch: Name,
    mut finished: mpsc::UnboundedReceiver<ListedSample>,
) {
    let mut next: Option<Next> = None;
    let mut waiting: Vec<ListedSample> = Vec::new();
    loop {
        if waiting.is_empty() {
            match finished.recv().await {
                Some(sample) => waiting.push(sample),
                None => return,
            }
            tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        }
        while let Ok(sample) = finished.try_recv() {
            waiting.push(sample);
        }
        if let Err(error) = list_some(&server, &batch, &mut next, &mut waiting).await {
            tracing::warn!(%batch, waiting = waiting.len(), %error, "samples not listed yet");
            next = None;
            tokio::time::sleep(Duration::from_millis(AFTER_FAILURE_MS)).await;
        }
    }
}

async fn list_some(
    server: &Server,
    batch: &Name,
    next: &mut Option<Next>,
    waiting: &mut Vec<ListedSample>,
) -> Result<(), StoreError> {
    let at = if let Some(at) = *next {
        at
    } else {
        // What came of a write without an answer is known only by reading.
        let listed = read_names(server, batch).await?;
        waiting.retain(|sample| !listed.contains_key(&sample.id));
        if waiting.is_empty() {
            return Ok(());
        }
        read_next(server, batch).await?
    };
    let count = batch_len(waiting);
    let tx = listing(batch, at, &waiting[..count])?;
    match server.store.transact(&tx).await? {
        TxOutcome::Committed(row_version) => {
            note_listed(server, batch, at, &waiting[..count]);
            waiting.drain(..count);
            *next = Some(Next {
                position: at.position + count,
                row_version,
            });
        }
        TxOutcome::Conflict(rows) => {
            // Another VM listed meanwhile; a sample that it listed is dropped.
            for row in rows.iter().filter(|row| row.version > 0) {
                if let Some(name) = row.key.strip_prefix(SAMPLE_PREFIX) {
                    tracing::info!(%batch, sample = name, "listed by another VM");
                    waiting.retain(|sample| &*sample.id != name);
                }
            }
            let row = rows.iter().find(|row| &*row.key == NEXT_KEY);
            *next = match row {
                Some(row) => Some(decode_next(row)?),
                None => None,
            };
        }
    }
    Ok(())
}

fn batch_len(waiting: &[ListedSample]) -> usize {
    let mut bytes = 0;
    let fits = |sample: &&ListedSample| {
        bytes += sample.text.len();
        bytes <= MAX_BYTES
    };
    let fitting = waiting.iter().take(MAX_LISTED).take_while(fits).count();
    fitting.max(1)
}

fn listing(batch: &Name, at: Next, samples: &[ListedSample]) -> Result<Tx, StoreError> {
    let encode_failed = |error: rmp_serde::encode::Error| StoreError::NotDone(error.to_string());
    let mut tx = Tx {
        part: batch.clone(),
        conditions: vec![Condition {
            table: LISTING_TABLE,
            key: NEXT_KEY.into(),
            row_version: at.row_version,
        }],
        ..Tx::default()
    };
    let filled = at.position + samples.len();
    let filled = rmp_serde::to_vec(&filled).map_err(encode_failed)?;
    tx.set.push((LISTING_TABLE, NEXT_KEY.into(), filled));
    for (offset, sample) in samples.iter().enumerate() {
        let name: Name = format!("{SAMPLE_PREFIX}{}", sample.id).into();
        tx.conditions.push(Condition {
            table: LISTING_TABLE,
            key: name.clone(),
            row_version: 0,
        });
        let bytes = rmp_serde::to_vec_named(sample).map_err(encode_failed)?;
        let position = at.position + offset;
        tx.set.push((LISTING_TABLE, position_key(position), bytes));
        let position = rmp_serde::to_vec(&position).map_err(encode_failed)?;
        tx.set.push((LISTING_TABLE, name, position));
    }
    Ok(tx)
}

fn note_listed(server: &Server, batch: &Name, at: Next, samples: &[ListedSample]) {
    for (offset, sample) in samples.iter().enumerate() {
        server.metrics.samples_listed.inc();
        if sample.state == ListedState::Dead {
            server.metrics.samples_dead.inc();
        }
        tracing::info!(%batch, sample = %sample.id, position = at.position + offset,
            state = %sample.state, versions = ?sample.weights_versions, "listed");
    }
}

async fn read_next(server: &Server, batch: &str) -> Result<Next, StoreError> {
    let to = format!("{NEXT_KEY}\0");
    let rows = server
        .store
        .read(LISTING_TABLE, batch, NEXT_KEY, Some(&to), 1)
        .await?;
    rows.rows.first().map_or(Ok(Next::default()), decode_next)
}

fn decode_next(row: &Row) -> Result<Next, StoreError> {
    if row.version == 0 {
        return Ok(Next::default());
    }
    let bytes = row.bytes.as_deref().unwrap_or_default();
    let position =
        rmp_serde::from_slice(bytes).map_err(|error| StoreError::Unknown(error.to_string()))?;
    Ok(Next {
        position,
        row_version: row.version,
    })
}
