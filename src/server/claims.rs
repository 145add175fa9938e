//! Batches that are open, and which VM runs which share of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::task::AbortHandle;

use super::{
    follow::{Layout, Update, follow},
    share,
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{BatchHead, BatchSpec},
        rendezvous,
        roster::{Presence, Roster},
    },
    daemon::now_ms,
    platform::{Condition, Row, StoreError, Tx, TxOutcome},
};

/// The table of batches, one part a batch.
pub(crate) const BATCH_TABLE: &str = "batches";
/// The row of what was accepted.
pub(crate) const HEAD_KEY: &str = "head";
/// The row that says that the trainer has ended the batch.
pub(crate) const END_KEY: &str = "end";
const OWNER_PREFIX: &str = "owner/";

/// How often shares without an owner are looked for, in milliseconds.
const LOOK_MS: u64 = 100;
/// How much later each next VM in the order claims a share, in milliseconds:
/// longer than it takes to hear of another's claim.
const RANK_DELAY_MS: u64 = 150;
/// How long an owner may be unknown here before its share is claimed, in
/// milliseconds: a VM that has just started is read within two beats.
const UNKNOWN_MS: u64 = 2_200;
/// How long after its time is over a batch is still run, in milliseconds.
const AFTER_LIMIT_MS: u64 = 2_000;

/// Which start of which VM runs a share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRow {
    /// None after the share was given back.
    pub(crate) vm: Option<Name>,
    pub(crate) incarnation: u64,
    /// Every sample of the share is listed.
    pub(crate) is_done: bool,
}

/// One batch as this VM knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownBatch {
    pub(crate) head: Option<BatchHead>,
    pub(crate) is_ended: bool,
    owners: BTreeMap<u32, (OwnerRow, u64)>,
    /// Since when each share has had no owner.
    unowned_since_ms: BTreeMap<u32, u64>,
    pub(crate) spec: Option<Arc<BatchSpec>>,
    running: BTreeMap<u32, AbortHandle>,
}

/// The batches that this VM knows.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    pub(crate) known: BTreeMap<Name, KnownBatch>,
    /// What the trainer of each model asks for.
    pub(crate) demand: BTreeMap<Name, ModelDemand>,
}

/// What a trainer asks for in its newest batch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelDemand {
    /// The oldest weights version that will do.
    pub(crate) min_version: u64,
    /// About how many tokens.
    pub(crate) tokens: u64,
}

/// A share that this VM may claim now.
struct Claim {
    batch: Name,
    share: u32,
    row_version: u64,
}

/// Follows the batches for as long as the process runs.
pub(crate) async fn follow_batches(server: Arc<Server>) {
    let on_update = |server: &Arc<Server>, update: Update| {
        if let Update::All(rows) | Update::Changed(rows) = update {
            let mut batches = lock(&server.batches);
            for row in &rows {
                batches.on_row(row);
            }
            drop(batches);
            server.batches_changed.notify_one();
        }
    };
    follow(server, BATCH_TABLE, Layout::ManyParts, on_update).await;
}

impl Batches {
    /// Notes a row; an older version of one changes nothing.
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
                    let newest = self.demand.entry(head.model.clone()).or_default();
                    if newest.min_version <= head.min_weights_version {
                        newest.min_version = head.min_weights_version;
                        newest.tokens = head.tokens;
                    }
                    batch.head = Some(head);
                }
                Err(error) => tracing::error!(batch = %row.part, %error, "head cannot be read"),
            },
            END_KEY => batch.end(&row.part),
            key => {
                let share = key
                    .strip_prefix(OWNER_PREFIX)
                    .and_then(|text| text.parse().ok());
                if let (Some(share), Ok(owner)) = (share, rmp_serde::from_slice(bytes)) {
                    batch.on_owner(share, owner, row.version);
                } else {
                    tracing::error!(batch = %row.part, key, "row cannot be read");
                }
            }
        }
    }

    pub(crate) fn get(&self, batch: &str) -> Option<&KnownBatch> {
        self.known.get(batch)
    }
}

