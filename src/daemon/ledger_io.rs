//! What a ledger reads and writes at the platform.

use bytes::Bytes;

use super::{platform::Written, state::Daemon};
use crate::{
    core::sample::{
        ChunkRow, CommitPlan, Head, Loaded, Missing, chunks_prefix, head_key, steps_prefix,
    },
    error::{ErrorKind, Refusal},
    wire::{platform::Row, trainers::OpenStep},
};

/// What came of a commit.
pub(super) enum Commit {
    /// It took effect; the head has this row version now.
    Done(u64),
    /// It did not take effect.
    Refused,
    /// Only reading tells.
    Unknown,
}

/// Reads what a new holder goes on from, the head first: what is committed in
/// between is noticed by the first commit, which then meets a conflict.
pub(super) async fn load(daemon: &Daemon, trainer: &str) -> Result<Loaded, Refusal> {
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
    Ok(Loaded {
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
) -> Result<(Option<Head>, u64), Refusal> {
    daemon.metrics.platform_reads.inc();
    let row = daemon.platform.get(&head_key(trainer)).await?;
    let row_version = row.as_ref().map_or(0, |row| row.row_version);
    let head = row
        .map(|row| serde_json::from_value(row.value).map_err(internal))
        .transpose()?;
    Ok((head, row_version))
}

/// Writes the payload, then the transaction.
pub(super) async fn commit(daemon: &Daemon, trainer: &str, plan: &CommitPlan) -> Commit {
    if let Some(payload) = &plan.payload {
        daemon.metrics.platform_writes.inc();
        let bytes = payload.bytes.clone();
        let put = daemon.platform.put_object(&payload.object, bytes).await;
        if put.is_err() {
            return Commit::Refused;
        }
    }
    daemon.metrics.platform_writes.inc();
    match daemon.platform.transact(&plan.transaction).await {
        Written::Committed(outcome) => {
            let key = head_key(trainer);
            let versions = outcome.row_versions.iter();
            let version = versions.filter(|(row, _)| *row == key).map(|row| row.1);
            // Without the version only reading tells how to go on.
            version.max().map_or(Commit::Unknown, Commit::Done)
        }
        Written::Refused => Commit::Refused,
        Written::Conflict | Written::Unknown => Commit::Unknown,
    }
}

/// Reads an object that a hand-over needs; none if it is gone.
pub(super) async fn read_object(
    daemon: &Daemon,
    missing: &Missing,
) -> Result<Option<Bytes>, Refusal> {
    daemon.metrics.platform_reads.inc();
    daemon.platform.get_object(&missing.object).await
}

fn internal<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::Internal, error.to_string())
}
