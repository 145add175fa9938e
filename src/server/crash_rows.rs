//! Shares what is known of crashes with the other VMs: through the store, and
//! repeated crashes also directly.
//!
//! A row of the table of VMs, which each VM reads with every heartbeat, tells when
//! the rows of crashes have changed; without crashes they cost no call.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use hyper::{Response, StatusCode};

use super::{
    members::VM_TABLE,
    peer_call::post_to_peer,
    response::{Body, empty_response},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        quarantine::{
            BLAME_DURATION_MS, MAX_CRASHES, MAX_LATE_RETRIES, Quarantine, QuarantineRow, claim_key,
        },
    },
    daemon::now_ms,
    platform::{Condition, Row, StoreError, Tx, TxOutcome, WatchOutcome},
    wire::peers::{CRASH_NOTICE_PATH, Clearance, CrashNotice, CrashReport},
};

/// The table of crashes, claims and clearances.
const CRASH_TABLE: &str = "crashes";
/// The key, in the table of VMs, of the row that is written with each change of
/// [`CRASH_TABLE`]; no VM has this name.
pub(crate) const CRASH_POINTER_KEY: &str = "~crashes";

/// The delay before a failed call is retried, in milliseconds.
const CALL_RETRY_DELAY_MS: u64 = 250;
/// The most rows written with one transaction.
const MAX_ROWS_PER_TX: usize = 40;
/// The most rows that wait to be written; beyond that, the first ones by key are
/// dropped.
const MAX_UNWRITTEN_ROWS: usize = 500;
/// The most rows that the store keeps; the oldest ones are deleted.
const MAX_STORED_ROWS: usize = 2_000;
/// The most notices that this VM sends within a second; further crashes become known
/// through the store only.
const MAX_NOTICES_PER_S: u32 = 10;
/// How long a VM may take to answer a notice, in milliseconds.
const NOTICE_TIMEOUT_MS: u64 = 300;
/// How long a request waits until its crash is known to other VMs, in
/// milliseconds. Its caller may send it again to any of them.
const NOTICE_WAIT_MS: u64 = 50;

/// The rows of crashes, claims and clearances that this VM has read or is to
/// write.
#[derive(Debug, Default)]
pub(crate) struct CrashRows {
    unwritten: BTreeMap<Name, QuarantineRow>,
    /// Clearances that the other VMs have not been notified of.
    unsent: Vec<Clearance>,
    /// The rows in the store, with their time by its clock.
    stored: BTreeMap<Name, u64>,
    /// Up to which version the rows have been read.
    read_version: Option<u64>,
    /// The second that began at this time, and the notices sent in it.
    notices: (u64, u32),
}

impl CrashRows {
    /// Adds a row to be written; returns whether it is the first one with this key.
    fn add(&mut self, key: Name, row: QuarantineRow) -> bool {
        let is_new = !self.unwritten.contains_key(&key) && !self.stored.contains_key(&key);
        self.unwritten.insert(key, row);
        while self.unwritten.len() > MAX_UNWRITTEN_ROWS {
            self.unwritten.pop_first();
            tracing::warn!("row of a crash dropped: too many wait for the store");
        }
        is_new
    }

    /// Returns whether another notice may be sent now, and counts it.
    fn count_notice(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.notices.0 + 1_000 {
            self.notices = (now_ms, 0);
        }
        self.notices.1 += 1;
        self.notices.1 <= MAX_NOTICES_PER_S
    }

    /// Returns the keys of rows that are too old or too many.
    fn excess_keys(&self, earliest_platform_ms: u64, limit: usize) -> Vec<Name> {
        let mut by_age: Vec<(u64, &Name)> = self
            .stored
            .iter()
            .map(|(key, at_ms)| (*at_ms, key))
            .collect();
        by_age.sort_unstable();
        let too_many = by_age.len().saturating_sub(MAX_STORED_ROWS);
        let is_excess = |index: usize, at_ms: u64| {
            index < too_many || at_ms + BLAME_DURATION_MS < earliest_platform_ms
        };
        let by_age = by_age.into_iter().enumerate();
        by_age
            .filter(|(index, (at_ms, _))| is_excess(*index, *at_ms))
            .map(|(_, (_, key))| key.clone())
            .take(limit)
            .collect()
    }
}

