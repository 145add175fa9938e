//! The VMs that take part, and since when each has been silent.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::state::{Server, lock};
use crate::{
    core::{Name, tenure::TenureRow},
    daemon::now_ms,
    platform::{Tx, Value},
};

/// The table of VMs; it also holds who orders endpoints, since every VM reads
/// it once a beat anyway.
pub(crate) const VM_TABLE: &str = "vms";
/// The row of who orders endpoints; no VM has such a name.
pub(crate) const TENURE_KEY: &str = "~orders";
/// How often a VM writes its row and reads the others, in milliseconds.
const BEAT_MS: u64 = 1_000;
/// How long a VM's row may stay as it is before the VM counts as lost.
const LOST_MS: u64 = 3_500;
/// A longer gap between two reads says nothing of other VMs.
const BLIND_MS: u64 = 2_000;

/// What a VM says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct MemberRow {
    pub(crate) incarnation: u64,
    pub(crate) data_centre: Name,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) cpu_share: f64,
}

#[derive(Clone, Debug)]
struct Member {
    row: MemberRow,
    row_version: u64,
    seen_ms: u64,
}

/// The VMs as one VM knows them.
#[derive(Debug, Default)]
pub(crate) struct Members {
    members: BTreeMap<Name, Member>,
    read_at_ms: Option<u64>,
}

impl Members {
    /// Notes the rows as they were read.
    pub(crate) fn on_read(&mut self, now_ms: u64, rows: &[Value]) {
        let was_blind = self
            .read_at_ms
            .is_none_or(|read_ms| now_ms > read_ms + BLIND_MS);
        let mut members = BTreeMap::new();
        for value in rows.iter().filter(|value| &*value.key != TENURE_KEY) {
            let Some(bytes) = &value.bytes else { continue };
            let row: MemberRow = match rmp_serde::from_slice(bytes) {
                Ok(row) => row,
                Err(error) => {
                    tracing::warn!(vm = %value.key, %error, "row of a VM cannot be read");
                    continue;
                }
            };
            let before = self.members.get(&value.key);
            let unchanged = before.filter(|known| known.row_version == value.row_version);
            let seen_ms = unchanged
                .filter(|_| !was_blind)
                .map_or(now_ms, |known| known.seen_ms);
            let member = Member {
                row,
                row_version: value.row_version,
                seen_ms,
            };
            members.insert(value.key.clone(), member);
        }
        self.members = members;
        self.read_at_ms = Some(now_ms);
    }

    pub(crate) const fn is_read(&self) -> bool {
        self.read_at_ms.is_some()
    }

    /// Returns the VMs that are not lost, as of the last read.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&Name, &MemberRow)> {
        let read_ms = self.read_at_ms.unwrap_or(0);
        let live = self
            .members
            .iter()
            .filter(move |(_, member)| read_ms < member.seen_ms + LOST_MS);
        live.map(|(vm, member)| (vm, &member.row))
    }

    /// Returns whether this start of a VM is taken to run.
    pub(crate) fn is_live(&self, vm: &str, incarnation: u64) -> bool {
        let mut live = self.live();
        live.any(|(name, row)| &**name == vm && row.incarnation == incarnation)
    }
}

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
    let row = MemberRow {
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
            let was_read = members.is_read();
            members.on_read(now_ms, &rows.rows);
            let own = server.settings.peer_address;
            let peers = members.live().map(|(_, row)| row.peer_address);
            server
                .store
                .set_peers(peers.filter(|peer| *peer != own).collect());
            drop(members);
            if !was_read {
                tracing::info!(vms = rows.rows.len(), "VMs read");
            }
            let tenure = rows.rows.iter().find(|row| &*row.key == TENURE_KEY);
            on_tenure_row(server, tenure);
            server.batches_changed.notify_one();
        }
        Err(error) => tracing::debug!(%error, "VMs not read"),
    }
}

fn on_tenure_row(server: &Server, value: Option<&Value>) {
    let row = value.and_then(|value| value.bytes.as_ref());
    let row: Option<TenureRow> = row.and_then(|bytes| match rmp_serde::from_slice(bytes) {
        Ok(row) => Some(row),
        Err(error) => {
            tracing::error!(%error, "row of orders cannot be read");
            None
        }
    });
    let row_version = value.map_or(0, |value| value.row_version);
    lock(&server.tenure).on_read(row, row_version);
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
