//! Tracks open batches, and claims the shares that this VM runs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::task::AbortHandle;

use super::{
    follow::{TableLayout, TableUpdate, follow_table},
    loaded_batch::LoadedBatch,
    paths, share,
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        batch::BatchHead,
        rendezvous,
        roster::{Presence, Roster, VmRow},
    },
    daemon::now_ms,
    platform::{Condition, Row, StoreError, Tx, TxOutcome},
};

/// The table of batches, with one part per batch.
pub(crate) const BATCH_TABLE: &str = "batches";
/// The key of the row with the [`BatchHead`].
pub(crate) const HEAD_KEY: &str = "head";
/// The key of the row that marks a batch as ended by its trainer.
pub(crate) const END_KEY: &str = "end";
/// The prefix of the keys of [`OwnerRow`]s, before the number of the share.
const OWNER_PREFIX: &str = "owner/";

/// The longest time between two scans for shares without an owner, in
/// milliseconds.
const CLAIM_SCAN_INTERVAL_MS: u64 = 100;
/// By how much the claim of a share is delayed for each VM that ranks higher
/// for it, in milliseconds. It is longer than another VM's claim takes to
/// become known here.
const CLAIM_DELAY_PER_RANK_MS: u64 = 150;
/// How long a share is not claimed while its owner is not a known member, in
/// milliseconds. The row of a VM that has just started is read within two
/// heartbeats.
const UNKNOWN_OWNER_GRACE_MS: u64 = 2_200;
/// For how long shares of a batch are still claimed after the batch's time
/// limit, in milliseconds.
const CLAIM_GRACE_AFTER_LIMIT_MS: u64 = 2_000;

/// The VM that runs a share, and its incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRow {
    /// `None` if the share was released.
    pub(crate) vm: Option<Name>,
    pub(crate) incarnation: u64,
    /// Whether every sample of the share is listed.
    pub(crate) is_done: bool,
}

/// What this VM knows of one batch.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownBatch {
    pub(crate) head: Option<BatchHead>,
    pub(crate) is_ended: bool,
    /// The owner of each share, with the version of its row.
    owners: BTreeMap<u32, (OwnerRow, u64)>,
    /// When each share was first seen without an owner.
    unowned_since_ms: BTreeMap<u32, u64>,
    pub(crate) spec: Option<Arc<LoadedBatch>>,
    /// The tasks of the shares that run on this VM.
    running: BTreeMap<u32, AbortHandle>,
}

/// The batches that this VM knows.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    pub(crate) known: BTreeMap<Name, KnownBatch>,
    /// The demand of each model's trainer.
    pub(crate) demand: BTreeMap<Name, ModelDemand>,
}

/// What a trainer demands with its newest batch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelDemand {
    /// The oldest weights version that it accepts.
    pub(crate) min_version: u64,
    /// The estimated number of tokens of the batch.
    pub(crate) tokens: u64,
}

/// A share that this VM may claim now.
struct Claim {
    batch: Name,
    share: u32,
    row_version: u64,
}

/// Follows the table of batches until the process ends.
pub(crate) async fn follow_batches(server: Arc<Server>) {
    let on_update = |server: &Arc<Server>, update: TableUpdate| {
        if let TableUpdate::All(rows) | TableUpdate::Changed(rows) = update {
            let mut batches = lock(&server.batches);
            for row in &rows {
                batches.on_row(row);
            }
            drop(batches);
            server.batches_changed.notify_one();
        }
    };
    follow_table(server, BATCH_TABLE, TableLayout::ManyParts, on_update).await;
}

impl Batches {
    /// Applies a row of the table. An older version of a row has no effect.
    fn on_row(&mut self, row: &Row) {
        let Some(bytes) = &row.bytes else {
            if &*row.key == HEAD_KEY {
                self.known.remove(&row.part);
            }
            return;
        };
        let batch = self.known.entry(row.part.clone()).or_default();
        match &*row.key {
            HEAD_KEY => match rmp_serde::from_slice::<BatchHead>(bytes) {
                Ok(head) => {
                    let demand = self.demand.entry(head.model.clone()).or_default();
                    if demand.min_version <= head.min_weights_version {
                        demand.min_version = head.min_weights_version;
                        demand.tokens = head.tokens;
                    }
                    batch.head = Some(head);
                }
                Err(error) => {
                    tracing::error!(batch = %row.part, %error, "batch head cannot be decoded");
                }
            },
            END_KEY => batch.end(&row.part),
            key => {
                let share = key
                    .strip_prefix(OWNER_PREFIX)
                    .and_then(|text| text.parse().ok());
                if let (Some(share), Ok(owner)) = (share, rmp_serde::from_slice(bytes)) {
                    batch.on_owner(share, owner, row.version);
                } else {
                    tracing::error!(batch = %row.part, key, "row of the batch cannot be decoded");
                }
            }
        }
    }