/// Returns the latest time that the store's clock can show now.
fn platform_ms(server: &Server) -> u64 {
    server
        .store
        .clock_bounds_ms()
        .map_or(0, |(_, latest)| latest)
}

/// Shares the report of a crash. A crash by a content that has crashed another
/// endpoint before is also made known to the other VMs directly.
pub(crate) async fn publish_crash(server: &Arc<Server>, report: CrashReport, evidence: &str) {
    let (repeats, suspects) = {
        let quarantine = lock(&server.quarantine);
        (
            quarantine.reports_of_repeats(&report),
            suspects_text(&quarantine, &report),
        )
    };
    let row = QuarantineRow::Crash {
        report: report.clone(),
        at_platform_ms: platform_ms(server),
    };
    let key = row.key(&server.settings.vm);
    if !lock(&server.crash_rows).add(key, row) {
        return;
    }
    server.crash_rows_unwritten.notify_one();
    server.metrics.endpoint_crashes.inc();
    tracing::warn!(endpoint = %report.endpoint, incarnation = report.incarnation, evidence,
        ran = report.fingerprints.len(), suspects, "endpoint crashed");
    update_gauge(server);
    if repeats.is_empty() {
        return;
    }
    let notices = repeats.into_iter().map(CrashNotice::Crashed).collect();
    let notify = tokio::spawn(notify_vms(server.clone(), notices));
    let limit = Duration::from_millis(NOTICE_WAIT_MS);
    if tokio::time::timeout(limit, notify).await.is_err() {
        tracing::debug!("not all VMs have answered the notice of a crash yet");
    }
}

/// Returns the contents that are blamed for a crash, each with the number of
/// crashes for which it is blamed.
fn suspects_text(quarantine: &Quarantine, report: &CrashReport) -> String {
    let ran = report.fingerprints.iter();
    let suspects: BTreeMap<&str, u32> = ran
        .map(|content| (&**content, quarantine.crash_count(content)))
        .filter(|(_, crashes)| *crashes > 0)
        .collect();
    format!("{suspects:?}")
}

/// Shares that a content is no longer blamed, if other VMs may hold it.
///
/// `evidence` names the endpoint at which it has completed, or who has freed it.
pub(crate) fn publish_clearance(server: &Server, clearance: Clearance, evidence: &str) {
    tracing::info!(content = %clearance.fingerprint, crashes = clearance.crashes.len(),
        evidence, "content cleared");
    update_gauge(server);
    if clearance.crashes.len() < MAX_CRASHES as usize {
        return;
    }
    let row = QuarantineRow::Cleared {
        clearance: clearance.clone(),
        at_platform_ms: platform_ms(server),
    };
    let key = row.key(&server.settings.vm);
    let mut rows = lock(&server.crash_rows);
    rows.add(key, row);
    rows.unsent.push(clearance);
    drop(rows);
    server.crash_rows_unwritten.notify_one();
}

fn update_gauge(server: &Server) {
    let count = lock(&server.quarantine).quarantined_count();
    let count = i64::try_from(count).unwrap_or(i64::MAX);
    server.metrics.quarantined_contents.set(count);
}

/// Claims a late retry of a content; returns whether this VM may run it.
pub(crate) async fn claim_late_retry(server: &Server, content: &Name, number: u32) -> bool {
    let row = QuarantineRow::Claim {
        fingerprint: content.clone(),
        number,
        at_platform_ms: platform_ms(server),
    };
    let key = row.key(&server.settings.vm);
    let Some(bytes) = encode(&row) else {
        return false;
    };
    let tx = Tx {
        conditions: vec![Condition {
            table: CRASH_TABLE,
            key: key.clone(),
            row_version: 0,
        }],
        set: vec![(CRASH_TABLE, key, bytes), pointer_row()],
        ..Tx::default()
    };
    let result = server.store.transact(&tx).await;
    // After a failure that may have taken effect, the claim counts as used.
    if !matches!(result, Err(StoreError::NotDone(_))) {
        lock(&server.quarantine).on_claim(now_ms(), content, number);
    }
    let is_claimed = matches!(result, Ok(TxOutcome::Committed(_)));
    let error = result.err().map(|error| error.to_string());
    tracing::info!(%content, number, is_claimed, error, "late retry of a content");
    is_claimed
}

fn encode(row: &QuarantineRow) -> Option<Vec<u8>> {
    match rmp_serde::to_vec_named(row) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::error!(%error, "row of a crash not encoded");
            None
        }
    }
}

