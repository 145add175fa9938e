//! Reads and writes a ledger's rows and objects at the platform.

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

/// The pause after each deletion of an object.
const OBJECT_DELETE_PAUSE_MS: u64 = 20;

/// The result of a commit.
pub(super) enum CommitResult {
    /// The commit took effect; the head row has this version now.
    Committed(u64),
    /// The commit did not take effect.
    NotCommitted,
    /// The commit may have taken effect; only a read can show whether.
    Unknown,
}

/// Reads the stored ledger from which a new holder resumes.
///
/// The head is read first. If another holder commits between the reads, the
/// first commit here fails with a conflict.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnavailable`] if the table cannot be read, and
/// [`ErrorKind::Internal`] if a row cannot be decoded.
pub(super) async fn load(daemon: &Daemon, trainer: &str) -> Result<StoredLedger, Refusal> {
    let (head, row_version) = read_head(daemon, trainer).await?;
    let mut steps = Vec::new();
    for row in scan(daemon, &steps_prefix(trainer)).await? {
        let step: OpenStep =
            serde_json::from_value(row.value).map_err(|error| decode_error(&row.key, error))?;
        steps.push(step);
    }
    let prefix = chunks_prefix(trainer);
    let mut chunks = Vec::new();
    for row in scan(daemon, &prefix).await? {
        let number = row.key[prefix.len()..].parse();
        let number = number.map_err(|error| decode_error(&row.key, error))?;
        let chunk: ChunkRow =
            serde_json::from_value(row.value).map_err(|error| decode_error(&row.key, error))?;
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

/// Reads the head row and its version, which is 0 if there is no such row.
///
/// # Errors
///
/// As for [`load`].
pub(super) async fn read_head(
    daemon: &Daemon,
    trainer: &str,
) -> Result<(Option<HeadRow>, u64), Refusal> {
    daemon.metrics.platform_reads.inc();
    let row = daemon.platform.get(&head_key(trainer)).await?;
    let row_version = row.as_ref().map_or(0, |row| row.row_version);
    let head = row
        .map(|row| serde_json::from_value(row.value).map_err(|error| decode_error(&row.key, error)))
        .transpose()?;
    Ok((head, row_version))
}

/// Commits a plan: writes its payload as an object, then runs its transaction.
pub(super) async fn commit(daemon: &Daemon, trainer: &str, plan: &CommitPlan) -> CommitResult {
    if let Some(payload) = &plan.payload {
        daemon.metrics.platform_writes.inc();
        let bytes = payload.bytes.clone();
        let result = daemon.platform.put_object(&payload.object, bytes).await;
        if result.is_err() {
            return CommitResult::NotCommitted;
        }
    }
    daemon.metrics.platform_writes.inc();
    match daemon.platform.transact(&plan.transaction).await {
        TransactResult::Committed(outcome) => {
            let key = head_key(trainer);
            let versions = outcome.row_versions.iter();
            let version = versions.filter(|(row, _)| *row == key).map(|row| row.1);
            // The next commit needs the version. If the response lacks it, the
            // head must be read.
            version
                .max()
                .map_or(CommitResult::Unknown, CommitResult::Committed)
        }
        TransactResult::Refused => CommitResult::NotCommitted,
        TransactResult::Conflict | TransactResult::Unknown => CommitResult::Unknown,
    }
}

/// Reads an object that a fetch needs, or returns `None` if it does not exist.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnavailable`] if the object store cannot be read.
pub(super) async fn read_object(
    daemon: &Daemon,
    missing: &MissingObject,
) -> Result<Option<Bytes>, Refusal> {
    daemon.metrics.platform_reads.inc();
    daemon.platform.get_object(&missing.object).await
}

/// Deletes objects one after another.
///
/// An object whose deletion fails is left behind, which only takes up storage.
pub(super) async fn delete_objects(platform: Platform, deleted: Counter, objects: Vec<Arc<str>>) {
    for object in objects {
        if platform.delete_object(&object).await.is_ok() {
            deleted.inc();
        }
        sleep_until(now_ms() + OBJECT_DELETE_PAUSE_MS).await;
    }
}

fn decode_error<E>(key: &str, error: E) -> Refusal
where
    E: std::fmt::Display,
{
    let message = format!("the row '{key}' of the table cannot be decoded: {error}");
    Refusal::new(ErrorKind::Internal, message)
}