    pub(crate) fn get(&self, batch: &str) -> Option<&KnownBatch> {
        self.known.get(batch)
    }
}

impl KnownBatch {
    /// Marks the batch as ended and aborts its shares that run on this VM.
    pub(crate) fn end(&mut self, id: &Name) {
        if !self.is_ended {
            tracing::info!(batch = %id, running = self.running.len(), "batch ended");
        }
        self.is_ended = true;
        // A later request for a sample's body reads the batch from the store.
        self.spec = None;
        for (_, task) in std::mem::take(&mut self.running) {
            task.abort();
        }
    }

    fn on_owner(&mut self, share: u32, owner: OwnerRow, row_version: u64) {
        let is_newer = self
            .owners
            .get(&share)
            .is_none_or(|(_, known)| *known < row_version);
        if is_newer {
            self.owners.insert(share, (owner, row_version));
        }
    }
}

impl KnownBatch {
    /// Returns the part of the batch whose samples may not be listed yet, from 0 to 1: the
    /// part of its shares that are not done.
    pub(crate) fn unlisted_share(&self) -> f64 {
        let Some(head) = self.head.as_ref().filter(|_| !self.is_ended) else {
            return 0.0;
        };
        let done = self.owners.values().filter(|(owner, _)| owner.is_done);
        let done = u32::try_from(done.count()).unwrap_or(u32::MAX);
        let count = head.share_count.max(1);
        f64::from(count.saturating_sub(done)) / f64::from(count)
    }

    fn ownership(&self, server: &Server, roster: &Roster, share: u32) -> Ownership {
        if self.running.contains_key(&share) {
            return Ownership::Owned;
        }
        let Some((owner, _)) = self.owners.get(&share) else {
            return Ownership::Unowned;
        };
        if owner.is_done {
            return Ownership::Owned;
        }
        let Some(vm) = &owner.vm else {
            return Ownership::Unowned;
        };
        if server.is_own_incarnation(vm, owner.incarnation) {
            // No task runs the share here, as checked above.
            return Ownership::Unowned;
        }
        match roster.presence(vm, owner.incarnation) {
            Presence::Live => Ownership::Owned,
            Presence::Gone => Ownership::Unowned,
            Presence::Unknown => Ownership::Uncertain,
        }
    }
}

/// Whether a share has an owner, and so may not be claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ownership {
    /// A live VM runs the share, or the share is done.
    Owned,
    /// The owner is not known to be live; it may have just started.
    Uncertain,
    /// No live VM runs the share.
    Unowned,
}

/// Claims and runs shares without an owner until the process ends.
pub(crate) async fn claim_shares(server: Arc<Server>) {
    loop {
        let changed = server.batches_changed.notified();
        let wake_up = tokio::time::timeout(Duration::from_millis(CLAIM_SCAN_INTERVAL_MS), changed);
        // The shares are scanned after a change as well as after the timeout.
        let _ = wake_up.await;
        if server.is_draining() || !server.is_ready() || paths::leaves_work_to_others(&server) {
            continue;
        }
        for claim in due_claims(&server) {
            claim_share(&server, claim).await;
        }
    }
}

/// Returns the shares that this VM is to claim now.
fn due_claims(server: &Server) -> Vec<Claim> {
    let now_ms = now_ms();
    let Some((platform_ms, _)) = server.store.clock_bounds_ms() else {
        return Vec::new();
    };
    let routes = server.routes();
    let members = lock(&server.members);
    let live = members.live_vms();
    let live: Vec<(&Name, &VmRow)> = live.collect();
    let reaching = live
        .iter()
        .filter(|(vm, row)| **vm == server.settings.vm || !row.paths.is_isolated);
    let live: Vec<(Name, f64)> = reaching
        .map(|(vm, row)| ((*vm).clone(), row.cpu_share))
        .collect();
    let mut batches = lock(&server.batches);
    let mut claims = Vec::new();
    for (id, batch) in &mut batches.known {
        let Some(head) = batch.head.clone().filter(|_| !batch.is_ended) else {
            continue;
        };
        let Some(route) = routes.find(&head.host, &head.path) else {
            continue;
        };
        let limit_ms = route.queue_limit_ms;
        if platform_ms > head.accepted_platform_ms + limit_ms + CLAIM_GRACE_AFTER_LIMIT_MS {
            continue;
        }
        for share in 0..head.share_count {
            let ownership = batch.ownership(server, &members, share);
            let wait_ms = match ownership {
                Ownership::Owned => {
                    batch.unowned_since_ms.remove(&share);
                    continue;
                }
                Ownership::Uncertain => UNKNOWN_OWNER_GRACE_MS,
                Ownership::Unowned => 0,
            };
            let since_ms = *batch.unowned_since_ms.entry(share).or_insert(now_ms);
            // The key holds the route in place of the batch, so that the same
            // VMs, which already have connections, run each step of a trainer.
            let key = format!("{}/{share}", route.name);
            let order = rendezvous::rank_by_share(&live, &key);
            let rank = order.iter().position(|vm| *vm == server.settings.vm);
            let rank = u64::try_from(rank.unwrap_or(live.len())).unwrap_or(u64::MAX);
            if now_ms >= since_ms + wait_ms + rank * CLAIM_DELAY_PER_RANK_MS {
                let owner = batch.owners.get(&share);
                claims.push(Claim {
                    batch: id.clone(),
                    share,
                    row_version: owner.map_or(0, |(_, version)| *version),
                });
            }
        }
    }
    claims
}