fn pointer_row() -> (&'static str, Name, Vec<u8>) {
    (VM_TABLE, CRASH_POINTER_KEY.into(), Vec::new())
}

/// Writes rows to the store for as long as the process runs.
pub(crate) async fn write_rows(server: Arc<Server>) {
    loop {
        let unsent = std::mem::take(&mut lock(&server.crash_rows).unsent);
        if !unsent.is_empty() {
            let notices = unsent.into_iter().map(CrashNotice::Cleared).collect();
            tokio::spawn(notify_vms(server.clone(), notices));
        }
        let rows: Vec<(Name, QuarantineRow)> = {
            let rows = lock(&server.crash_rows);
            let unwritten = rows.unwritten.iter().take(MAX_ROWS_PER_TX);
            unwritten
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect()
        };
        if rows.is_empty() {
            server.crash_rows_unwritten.notified().await;
            continue;
        }
        match server.store.transact(&rows_tx(&rows)).await {
            Ok(_) => {
                let mut known = lock(&server.crash_rows);
                for (key, row) in rows {
                    if known.unwritten.get(&key) == Some(&row) {
                        known.unwritten.remove(&key);
                    }
                    known.stored.insert(key, row.at_platform_ms());
                }
            }
            Err(error) => {
                tracing::debug!(%error, rows = rows.len(), "rows of crashes not written yet");
                tokio::time::sleep(Duration::from_millis(CALL_RETRY_DELAY_MS)).await;
            }
        }
    }
}

fn rows_tx(rows: &[(Name, QuarantineRow)]) -> Tx {
    let mut tx = Tx::default();
    for (key, row) in rows {
        if let Some(bytes) = encode(row) {
            tx.set.push((CRASH_TABLE, key.clone(), bytes));
        }
        if let QuarantineRow::Cleared { clearance, .. } = row {
            let claims = (1..=MAX_LATE_RETRIES)
                .map(|number| (CRASH_TABLE, claim_key(&clearance.fingerprint, number)));
            tx.delete.extend(claims);
        }
    }
    tx.set.push(pointer_row());
    tx
}

/// Records the version of the pointer row, 0 if there is none.
pub(crate) fn on_pointer_row(server: &Server, version: u64) {
    server.crash_pointer.send_if_modified(|known| {
        let is_changed = *known != Some(version);
        *known = Some(version);
        is_changed
    });
}

/// Reads the rows whenever the pointer row has changed, for as long as the process
/// runs.
pub(crate) async fn follow_rows(server: Arc<Server>) {
    let mut pointer = server.crash_pointer.subscribe();
    // An error means that the server was dropped because the process exits.
    while pointer.changed().await.is_ok() {
        let version = pointer.borrow_and_update().unwrap_or(0);
        while let Err(error) = read_rows(&server, version).await {
            tracing::info!(%error, "rows of crashes not read");
            tokio::time::sleep(Duration::from_millis(CALL_RETRY_DELAY_MS)).await;
        }
    }
}

/// Reads the rows that have changed up to a version.
async fn read_rows(server: &Server, version: u64) -> Result<(), StoreError> {
    loop {
        let read_version = lock(&server.crash_rows).read_version;
        match read_version {
            None if version == 0 => {
                lock(&server.crash_rows).read_version = Some(0);
                return Ok(());
            }
            None | Some(0) => {
                let read = server.store.read_table(CRASH_TABLE).await?;
                lock(&server.crash_rows).stored.clear();
                on_rows(server, &read.rows, read.version);
            }
            Some(after) if after >= version => return Ok(()),
            Some(after) => match server.store.watch(CRASH_TABLE, after, 0).await? {
                WatchOutcome::Changed(changed) => {
                    on_rows(server, &changed.rows, changed.version.max(after));
                    if changed.rows.is_empty() {
                        return Ok(());
                    }
                }
                WatchOutcome::HistoryLost => lock(&server.crash_rows).read_version = None,
            },
        }
    }
}

