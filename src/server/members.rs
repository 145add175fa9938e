//! Writes this VM's row to the table of VMs and reads the rows of the others.

use std::{sync::Arc, time::Duration};

use super::{
    crash_rows::{self, CRASH_POINTER_KEY},
    duties, scaling,
    state::{Server, lock},
};
use crate::{
    core::{Name, leader_lease::LeaderLeaseRow, roster::VmRow},
    daemon::now_ms,
    platform::{Row, Tx},
};

/// The table of VMs. It also holds the leader lease row, since every VM reads
/// this table at each heartbeat anyway.
pub(crate) const VM_TABLE: &str = "vms";
/// The key of the leader lease row, which names the VM that sends orders to
/// endpoints; no VM has this name.
pub(crate) const LEADER_LEASE_KEY: &str = "~orders";
/// The key of the lease row that names the VM that holds the duties; no VM has this name.
pub(crate) const DUTY_LEASE_KEY: &str = "~duties";
/// The interval at which a VM writes its row and reads the others, in
/// milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Writes this VM's row and reads the others, for as long as the process runs.
///
/// A draining VM no longer writes its row.
pub(crate) async fn run_heartbeat(server: Arc<Server>) {
    loop {
        let next_ms = now_ms() + HEARTBEAT_INTERVAL_MS;
        if !server.is_draining() {
            write_own_row(&server).await;
        }
        read_rows(&server).await;
        crate::daemon::sleep_until(next_ms).await;
    }
}

async fn write_own_row(server: &Server) {
    let settings = &server.settings;
    // Not within the row: its expression holds the lock of the pool.
    let loads = scaling::own_loads(server);
    let row = VmRow {
        incarnation: server.incarnation,
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        cpu_share: settings.cpu_share,
        paths: lock(&server.pool).paths().report(now_ms()),
        unix_offset_ms: duties::own_offset_ms(server),
        loads,
    };
    let bytes = match rmp_serde::to_vec_named(&row) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "row of this VM not encoded");
            return;
        }
    };
    let tx = Tx {
        set: vec![(VM_TABLE, settings.vm.clone(), bytes)],
        ..Tx::default()
    };
    let begun_ms = now_ms();
    match server.store.transact(&tx).await {
        Ok(_) => lock(&server.issuer_authority).on_row_written(begun_ms, now_ms()),
        Err(error) => tracing::debug!(%error, "row of this VM not written"),
    }
}

async fn read_rows(server: &Arc<Server>) {
    let begun_ms = now_ms();
    match server.store.read(VM_TABLE, "", "", None, usize::MAX).await {
        Ok(rows) => {
            let now_ms = now_ms();
            let mut members = lock(&server.members);
            let was_read = members.has_been_read();
            members.on_read(now_ms, rows.rows.iter().filter_map(decode_vm_row));
            let own_address = server.settings.peer_address;
            let peers = members.live_vms().map(|(_, row)| row.peer_address);
            server
                .store
                .set_peers(peers.filter(|peer| *peer != own_address).collect());
            drop(members);
            lock(&server.issuer_authority).on_roster_read(begun_ms);
            if !was_read {
                tracing::info!(vms = rows.rows.len(), "rows of VMs read");
            }
            let leader_lease = rows.rows.iter().find(|row| &*row.key == LEADER_LEASE_KEY);
            on_leader_lease_row(server, leader_lease);
            duties::on_lease_row(server, &rows.rows);
            duties::set_true_offset(server);
            let pointer = rows.rows.iter().find(|row| &*row.key == CRASH_POINTER_KEY);
            crash_rows::on_pointer_row(server, pointer.map_or(0, |row| row.version));
            server.batches_changed.notify_one();
        }
        Err(error) => tracing::debug!(%error, "rows of VMs not read"),
    }
}

fn decode_vm_row(row: &Row) -> Option<(Name, VmRow, u64)> {
    let bytes = row.bytes.as_ref()?;
    if [LEADER_LEASE_KEY, DUTY_LEASE_KEY, CRASH_POINTER_KEY].contains(&&*row.key) {
        return None;
    }
    match rmp_serde::from_slice(bytes) {
        Ok(vm_row) => Some((row.key.clone(), vm_row, row.version)),
        Err(error) => {
            tracing::warn!(vm = %row.key, %error, "row of a VM not decoded");
            None
        }
    }
}

fn on_leader_lease_row(server: &Server, stored_row: Option<&Row>) {
    let bytes = stored_row.and_then(|stored| stored.bytes.as_ref());
    let row: Option<LeaderLeaseRow> = bytes.and_then(|bytes| match rmp_serde::from_slice(bytes) {
        Ok(row) => Some(row),
        Err(error) => {
            tracing::error!(%error, "leader lease row not decoded");
            None
        }
    });
    let row_version = stored_row.map_or(0, |stored| stored.version);
    lock(&server.leader_lease).on_read(row, row_version);
}

/// Deletes this VM's row, so that callers are no longer directed to this VM.
pub(crate) async fn delete_own_row(server: &Server) {
    let tx = Tx {
        delete: vec![(VM_TABLE, server.settings.vm.clone())],
        ..Tx::default()
    };
    for _ in 0..3 {
        match server.store.transact(&tx).await {
            Ok(_) => return,
            Err(error) => tracing::warn!(%error, "row of this VM not deleted"),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
