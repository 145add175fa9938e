//! Applies new versions of the configuration and polls the platform's table
//! for them.

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

const MIN_POLL_INTERVAL_MS: u64 = 2_000;
const MAX_POLL_INTERVAL_MS: u64 = 4_000;
/// The maximum number of missing changes that are read one by one. A daemon
/// that lacks more reads the snapshot first.
const MAX_CHANGES_READ: u64 = 2 * SNAPSHOT_INTERVAL_VERSIONS;

/// Applies an update and puts it in force if it leads to a higher version
/// than the current one.
///
/// The endpoint table, the watch channel and the freshness are updated while
/// the replica is locked. Without the lock, a slower thread could bring back
/// the endpoints of an older version.
///
/// # Errors
///
/// The error of [`Replica::apply_update`] if the update cannot be applied.
///
/// [`Replica::apply_update`]: crate::core::config::Replica::apply_update
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

/// Returns the number of the version that is in force at this daemon.
pub(crate) fn current_number(daemon: &Daemon) -> u64 {
    daemon.config.borrow().number
}

/// Checks that this daemon may act on its configuration.
///
/// # Errors
///
/// [`ErrorKind::ConfigTooOld`] if no configuration has been read since the
/// start, or if neither the table nor a quorum vouched for it recently.
pub(crate) fn check_fresh(daemon: &Daemon) -> Result<(), Refusal> {
    if lock(&daemon.freshness).is_fresh(now_ms()) {
        return Ok(());
    }
    let message = if current_number(daemon) == 0 {
        "no configuration could be read since this VM started"
    } else {
        "neither the table nor a quorum of the VMs vouches for the configuration of this VM"
    };
    Err(Refusal::new(ErrorKind::ConfigTooOld, message))
}

/// Polls the table for the latest version until the daemon stops.
///
/// The poll catches versions that no peer has sent. Members are asked as well
/// while the table does not vouch for the version in force here.
pub(crate) async fn poll_table(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    let mut round = 0;
    while !*stop.borrow_and_update() {
        if let Err(refusal) = update_from_table(&daemon).await {
            tracing::debug!(%refusal, "the configuration could not be read from the table");
        }
        config_peers::update_expected_members(&daemon);
        let must_ask_members = lock(&daemon.freshness).must_ask_members(now_ms());
        if must_ask_members {
            config_peers::ask_members(&daemon, round).await;
        }
        round += 1;
        let wait_ms = if must_ask_members {
            lock(&daemon.freshness).ask_interval_ms(now_ms())
        } else {
            lock(&daemon.rng).random_range(MIN_POLL_INTERVAL_MS..=MAX_POLL_INTERVAL_MS)
        };
        tokio::select! {
            () = sleep_until(now_ms() + wait_ms) => {}
            _ = stop.changed() => {}
        }
    }
}

/// Reads the latest version number from the table and fetches the missing
/// changes.
async fn update_from_table(daemon: &Daemon) -> Result<(), Refusal> {
    let asked_ms = now_ms();
    daemon.metrics.platform_reads.inc();
    let row = daemon.platform.get(NUMBER_KEY).await?;
    let number = row.map_or(Ok(0), |row| {
        serde_json::from_value::<NumberRow>(row.value).map(|row| row.number)
    });
    let number = number.map_err(|error| decode_error(NUMBER_KEY, &error))?;
    if number > current_number(daemon) {
        catch_up(daemon, number).await?;
    }
    lock(&daemon.freshness).on_table_read(asked_ms, number);
    Ok(())
}

/// Brings this daemon to version `number` or later, from a member if possible
/// and otherwise from the table.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnavailable`] if the table cannot be read,
/// [`ErrorKind::Internal`] if a row cannot be decoded, and the errors of
/// [`apply_update`].
pub(crate) async fn catch_up(daemon: &Daemon, number: u64) -> Result<(), Refusal> {
    if config_peers::fetch_from_members(daemon, number).await {
        return Ok(());
    }
    let current = current_number(daemon);
    if current >= number {
        return Ok(());
    }
    let is_far_behind = current == 0 || number - current > MAX_CHANGES_READ;
    if is_far_behind && let Some(snapshot) = read_snapshot(daemon).await? {
        apply_update(daemon, Update::Whole(snapshot))?;
    }
    let changes = read_changes(daemon, current_number(daemon)).await?;
    apply_update(daemon, Update::Changes(changes))
}

async fn read_snapshot(daemon: &Daemon) -> Result<Option<VersionedDocument>, Refusal> {
    daemon.metrics.platform_reads.inc();
    let row = daemon.platform.get(SNAPSHOT_KEY).await?;
    row.map(|row| {
        serde_json::from_value(row.value).map_err(|error| decode_error(SNAPSHOT_KEY, &error))
    })
    .transpose()
}

/// Reads the changes after version `number` from the table, in order.
pub(crate) async fn read_changes(daemon: &Daemon, number: u64) -> Result<Vec<Change>, Refusal> {
    daemon.metrics.platform_reads.inc();
    let after = history_key(number);
    let rows = daemon
        .platform
        .scan_after(HISTORY_KEY_PREFIX, after)
        .await?;
    rows.into_iter()
        .map(|row| {
            serde_json::from_value(row.value).map_err(|error| decode_error(&row.key, &error))
        })
        .collect()
}

/// Reads the changes after version `number`, in the form shown to operators.
pub(crate) async fn read_history(
    daemon: &Daemon,
    number: u64,
) -> Result<Vec<HistoryEntry>, Refusal> {
    let changes = read_changes(daemon, number).await?;
    Ok(changes.iter().map(HistoryEntry::from).collect())
}

fn decode_error(key: &str, error: &serde_json::Error) -> Refusal {
    let message = format!("the row '{key}' of the table cannot be decoded: {error}");
    Refusal::new(ErrorKind::Internal, message)
}