impl KnownBatch {
    /// Stops whatever runs for the batch here.
    pub(crate) fn end(&mut self, id: &Name) {
        if !self.is_ended {
            tracing::info!(batch = %id, running = self.running.len(), "batch ended");
        }
        self.is_ended = true;
        // Whoever still asks for a body has it read again.
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
    fn standing(&self, server: &Server, roster: &Roster, share: u32) -> Standing {
        if self.running.contains_key(&share) {
            return Standing::Taken;
        }
        let Some((owner, _)) = self.owners.get(&share) else {
            return Standing::Free;
        };
        if owner.is_done {
            return Standing::Taken;
        }
        let Some(vm) = &owner.vm else {
            return Standing::Free;
        };
        if server.is_me(vm, owner.incarnation) {
            return Standing::Free;
        }
        match roster.presence(vm, owner.incarnation) {
            Presence::Live => Standing::Taken,
            Presence::Gone => Standing::Free,
            Presence::Unknown => Standing::Unsure,
        }
    }
}

/// Whether a share has an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    Taken,
    /// Its owner may have just started.
    Unsure,
    Free,
}

/// Claims shares that nobody runs, for as long as the process runs.
pub(crate) async fn claim_shares(server: Arc<Server>) {
    loop {
        let changed = server.batches_changed.notified();
        let look = tokio::time::timeout(Duration::from_millis(LOOK_MS), changed);
        // Whichever comes first, the shares are looked at.
        let _ = look.await;
        if server.is_draining() || !server.is_ready() {
            continue;
        }
        for claim in due_claims(&server) {
            take(&server, claim).await;
        }
    }
}

fn due_claims(server: &Server) -> Vec<Claim> {
    let now_ms = now_ms();
    let Some((platform_ms, _)) = server.store.clock_bounds_ms() else {
        return Vec::new();
    };
    let routes = server.routes();
    let members = lock(&server.members);
    let live = members.live_vms();
    let live: Vec<(Name, f64)> = live.map(|(vm, row)| (vm.clone(), row.cpu_share)).collect();
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
        if platform_ms > head.accepted_platform_ms + limit_ms + AFTER_LIMIT_MS {
            continue;
        }
        for share in 0..head.share_count {
            let standing = batch.standing(server, &members, share);
            let wait_ms = match standing {
                Standing::Taken => {
                    batch.unowned_since_ms.remove(&share);
                    continue;
                }
                Standing::Unsure => UNKNOWN_MS,
                Standing::Free => 0,
            };
            let since_ms = *batch.unowned_since_ms.entry(share).or_insert(now_ms);
            // The same VMs for each step of a trainer: they have connections.
            let key = format!("{}/{share}", route.name);
            let order = rendezvous::rank_by_share(&live, &key);
            let rank = order.iter().position(|vm| *vm == server.settings.vm);
            let rank = u64::try_from(rank.unwrap_or(live.len())).unwrap_or(u64::MAX);
            if now_ms >= since_ms + wait_ms + rank * RANK_DELAY_MS {
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

async fn take(server: &Arc<Server>, claim: Claim) {
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
    let task = share::run(server.clone(), claim.batch.clone(), claim.share, is_first);
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
    let bytes =
        rmp_serde::to_vec_named(owner).map_err(|error| StoreError::NotDone(error.to_string()))?;
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

/// Notes that a share needs no VM any more, or gives it back.
pub(crate) async fn release(server: &Server, batch: &Name, share: u32, is_done: bool) {
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

/// Gives all shares back that this VM runs.
pub(crate) async fn release_all(server: &Server) {
    let mine: Vec<(Name, u32)> = {
        let batches = lock(&server.batches);
        let running = batches.known.iter().flat_map(|(id, batch)| {
            let shares = batch.running.keys();
            shares.map(move |share| (id.clone(), *share))
        });
        running.collect()
    };
    for (batch, share) in mine {
        release(server, &batch, share, false).await;
    }
}
