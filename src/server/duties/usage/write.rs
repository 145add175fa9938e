use std::sync::Arc;

use super::{
    super::Duties,
    UsageState,
    rows::{USAGE_TABLE, count_key},
    time::store_ahead_ms,
};
use crate::{
    core::duties::{CountWrite, WritePace},
    daemon::{now_ms, sleep_until},
    platform::{Condition, Tx, TxOutcome},
    server::state::{Server, lock},
};

/// How often a write is tried at once: a row may have another version after an answer was
/// lost, or was deleted.
const MAX_ATTEMPTS: usize = 2;
/// How long the end of the process may be delayed to write the last counts, in
/// milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 250;

/// Writes this VM's counts soon after they change, for as long as the process runs.
pub(crate) async fn write_counts(server: Arc<Server>, duties: Arc<Duties>) {
    let Some(usage) = &duties.usage else { return };
    loop {
        let pace = pace(&server);
        let write_at_ms = lock(&usage.counts).write_at_ms(&pace);
        let Some(write_at_ms) = write_at_ms else {
            usage.changed.notified().await;
            continue;
        };
        sleep_until(write_at_ms).await;
        write_once(&server, usage).await;
    }
}

/// Returns the pace of this VM's writes among the live VMs.
fn pace(server: &Server) -> WritePace {
    let members = lock(&server.members);
    let (mut live_vms, mut rank) = (0, 0);
    for (vm, _) in members.live_vms() {
        live_vms += 1;
        rank += u64::from(*vm < server.settings.vm);
    }
    WritePace::new(live_vms, rank, store_ahead_ms(&server.store).unwrap_or(0))
}

/// Writes the counts that are left before the process ends.
pub(crate) async fn flush_counts(server: &Server) {
    let usage = server
        .duties
        .as_ref()
        .and_then(|duties| duties.usage.as_ref());
    let Some(usage) = usage else { return };
    if lock(&usage.counts).unwritten() == 0 {
        return;
    }
    let limit = std::time::Duration::from_millis(FLUSH_TIMEOUT_MS);
    if tokio::time::timeout(limit, write_once(server, usage))
        .await
        .is_err()
    {
        let requests = lock(&usage.counts).unwritten();
        tracing::warn!(requests, "counts of usage not written before the exit");
    }
}

async fn write_once(server: &Server, usage: &UsageState) {
    for _ in 0..MAX_ATTEMPTS {
        let writes = lock(&usage.counts).begin_write(now_ms());
        if writes.is_empty() || !is_repeated_at_once(server, usage, &writes).await {
            break;
        }
    }
    let unwritten = lock(&usage.counts).unwritten();
    server.metrics.set_unwritten_usage(unwritten);
}

fn encode(server: &Server, writes: &[CountWrite]) -> Result<Tx, rmp_serde::encode::Error> {
    let mut tx = Tx::default();
    for write in writes {
        let key = count_key(write.window, &server.settings.vm, server.incarnation);
        tx.conditions.push(Condition {
            table: USAGE_TABLE,
            key: key.clone(),
            row_version: write.row_version,
        });
        let bytes = rmp_serde::to_vec_named(&write.report)?;
        tx.set.push((USAGE_TABLE, key, bytes));
    }
    Ok(tx)
}

/// Writes counts, and returns whether rows had other versions, which are now known.
async fn is_repeated_at_once(server: &Server, usage: &UsageState, writes: &[CountWrite]) -> bool {
    let tx = match encode(server, writes) {
        Ok(tx) => tx,
        Err(error) => {
            tracing::error!(%error, "counts of usage not encoded");
            return false;
        }
    };
    match server.store.transact(&tx).await {
        Ok(TxOutcome::Committed(row_version)) => {
            lock(&usage.counts).on_written(writes, row_version);
            log_late(server, usage, writes);
            false
        }
        Ok(TxOutcome::Conflict(rows)) => {
            let mut counts = lock(&usage.counts);
            for write in writes {
                let key = count_key(write.window, &server.settings.vm, server.incarnation);
                if let Some(row) = rows.iter().find(|row| row.key == key) {
                    counts.on_conflict(write.window, row.version);
                }
            }
            counts.on_not_written(now_ms());
            true
        }
        Err(error) => {
            lock(&usage.counts).on_not_written(now_ms());
            tracing::debug!(%error, "counts of usage not written yet");
            false
        }
    }
}

/// Logs counts that were written after those of their window were collected.
fn log_late(server: &Server, usage: &UsageState, writes: &[CountWrite]) {
    let true_ms = usage.true_ms(&server.store);
    for write in writes {
        let late_ms = true_ms.saturating_sub(usage.windows.collect_at_ms(write.window));
        if late_ms > 0 {
            tracing::warn!(
                window = write.window,
                requests = write.report.total(),
                late_ms,
                "counts of usage are late: the report of their window may miss some"
            );
        }
    }
}
