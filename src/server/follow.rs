//! Following a table of the platform's store.

use std::{sync::Arc, time::Duration};

use super::state::Server;
use crate::{
    daemon::now_ms,
    platform::{Row, Rows, StoreError, WatchOutcome},
};

/// How long one watch waits, in milliseconds: a connection that has gone
/// silent is noticed soon enough for a change to be in force within 2 s.
const WAIT_MS: u64 = 1_000;
/// How long to wait after a call that failed, in milliseconds.
const AFTER_FAILURE_MS: u64 = 150;
/// From how long without an answer on the store counts as having been away,
/// in milliseconds; less is one lost connection.
const OUTAGE_MS: u64 = 700;

/// What came of a table.
pub(crate) enum Update {
    /// The whole table.
    All(Vec<Row>),
    /// Rows that have changed.
    Changed(Vec<Row>),
    /// The store answers again after an outage.
    Back,
}

/// Whether a table's rows have parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Layout {
    OnePart,
    ManyParts,
}

/// Follows a table for as long as the process runs.
pub(crate) async fn follow<F>(
    server: Arc<Server>,
    table: &'static str,
    layout: Layout,
    mut on_update: F,
) where
    F: FnMut(&Arc<Server>, Update) + Send,
{
    let mut at: Option<u64> = None;
    let mut newest = 0;
    let mut failing_since_ms: Option<u64> = None;
    loop {
        let result = match at {
            None => read_all(&server, table, layout).await.map(Some),
            Some(after) => match server.store.watch(table, after, WAIT_MS).await {
                Ok(WatchOutcome::Changed(rows)) => {
                    at = Some(rows.version.max(after));
                    if !rows.rows.is_empty() {
                        on_update(&server, Update::Changed(rows.rows));
                    }
                    Ok(None)
                }
                Ok(WatchOutcome::HistoryLost) => {
                    tracing::info!(table, after, "history lost, table is read again");
                    at = None;
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
                    if away_ms >= OUTAGE_MS {
                        on_update(&server, Update::Back);
                    }
                }
                // An older state never replaces a newer one.
                if let Some(rows) = read.filter(|rows| rows.version >= newest) {
                    at = Some(rows.version);
                    on_update(&server, Update::All(rows.rows));
                }
                newest = newest.max(at.unwrap_or(0));
            }
            Err(error) => {
                if failing_since_ms.is_none() {
                    tracing::warn!(table, %error, "store does not answer");
                    failing_since_ms = Some(now_ms());
                }
                tokio::time::sleep(Duration::from_millis(AFTER_FAILURE_MS)).await;
            }
        }
    }
}

async fn read_all(server: &Server, table: &str, layout: Layout) -> Result<Rows, StoreError> {
    match layout {
        Layout::OnePart => server.store.read(table, "", "", None, usize::MAX).await,
        Layout::ManyParts => server.store.read_table(table).await,
    }
}