async fn claim_share(server: &Arc<Server>, claim: Claim) {
    let owner = OwnerRow {
        vm: Some(server.settings.vm.clone()),
        incarnation: server.incarnation,
        is_done: false,
    };
    let written = write_owner(server, &claim.batch, claim.share, claim.row_version, &owner).await;
    let row_version = match written {
        Ok(TxOutcome::Committed(row_version)) => row_version,
        Ok(TxOutcome::Conflict(rows)) => {
            let mut batches = lock(&server.batches);
            for row in &rows {
                batches.on_row(row);
            }
            return;
        }
        Err(error) => {
            tracing::debug!(batch = %claim.batch, share = claim.share, %error, "share not claimed");
            return;
        }
    };
    server.metrics.shares_claimed.inc();
    tracing::info!(batch = %claim.batch, share = claim.share, before = claim.row_version,
        "share claimed");
    let mut batches = lock(&server.batches);
    let Some(batch) = batches.known.get_mut(&claim.batch) else {
        return;
    };
    batch.on_owner(claim.share, owner, row_version);
    if batch.is_ended {
        return;
    }
    let is_first = claim.row_version == 0;
    let task = share::run_share(server.clone(), claim.batch.clone(), claim.share, is_first);
    let task = tokio::spawn(task);
    batch.running.insert(claim.share, task.abort_handle());
}

async fn write_owner(
    server: &Server,
    batch: &Name,
    share: u32,
    row_version: u64,
    owner: &OwnerRow,
) -> Result<TxOutcome, StoreError> {
    let key: Name = format!("{OWNER_PREFIX}{share:03}").into();
    let bytes = rmp_serde::to_vec_named(owner).map_err(|error| {
        StoreError::NotDone(format!("owner of share {share} cannot be encoded: {error}"))
    })?;
    let tx = Tx {
        part: batch.clone(),
        conditions: vec![Condition {
            table: BATCH_TABLE,
            key: key.clone(),
            row_version,
        }],
        set: vec![(BATCH_TABLE, key, bytes)],
        delete: Vec::new(),
    };
    server.store.transact(&tx).await
}

/// Clears the owner of a share.
///
/// A share that is done is claimed by no VM again. The run of any other is
/// aborted here, and another VM may claim the share.
pub(crate) async fn release_share(server: &Server, batch: &Name, share: u32, is_done: bool) {
    let row_version = {
        let mut batches = lock(&server.batches);
        let known = batches.known.get_mut(batch);
        let Some(known) = known else { return };
        if let Some(task) = known.running.remove(&share)
            && !is_done
        {
            task.abort();
        }
        known.owners.get(&share).map_or(0, |(_, version)| *version)
    };
    let owner = OwnerRow {
        vm: None,
        incarnation: server.incarnation,
        is_done,
    };
    match write_owner(server, batch, share, row_version, &owner).await {
        Ok(_) => tracing::info!(%batch, share, is_done, "share released"),
        Err(error) => tracing::warn!(%batch, share, is_done, %error, "share not released"),
    }
}

/// Releases all shares that this VM runs.
pub(crate) async fn release_all_shares(server: &Server) {
    let running: Vec<(Name, u32)> = {
        let batches = lock(&server.batches);
        let shares = batches.known.iter().flat_map(|(id, batch)| {
            let numbers = batch.running.keys();
            numbers.map(move |share| (id.clone(), *share))
        });
        shares.collect()
    };
    for (batch, share) in running {
        release_share(server, &batch, share, false).await;
    }
}
