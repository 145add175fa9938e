//! Deletes batches that trainers may no longer read.

use std::{sync::Arc, time::Duration};

use super::{
    claims::BATCH_TABLE,
    crash_rows::{self, CRASH_POINTER_KEY},
    failures::FAILURE_TABLE,
    listing::{LISTING_TABLE, text_object_prefix},
    progress::SAVED_TEXT_TABLE,
    state::{Server, lock},
};
use crate::{
    core::{Name, rendezvous},
    platform::{StoreError, Tx},
};

/// How often old batches are searched for, in milliseconds.
const OLD_BATCH_SCAN_INTERVAL_MS: u64 = 5_000;
/// How much longer than the promised time a batch is kept, in milliseconds.
const EXTRA_BATCH_KEEP_MS: u64 = 30_000;
/// The most rows deleted with one transaction.
const MAX_DELETED_ROWS_PER_TX: usize = 90;

/// Deletes old batches until the process ends.
pub(crate) async fn delete_old_batches(server: Arc<Server>) {
    loop {
        tokio::time::sleep(Duration::from_millis(OLD_BATCH_SCAN_INTERVAL_MS)).await;
        for (batch, objects) in due_batches(&server) {
            match delete_batch(&server, &batch, &objects).await {
                Ok(()) => tracing::info!(%batch, "batch deleted"),
                Err(error) => tracing::warn!(%batch, %error, "batch not deleted yet"),
            }
        }
        if is_chosen(&server, CRASH_POINTER_KEY)
            && let Err(error) =
                crash_rows::delete_excess_rows(&server, MAX_DELETED_ROWS_PER_TX).await
        {
            tracing::warn!(%error, "old rows of crashes not deleted yet");
        }
    }
}

/// Returns whether this VM is the one of all live VMs that cleans up after a name.
pub(crate) fn is_chosen(server: &Server, name: &str) -> bool {
    let members = lock(&server.members);
    let live: Vec<Name> = members.live_vms().map(|(vm, _)| vm.clone()).collect();
    let chosen = rendezvous::choose(&live, name, 1);
    chosen.first() == Some(&server.settings.vm)
}

/// Returns the batches that this VM is to delete, with their objects.
fn due_batches(server: &Server) -> Vec<(Name, Vec<Name>)> {
    let Some((earliest_ms, _)) = server.store.clock_bounds_ms() else {
        return Vec::new();
    };
    let keep_ms = server.settings.keep_batches_ms + EXTRA_BATCH_KEEP_MS;
    let members = lock(&server.members);
    let live: Vec<Name> = members.live_vms().map(|(vm, _)| vm.clone()).collect();
    let batches = lock(&server.batches);
    let mut due = Vec::new();
    for (id, batch) in &batches.known {
        let Some(head) = &batch.head else { continue };
        // A batch that has not ended is kept regardless of its age.
        let is_old = batch.is_ended && earliest_ms > head.accepted_platform_ms + keep_ms;
        let chosen = rendezvous::choose(&live, id, 1);
        if is_old && chosen.first() == Some(&server.settings.vm) {
            due.push((id.clone(), head.object_names().collect()));
        }
    }
    due
}

/// Deletes a batch: first its listing, texts and failures, then its objects, and last the
/// rows by which it is found.
async fn delete_batch(server: &Server, batch: &Name, objects: &[Name]) -> Result<(), StoreError> {
    for table in [LISTING_TABLE, SAVED_TEXT_TABLE, FAILURE_TABLE, BATCH_TABLE] {
        if table == BATCH_TABLE {
            for text in server
                .store
                .list_objects(&text_object_prefix(batch))
                .await?
            {
                server.store.delete_object(&text).await?;
            }
            for object in objects {
                server.store.delete_object(object).await?;
            }
        }
        loop {
            let rows = server
                .store
                .read(table, batch, "", None, MAX_DELETED_ROWS_PER_TX)
                .await?;
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
