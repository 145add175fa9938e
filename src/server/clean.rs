//! Forgetting batches that nobody may ask for any more.

use std::{sync::Arc, time::Duration};

use super::{
    claims::BATCH_TABLE,
    listing::LISTING_TABLE,
    progress::PROGRESS_TABLE,
    state::{Server, lock},
};
use crate::{
    core::{Name, rendezvous},
    platform::{StoreError, Tx},
};

/// How often old batches are looked for, in milliseconds.
const LOOK_MS: u64 = 5_000;
/// How much longer than promised a batch is kept, in milliseconds.
const SLACK_MS: u64 = 30_000;
/// The most rows deleted with one transaction.
const MAX_ROWS: usize = 90;

/// Deletes old batches, for as long as the process runs.
pub(crate) async fn delete_old_batches(server: Arc<Server>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        for (batch, object) in due(&server) {
            match delete(&server, &batch, &object).await {
                Ok(()) => tracing::info!(%batch, "batch forgotten"),
                Err(error) => tracing::warn!(%batch, %error, "batch not forgotten yet"),
            }
        }
    }
}

/// Returns the batches that this VM is to delete, with their objects.
fn due(server: &Server) -> Vec<(Name, Name)> {
    let Some((earliest_ms, _)) = server.store.clock_bounds_ms() else {
        return Vec::new();
    };
    let keep_ms = server.settings.keep_batches_ms + SLACK_MS;
    let members = lock(&server.members);
    let live: Vec<Name> = members.live_vms().map(|(vm, _)| vm.clone()).collect();
    let batches = lock(&server.batches);
    let mut due = Vec::new();
    for (id, batch) in &batches.known {
        let Some(head) = &batch.head else { continue };
        // An open batch is kept however old it is.
        let is_old = batch.is_ended && earliest_ms > head.accepted_platform_ms + keep_ms;
        let chosen = rendezvous::choose(&live, id, 1);
        if is_old && chosen.first() == Some(&server.settings.vm) {
            due.push((id.clone(), head.object.clone()));
        }
    }
    due
}

/// Deletes a batch, the rows by which it is found last.
async fn delete(server: &Server, batch: &Name, object: &str) -> Result<(), StoreError> {
    for table in [LISTING_TABLE, PROGRESS_TABLE, BATCH_TABLE] {
        if table == BATCH_TABLE {
            server.store.delete_object(object).await?;
        }
        loop {
            let rows = server.store.read(table, batch, "", None, MAX_ROWS).await?;
            if rows.rows.is_empty() {
                break;
            }
            let tx = Tx {
                part: batch.clone(),
                delete: rows.rows.into_iter().map(|row| (table, row.key)).collect(),
                ..Tx::default()
            };
            server.store.transact(&tx).await?;
        }
    }
    Ok(())
}
