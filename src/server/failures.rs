//! Keeps how often samples have failed, so that the next owner of their share
//! counts on.

use std::{collections::BTreeMap, time::Duration};

use super::state::Server;
use crate::{
    core::Name,
    platform::{Row, Tx},
};

/// The table of failures, with one part per batch.
pub(crate) const FAILURE_TABLE: &str = "failures";
/// The prefix of the keys of failed runs, before the sample's id.
const RUN_PREFIX: &str = "run/";
/// The prefix of the keys of failed score calls, before the sample's id.
const SCORE_PREFIX: &str = "score/";
/// The count of a sample that no endpoint can run successfully.
pub(crate) const PERMANENT_FAILURE_COUNT: u32 = u32::MAX;
/// How long to wait before a failed read is retried, in milliseconds.
const READ_RETRY_DELAY_MS: u64 = 150;

/// How often a sample and its score call were answered with an error.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SampleFailures {
    pub(crate) runs: u32,
    pub(crate) score_calls: u32,
}

/// What was answered with an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FailedCall {
    Run,
    Score,
}

/// Reads the failures of a batch's samples; a failed read is retried.
pub(crate) async fn read_failures(server: &Server, batch: &Name) -> BTreeMap<Name, SampleFailures> {
    loop {
        let read = server
            .store
            .read(FAILURE_TABLE, batch, "", None, usize::MAX)
            .await;
        match read {
            Ok(rows) => return collect_failures(batch, &rows.rows),
            Err(error) => tracing::warn!(%batch, %error, "failures of samples not read"),
        }
        tokio::time::sleep(Duration::from_millis(READ_RETRY_DELAY_MS)).await;
    }
}

fn collect_failures(batch: &Name, rows: &[Row]) -> BTreeMap<Name, SampleFailures> {
    let mut failures: BTreeMap<Name, SampleFailures> = BTreeMap::new();
    for row in rows {
        let bytes = row.bytes.as_deref().unwrap_or_default();
        let count: u32 = match rmp_serde::from_slice(bytes) {
            Ok(count) => count,
            Err(error) => {
                tracing::error!(%batch, key = %row.key, %error, "failures not decoded");
                continue;
            }
        };
        if let Some(sample) = row.key.strip_prefix(RUN_PREFIX) {
            failures.entry(sample.into()).or_default().runs = count;
        } else if let Some(sample) = row.key.strip_prefix(SCORE_PREFIX) {
            failures.entry(sample.into()).or_default().score_calls = count;
        }
    }
    failures
}

/// Writes how often a sample has failed so far.
///
/// A failed write is not retried: the next failure writes the count again.
pub(crate) async fn write_failures(
    server: &Server,
    batch: &Name,
    sample: &Name,
    call: FailedCall,
    count: u32,
) {
    let prefix = match call {
        FailedCall::Run => RUN_PREFIX,
        FailedCall::Score => SCORE_PREFIX,
    };
    let bytes = match rmp_serde::to_vec(&count) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%batch, %sample, %error, "failures not encoded");
            return;
        }
    };
    let tx = Tx {
        part: batch.clone(),
        set: vec![(FAILURE_TABLE, format!("{prefix}{sample}").into(), bytes)],
        ..Tx::default()
    };
    if let Err(error) = server.store.transact(&tx).await {
        tracing::info!(%batch, %sample, count, %error, "failures not written");
    }
}