fn on_rows(server: &Server, rows: &[Row], version: u64) {
    let now_ms = now_ms();
    let now_platform_ms = platform_ms(server);
    let mut decoded = Vec::new();
    let mut known = lock(&server.crash_rows);
    known.read_version = Some(version);
    for row in rows {
        let Some(bytes) = &row.bytes else {
            known.stored.remove(&row.key);
            continue;
        };
        match rmp_serde::from_slice::<QuarantineRow>(bytes) {
            Ok(decoded_row) => {
                let at_platform_ms = decoded_row.at_platform_ms();
                known.stored.insert(row.key.clone(), at_platform_ms);
                let age_ms = now_platform_ms.saturating_sub(at_platform_ms);
                decoded.push((decoded_row, now_ms.saturating_sub(age_ms)));
            }
            Err(error) => tracing::warn!(key = %row.key, %error, "row of a crash not decoded"),
        }
    }
    drop(known);
    let count = decoded.len();
    let oldest_age_ms = decoded.iter().map(|(_, at_ms)| now_ms - at_ms).max();
    lock(&server.quarantine).on_rows(now_ms, decoded);
    update_gauge(server);
    tracing::info!(rows = count, version, oldest_age_ms, "rows of crashes read");
}

/// Returns whether the rows have been read since the start.
pub(crate) fn have_been_read(server: &Server) -> bool {
    lock(&server.crash_rows).read_version.is_some()
}

/// Deletes rows that are too old or too many.
pub(crate) async fn delete_excess_rows(server: &Server, limit: usize) -> Result<(), StoreError> {
    let Some((earliest_ms, _)) = server.store.clock_bounds_ms() else {
        return Ok(());
    };
    let keys = lock(&server.crash_rows).excess_keys(earliest_ms, limit);
    if keys.is_empty() {
        return Ok(());
    }
    let tx = Tx {
        delete: keys.iter().map(|key| (CRASH_TABLE, key.clone())).collect(),
        set: vec![pointer_row()],
        ..Tx::default()
    };
    server.store.transact(&tx).await?;
    let mut known = lock(&server.crash_rows);
    for key in &keys {
        known.stored.remove(key);
    }
    tracing::info!(rows = keys.len(), "old rows of crashes deleted");
    Ok(())
}

/// Sends notices to all other VMs at once.
async fn notify_vms(server: Arc<Server>, notices: Vec<CrashNotice>) {
    if !lock(&server.crash_rows).count_notice(now_ms()) {
        tracing::info!(
            notices = notices.len(),
            "too many crashes to tell other VMs directly"
        );
        return;
    }
    let body: Bytes = match rmp_serde::to_vec(&notices) {
        Ok(body) => body.into(),
        Err(error) => {
            tracing::error!(%error, "notice of a crash not encoded");
            return;
        }
    };
    let own_address = server.settings.peer_address;
    let mut addresses: BTreeSet<SocketAddr> = lock(&server.members)
        .live_vms()
        .map(|(_, row)| row.peer_address)
        .collect();
    addresses.extend(&server.settings.seed_addresses);
    addresses.remove(&own_address);
    let mut sends: FuturesUnordered<_> = addresses
        .into_iter()
        .map(|address| send_notice(&server, address, body.clone()))
        .collect();
    while sends.next().await.is_some() {}
}

/// Sends notices to one VM, which reads them from the store if they do not arrive.
async fn send_notice(server: &Server, address: SocketAddr, body: Bytes) {
    let deadline_ms = now_ms() + NOTICE_TIMEOUT_MS;
    let sent = post_to_peer(server, address, CRASH_NOTICE_PATH, body, deadline_ms);
    if let Err(error) = sent.await {
        tracing::debug!(%address, %error, "notice of a crash not sent");
    }
}

/// Applies the notices of another VM.
pub(crate) fn receive_notices(server: &Server, body: &[u8]) -> Response<Body> {
    let notices: Vec<CrashNotice> = match rmp_serde::from_slice(body) {
        Ok(notices) => notices,
        Err(error) => {
            tracing::warn!(%error, "notice of a crash not decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let now_ms = now_ms();
    let mut quarantine = lock(&server.quarantine);
    for notice in notices {
        match notice {
            CrashNotice::Crashed(report) => {
                tracing::info!(endpoint = %report.endpoint, incarnation = report.incarnation,
                    contents = ?report.fingerprints, "crash told by another VM");
                quarantine.on_report(now_ms, report);
            }
            CrashNotice::Cleared(clearance) => quarantine.on_clearance(clearance),
        }
    }
    drop(quarantine);
    update_gauge(server);
    empty_response(StatusCode::OK)
}
