//! Writing this VM's row and reading those of the others.

use std::{sync::Arc, time::Duration};

use super::state::{Server, lock};
use crate::{
    core::{Name, leader_lease::LeaderLeaseRow, roster::VmRow},
    daemon::now_ms,
    platform::{Row, Tx},
};

/// The table of VMs; it also holds who orders endpoints, since every VM reads
/// it once a beat anyway.
pub(crate) const VM_TABLE: &str = "vms";
/// The row of who orders endpoints; no VM has such a name.
pub(crate) const LEADER_LEASE_KEY: &str = "~orders";
/// How often a VM writes its row and reads the others, in milliseconds.
const BEAT_MS: u64 = 1_000;
/// Writes this VM's row and reads the others, for as long as the process runs.
pub(crate) async fn beat(server: Arc<Server>) {
    loop {
        let next_ms = now_ms() + BEAT_MS;
        if !server.is_draining() {
            announce(&server).await;
        }
        read(&server).await;
        crate::daemon::sleep_until(next_ms).await;
    }
}

async fn announce(server: &Server) {
    let settings = &server.settings;
    let row = VmRow {
        incarnation: server.incarnation,
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        cpu_share: settings.cpu_share,
    };
    let bytes = match rmp_serde::to_vec_named(&row) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "own row cannot be written");
            return;
        }
    };
    let tx = Tx {
        set: vec![(VM_TABLE, settings.vm.clone(), bytes)],
        ..Tx::default()
    };
    if let Err(error) = server.store.transact(&tx).await {
        tracing::debug!(%error, "own row not written");
    }
}

async fn read(server: &Arc<Server>) {
    match server.store.read(VM_TABLE, "", "", None, usize::MAX).await {
        Ok(rows) => {
            let now_ms = now_ms();
            let mut members = lock(&server.members);
            let was_read = members.has_been_read();
            members.on_read(now_ms, rows.rows.iter().filter_map(decode));
            let own = server.settings.peer_address;
            let peers = members.live_vms().map(|(_, row)| row.peer_address);
            server
                .store
                .set_peers(peers.filter(|peer| *peer != own).collect());
            drop(members);
            if !was_read {
                tracing::info!(vms = rows.rows.len(), "VMs read");
            }
            let leader_lease = rows.rows.iter().find(|row| &*row.key == LEADER_LEASE_KEY);
            on_leader_lease_row(server, leader_lease);
            server.batches_changed.notify_one();
        }
        Err(error) => tracing::debug!(%error, "VMs not read"),
    }
}

fn decode(value: &Row) -> Option<(Name, VmRow, u64)> {
    let bytes = value.bytes.as_ref()?;
    if &*value.key == LEADER_LEASE_KEY {
        return None;
    }
    match rmp_serde::from_slice(bytes) {
        Ok(row) => Some((value.key.clone(), row, value.version)),
        Err(error) => {
            tracing::warn!(vm = %value.key, %error, "row of a VM cannot be read");
            None
        }
    }
}

fn on_leader_lease_row(server: &Server, value: Option<&Row>) {
    let row = value.and_then(|value| value.bytes.as_ref());
    let row: Option<LeaderLeaseRow> = row.and_then(|bytes| match rmp_serde::from_slice(bytes) {
        Ok(row) => Some(row),
        Err(error) => {
            tracing::error!(%error, "row of orders cannot be read");
            None
        }
    });
    let row_version = value.map_or(0, |value| value.version);
    lock(&server.leader_lease).on_read(row, row_version);
}

/// Takes this VM's row away, so that no caller is sent here any more.
pub(crate) async fn withdraw(server: &Server) {
    let tx = Tx {
        delete: vec![(VM_TABLE, server.settings.vm.clone())],
        ..Tx::default()
    };
    for _ in 0..3 {
        match server.store.transact(&tx).await {
            Ok(_) => return,
            Err(error) => tracing::warn!(%error, "own row not taken away"),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
