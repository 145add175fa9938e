//! What a ledger reads and writes at the platform.

use std::sync::Arc;

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;

use super::{
    clock::{now_ms, sleep_until},
    platform::{Platform, TransactResult},
    state::Daemon,
};
use crate::{
    core::sample::{
        ChunkRow, CommitPlan, HeadRow, MissingObject, StoredLedger, chunks_prefix, head_key,
        steps_prefix,
    },
    error::{ErrorKind, Refusal},
    wire::{platform::Row, trainers::OpenStep},
};

const OBJECT_DELETE_MS: u64 = 20;

/// What came of a commit.
pub(super) enum CommitResult {
    /// It took effect; the head has this row version now.
    Committed(u64),
    /// It did not take effect.
    NotCommitted,
    /// Only reading tells.
    Unknown,
}

/// Reads what a new holder goes on from, the head first: what is committed in
/// between is noticed by the first commit, which then meets a conflict.
pub(super) async fn load(daemon: &Daemon, trainer: &str) -> Result<StoredLedger, Refusal> {
    let (head, row_version) = read_head(daemon, trainer).await?;
    let mut steps = Vec::new();
    for row in scan(daemon, &steps_prefix(trainer)).await? {
        let step: OpenStep = serde_json::from_value(row.value).map_err(internal)?;
        steps.push(step);
    }
    let prefix = chunks_prefix(trainer);
    let mut chunks = Vec::new();
    for row in scan(daemon, &prefix).await? {
        let number = row.key[prefix.len()..].parse().map_err(internal)?;
        let chunk: ChunkRow = serde_json::from_value(row.value).map_err(internal)?;
        chunks.push((number, chunk));
    }
    Ok(StoredLedger {
        head,
        row_version,
        steps,
        chunks,
    })
}

async fn scan(daemon: &Daemon, prefix: &str) -> Result<Vec<Row>, Refusal> {
    daemon.metrics.platform_reads.inc();
    daemon.platform.scan(prefix).await
}

pub(super) async fn read_head(
    daemon: &Daemon,
    trainer: &str,
) -> Result<(Option<HeadRow>, u64), Refusal> {
    daemon.metrics.platform_reads.inc();
    let row = daemon.platform.get(&head_key(trainer)).await?;
    let row_version = row.as_ref().map_or(0, |row| row.row_version);
    let head = row
        .map(|row| serde_json::from_value(row.value).map_err(internal))
        .transpose()?;
    Ok((head, row_version))
}

/// Writes the payload, then the transaction.
pub(super) async fn commit(daemon: &Daemon, trainer: &str, plan: &CommitPlan) -> CommitResult {
    if let Some(payload) = &plan.payload {
        daemon.metrics.platform_writes.inc();
        let bytes = payload.bytes.clone();
        let put = daemon.platform.put_object(&payload.object, bytes).await;
        if put.is_err() {
            return CommitResult::NotCommitted;
        }
    }
    daemon.metrics.platform_writes.inc();
    match daemon.platform.transact(&plan.transaction).await {
        TransactResult::Committed(outcome) => {
            let key = head_key(trainer);
            let versions = outcome.row_versions.iter();
            let version = versions.filter(|(row, _)| *row == key).map(|row| row.1);
            // Without the version only reading tells how to go on.
            version
                .max()
                .map_or(CommitResult::Unknown, CommitResult::Committed)
        }
        TransactResult::Refused => CommitResult::NotCommitted,
        TransactResult::Conflict | TransactResult::Unknown => CommitResult::Unknown,
    }
}

/// Reads an object that a hand-over needs; none if it is gone.
pub(super) async fn read_object(
    daemon: &Daemon,
    missing: &MissingObject,
) -> Result<Option<Bytes>, Refusal> {
    daemon.metrics.platform_reads.inc();
    daemon.platform.get_object(&missing.object).await
}

/// Objects that stay behind after a failure cost room, and nothing else.
pub(super) async fn delete_objects(platform: Platform, deleted: Counter, objects: Vec<Arc<str>>) {
    for object in objects {
        if platform.delete_object(&object).await.is_ok() {
            deleted.inc();
        }
        sleep_until(now_ms() + OBJECT_DELETE_MS).await;
    }
}

fn internal<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::Internal, error.to_string())
}
