//! Follows a table of the platform's store.

use std::{sync::Arc, time::Duration};

use super::state::Server;
use crate::{
    daemon::now_ms,
    platform::{Row, Rows, StoreError, WatchOutcome},
};

/// How long one watch waits for a change, in milliseconds: short enough to
/// detect a connection that no longer responds and still apply a change within
/// 2 s.
const WATCH_WAIT_MS: u64 = 1_000;
/// The delay before a failed call is retried, in milliseconds.
const CALL_RETRY_DELAY_MS: u64 = 150;
/// The time without an answer from which the store counts as having had an
/// outage, in milliseconds; less may be a single lost connection.
const MIN_OUTAGE_MS: u64 = 700;

/// A change of a table, or of the reachability of its store.
pub(crate) enum TableUpdate {
    /// The whole table.
    All(Vec<Row>),
    /// The rows that have changed.
    Changed(Vec<Row>),
    /// The store answers again after an outage.
    Recovered,
}

/// Whether the rows of a table are all in one part or spread over many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TableLayout {
    OnePart,
    ManyParts,
}

/// Reads a table, then watches it for changes, for as long as the process runs.
///
/// Calls `on_update` with each change. The whole table is read again if the
/// store no longer has the history since the last change.
pub(crate) async fn follow_table<F>(
    server: Arc<Server>,
    table: &'static str,
    layout: TableLayout,
    mut on_update: F,
) where
    F: FnMut(&Arc<Server>, TableUpdate) + Send,
{
    let mut watch_after: Option<u64> = None;
    let mut newest_version = 0;
    let mut failing_since_ms: Option<u64> = None;
    loop {
        let result = match watch_after {
            None => read_all(&server, table, layout).await.map(Some),
            Some(after) => match server.store.watch(table, after, WATCH_WAIT_MS).await {
                Ok(WatchOutcome::Changed(rows)) => {
                    watch_after = Some(rows.version.max(after));
                    if !rows.rows.is_empty() {
                        on_update(&server, TableUpdate::Changed(rows.rows));
                    }
                    Ok(None)
                }
                Ok(WatchOutcome::HistoryLost) => {
                    tracing::info!(table, after, "history lost: table is read again");
                    watch_after = None;
                    Ok(None)
                }
                Err(error) => Err(error),
            },
        };
        match result {
            Ok(read) => {
                if let Some(since_ms) = failing_since_ms.take() {
                    let away_ms = now_ms() - since_ms;
                    tracing::info!(table, away_ms, "store answers again");
                    if away_ms >= MIN_OUTAGE_MS {
                        on_update(&server, TableUpdate::Recovered);
                    }
                }
                // An older state never replaces a newer one.
                if let Some(rows) = read.filter(|rows| rows.version >= newest_version) {
                    watch_after = Some(rows.version);
                    on_update(&server, TableUpdate::All(rows.rows));
                }
                newest_version = newest_version.max(watch_after.unwrap_or(0));
            }
            Err(error) => {
                if failing_since_ms.is_none() {
                    tracing::warn!(table, %error, "store does not answer");
                    failing_since_ms = Some(now_ms());
                }
                tokio::time::sleep(Duration::from_millis(CALL_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn read_all(server: &Server, table: &str, layout: TableLayout) -> Result<Rows, StoreError> {
    match layout {
        TableLayout::OnePart => server.store.read(table, "", "", None, usize::MAX).await,
        TableLayout::ManyParts => server.store.read_table(table).await,
    }
}
