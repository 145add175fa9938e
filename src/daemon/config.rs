//! The numbered configuration: what is in force here, and the poll of the table.

use std::sync::Arc;

use rand::Rng;

use super::{
    clock::{now_ms, sleep_until},
    config_peers,
    state::{Daemon, lock},
};
use crate::{
    core::config::{
        Change, HISTORY_KEY_PREFIX, NUMBER_KEY, NumberRow, SNAPSHOT_INTERVAL_VERSIONS,
        SNAPSHOT_KEY, Update, VersionedDocument, history_key,
    },
    error::{ErrorKind, Refusal},
    wire::operators::HistoryEntry,
};

const MIN_POLL_MS: u64 = 2_000;
const MAX_POLL_MS: u64 = 4_000;
/// From so many missing changes on, the snapshot is read instead.
const MAX_CHANGES_READ: u64 = 2 * SNAPSHOT_INTERVAL_VERSIONS;

/// Puts an update in force, if it gives a higher number than what is here.
///
/// The parts are told under the lock of the replica: told outside of it, a
/// slower thread could bring back the endpoints of an older version.
pub(crate) fn apply_update(daemon: &Daemon, update: Update) -> Result<(), Refusal> {
    let mut replica = lock(&daemon.replica);
    if !replica.apply_update(update)? {
        return Ok(());
    }
    let versioned = replica.versioned().clone();
    let number = versioned.number;
    lock(&daemon.endpoints).configure(&versioned.document);
    daemon.config.send_replace(versioned);
    lock(&daemon.freshness).on_version_in_force(number);
    daemon
        .metrics
        .config_number
        .set(i64::try_from(number).unwrap_or(i64::MAX));
    drop(replica);
    tracing::info!(number, "configuration in force");
    Ok(())
}

/// Returns the number in force here.
pub(crate) fn current_number(daemon: &Daemon) -> u64 {
    daemon.config.borrow().number
}

/// Returns an error unless this daemon may act on its configuration.
pub(crate) fn check_fresh(daemon: &Daemon) -> Result<(), Refusal> {
    if lock(&daemon.freshness).is_fresh(now_ms()) {
        return Ok(());
    }
    let message = if current_number(daemon) == 0 {
        "no configuration could be read since this VM started"
    } else {
        "neither the table nor a quorum of the VMs vouches for the configuration here"
    };
    Err(Refusal::new(ErrorKind::ConfigTooOld, message))
}

/// Reads the number again and again, as the floor under what peers tell, and
/// asks members while the table does not vouch.
pub(crate) async fn poll_table(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    let mut turn = 0;
    while !*stop.borrow_and_update() {
        if let Err(refusal) = read_table(&daemon).await {
            tracing::debug!(%refusal, "the configuration was not read");
        }
        config_peers::update_expected_members(&daemon);
        let needs_members = lock(&daemon.freshness).must_ask_members(now_ms());
        if needs_members {
            config_peers::ask_members(&daemon, turn).await;
        }
        turn += 1;
        let wait_ms = if needs_members {
            lock(&daemon.freshness).ask_interval_ms(now_ms())
        } else {
            lock(&daemon.rng).random_range(MIN_POLL_MS..=MAX_POLL_MS)
        };
        tokio::select! {
            () = sleep_until(now_ms() + wait_ms) => {}
            _ = stop.changed() => {}
        }
    }
}

/// Reads the number of the table, and then what is missing here.
async fn read_table(daemon: &Daemon) -> Result<(), Refusal> {
    let asked_ms = now_ms();
    daemon.metrics.platform_reads.inc();
    let row = daemon.platform.get(NUMBER_KEY).await?;
    let number = row.map_or(Ok(0), |row| {
        serde_json::from_value::<NumberRow>(row.value).map(|row| row.number)
    });
    let number = number.map_err(internal)?;
    if number > self::current_number(daemon) {
        catch_up(daemon, number).await?;
    }
    lock(&daemon.freshness).on_table_read(asked_ms, number);
    Ok(())
}

/// Brings this daemon to version `number` at least: from a member if one has
/// it, else from the table.
pub(crate) async fn catch_up(daemon: &Daemon, number: u64) -> Result<(), Refusal> {
    if config_peers::fetch_from_members(daemon, number).await {
        return Ok(());
    }
    let here = self::current_number(daemon);
    if here >= number {
        return Ok(());
    }
    let is_far_behind = here == 0 || number - here > MAX_CHANGES_READ;
    if is_far_behind && let Some(whole) = read_snapshot(daemon).await? {
        apply_update(daemon, Update::Whole(whole))?;
    }
    let changes = read_changes(daemon, self::current_number(daemon)).await?;
    apply_update(daemon, Update::Changes(changes))
}

async fn read_snapshot(daemon: &Daemon) -> Result<Option<VersionedDocument>, Refusal> {
    daemon.metrics.platform_reads.inc();
    let row = daemon.platform.get(SNAPSHOT_KEY).await?;
    row.map(|row| serde_json::from_value(row.value).map_err(internal))
        .transpose()
}

/// Reads the changes after version `number`, in order.
pub(crate) async fn read_changes(daemon: &Daemon, number: u64) -> Result<Vec<Change>, Refusal> {
    daemon.metrics.platform_reads.inc();
    let after = history_key(number);
    let rows = daemon
        .platform
        .scan_after(HISTORY_KEY_PREFIX, after)
        .await?;
    rows.into_iter()
        .map(|row| serde_json::from_value(row.value).map_err(internal))
        .collect()
}

/// Reads the history of the configuration after version `number`.
pub(crate) async fn read_history(
    daemon: &Daemon,
    number: u64,
) -> Result<Vec<HistoryEntry>, Refusal> {
    let changes = read_changes(daemon, number).await?;
    Ok(changes.iter().map(HistoryEntry::from).collect())
}

pub(crate) fn internal<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::Internal, error.to_string())
}
