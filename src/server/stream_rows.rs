//! Keeps in the store where streams may have begun, and, where more than one origin is
//! possible, where each stream began: VMs that begin streams may all be lost at once.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use super::{
    clean,
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        routes::{Route, RouteKind},
        streams::{BegunStreams, BegunStreamsRow, OriginRegistry, StreamOrigin},
    },
    daemon::{now_ms, sleep_until},
    platform::{Condition, Row, StoreError, Tx, TxOutcome},
};

/// The table of streams, and its only part: transactions on one part wait for each other.
const STREAM_TABLE: &str = "streams";
const STREAM_PART: &str = "streams";
/// The key of the row with the [`OriginRegistry`]; no VM has this name.
const REGISTRY_KEY: &str = "~origins";

/// The time between two reads of one VM for each live VM, in milliseconds: all of them
/// together read 250 times a second at most.
const READ_INTERVAL_PER_VM_MS: u64 = 4;
/// How often a registration that another VM's write precedes is tried.
const MAX_REGISTER_ATTEMPTS: u32 = 4;
/// The most rows deleted with one transaction.
const MAX_DELETED_ROWS_PER_TX: usize = 90;
/// How often one VM of all removes what is no longer needed, in milliseconds.
const CLEAN_INTERVAL_MS: u64 = 60_000;

/// What this VM knows of the rows of streams.
#[derive(Debug, Default)]
pub(crate) struct StreamRows {
    begun: Mutex<BegunStreams>,
    /// The registry as it was last read or written.
    registry: Mutex<OriginRegistry>,
    /// Notified when this VM's row should be written.
    unwritten: Notify,
    /// Held while the registry is written, or rows are read.
    writing: tokio::sync::Mutex<()>,
    reading: tokio::sync::Mutex<Option<LastRead>>,
}

/// What the store held at one moment.
#[derive(Debug)]
struct Snapshot {
    registry: OriginRegistry,
    registry_version: u64,
    rows: Vec<(Name, BegunStreamsRow)>,
}

#[derive(Clone, Debug)]
struct LastRead {
    begun_at: Instant,
    begun_ms: u64,
    result: Result<Arc<Snapshot>, StoreError>,
}

/// Records a stream that this VM has begun.
pub(crate) fn on_begun(
    server: &Server,
    id: &str,
    (host, path): (&str, &str),
    origin: StreamOrigin,
    until_ms: u64,
) {
    let rows = &server.stream_rows;
    lock(&rows.begun).insert(id, origin, until_ms);
    if lock(&rows.registry).only_origin(host, path).is_none() {
        rows.unwritten.notify_one();
    }
}

/// Returns where a stream began, from the store as it is now; `None` if it does not tell.
///
/// # Errors
///
/// Returns why the store was not read.
pub(crate) async fn find_origin(
    server: &Server,
    (host, path): (&str, &str),
    resumed_request: Option<&Name>,
) -> Result<Option<StreamOrigin>, StoreError> {
    let snapshot = read_after(server, Instant::now()).await?;
    let by_request = resumed_request.and_then(|id| {
        let mut rows = snapshot.rows.iter();
        rows.find_map(|(_, row)| row.origin_of(id))
    });
    let origin = by_request.or_else(|| snapshot.registry.only_origin(host, path));
    Ok(origin.cloned())
}

/// Registers the origin of a stream that is about to begin, unless it is registered.
///
/// # Errors
///
/// Returns why the origin could not be registered; the stream must not begin there.
pub(crate) async fn register(
    server: &Server,
    route: &Route,
    origin: &StreamOrigin,
) -> Result<(), String> {
    register_all(
        server,
        &[(route.host.clone(), route.prefix.clone(), origin.clone())],
    )
    .await
}

type RegistryKey = (Name, Name, StreamOrigin);

async fn register_all(server: &Server, wanted: &[RegistryKey]) -> Result<(), String> {
    let rows = &server.stream_rows;
    let is_registered = |registry: &OriginRegistry| {
        let mut wanted = wanted.iter();
        wanted.all(|(host, prefix, origin)| registry.contains(host, prefix, origin))
    };
    if is_registered(&lock(&rows.registry)) {
        return Ok(());
    }
    let _writing = rows.writing.lock().await;
    for _ in 0..MAX_REGISTER_ATTEMPTS {
        if is_registered(&lock(&rows.registry)) {
            return Ok(());
        }
        let snapshot = read_after(server, Instant::now()).await;
        let snapshot = snapshot.map_err(|error| error.to_string())?;
        let mut registry = snapshot.registry.clone();
        for (host, prefix, origin) in wanted {
            registry.register(host, prefix, origin);
        }
        if registry != snapshot.registry {
            let written = write_registry(server, &registry, snapshot.registry_version).await?;
            if !written {
                continue;
            }
            tracing::info!(?wanted, "origins of streams registered");
        }
        keep_registry(server, registry);
    }
    if is_registered(&lock(&rows.registry)) {
        return Ok(());
    }
    Err("other VMs write the origins of streams all the time".to_owned())
}

/// Keeps the registry; if it now allows for several origins, the streams in progress are
/// written too.
fn keep_registry(server: &Server, registry: OriginRegistry) {
    let mut known = lock(&server.stream_rows.registry);
    if *known != registry {
        *known = registry;
        server.stream_rows.unwritten.notify_one();
    }
}

/// Writes the registry; returns `false` if another VM has written it meanwhile.
async fn write_registry(
    server: &Server,
    registry: &OriginRegistry,
    row_version: u64,
) -> Result<bool, String> {
    let bytes = rmp_serde::to_vec(registry).map_err(|error| error.to_string())?;
    let tx = Tx {
        part: STREAM_PART.into(),
        conditions: vec![Condition {
            table: STREAM_TABLE,
            key: REGISTRY_KEY.into(),
            row_version,
        }],
        set: vec![(STREAM_TABLE, REGISTRY_KEY.into(), bytes)],
        ..Tx::default()
    };
    match server.store.transact(&tx).await {
        Ok(TxOutcome::Committed(_)) => Ok(true),
        Ok(TxOutcome::Conflict(_)) => Ok(false),
        Err(error) => Err(error.to_string()),
    }
}

/// Returns what the store held after a moment. Those that ask meanwhile share one read.
async fn read_after(server: &Server, asked_at: Instant) -> Result<Arc<Snapshot>, StoreError> {
    let mut last = server.stream_rows.reading.lock().await;
    if let Some(last) = last.as_ref().filter(|last| last.begun_at > asked_at) {
        return last.result.clone();
    }
    if let Some(last) = last.as_ref() {
        sleep_until(last.begun_ms + live_vms(server) * READ_INTERVAL_PER_VM_MS).await;
    }
    let (begun_at, begun_ms) = (Instant::now(), now_ms());
    let result = read_snapshot(server).await.map(Arc::new);
    if let Ok(snapshot) = &result {
        keep_registry(server, snapshot.registry.clone());
    }
    *last = Some(LastRead {
        begun_at,
        begun_ms,
        result: result.clone(),
    });
    result
}

async fn read_snapshot(server: &Server) -> Result<Snapshot, StoreError> {
    let read = server
        .store
        .read(STREAM_TABLE, STREAM_PART, "", None, usize::MAX);
    let mut snapshot = Snapshot {
        registry: OriginRegistry::default(),
        registry_version: 0,
        rows: Vec::new(),
    };
    for row in read.await?.rows {
        let Some(bytes) = &row.bytes else { continue };
        if &*row.key == REGISTRY_KEY {
            // Without the registry, a stream could be taken for one of another origin.
            snapshot.registry = rmp_serde::from_slice(bytes).map_err(|error| {
                StoreError::NotDone(format!("origins of streams not decoded: {error}"))
            })?;
            snapshot.registry_version = row.version;
        } else if let Some(begun) = decode_begun(&row, bytes) {
            snapshot.rows.push((row.key.clone(), begun));
        }
    }
    Ok(snapshot)
}

fn decode_begun(row: &Row, bytes: &[u8]) -> Option<BegunStreamsRow> {
    match rmp_serde::from_slice(bytes) {
        Ok(begun) => Some(begun),
        Err(error) => {
            tracing::warn!(key = %row.key, %error, "row of streams not decoded");
            None
        }
    }
}

fn live_vms(server: &Server) -> u64 {
    let members = lock(&server.members);
    u64::try_from(members.live_vms().count()).unwrap_or(u64::MAX)
}

/// Writes this VM's row when streams have begun whose origin could be another one, until
/// the process ends.
pub(crate) async fn write_rows(server: Arc<Server>) {
    let rows = &server.stream_rows;
    let mut has_row = false;
    loop {
        let idle = tokio::time::sleep(Duration::from_millis(CLEAN_INTERVAL_MS));
        tokio::select! {
            () = rows.unwritten.notified() => {}
            () = idle, if has_row => {}
        }
        tokio::time::sleep(Duration::from_millis(BegunStreams::WRITE_DELAY_MS)).await;
        let next_ms = now_ms() + BegunStreams::write_interval_ms(live_vms(&server));
        match write_own_row(&server, has_row).await {
            // Nothing was written.
            Ok(false) if !has_row => continue,
            Ok(is_set) => has_row = is_set,
            Err(error) => {
                tracing::info!(%error, "row of streams not written");
                rows.unwritten.notify_one();
            }
        }
        sleep_until(next_ms).await;
    }
}

/// Writes this VM's row, or deletes it if no stream is in progress; returns whether the
/// store holds one.
async fn write_own_row(server: &Server, has_row: bool) -> Result<bool, StoreError> {
    let Some((_, platform_ms)) = server.store.clock_bounds_ms() else {
        return Err(StoreError::NotDone("its clock is not known".to_owned()));
    };
    let max_streams = server.settings.row_bytes / (2 * BegunStreamsRow::BYTES_PER_STREAM);
    let row = lock(&server.stream_rows.begun).to_row(now_ms(), platform_ms, max_streams);
    let key: Name = format!("{}/{}", server.settings.vm, server.incarnation).into();
    let mut tx = Tx {
        part: STREAM_PART.into(),
        ..Tx::default()
    };
    match row {
        Some(row) => {
            let bytes = rmp_serde::to_vec(&row)
                .map_err(|error| StoreError::NotDone(format!("not encoded: {error}")))?;
            tx.set.push((STREAM_TABLE, key, bytes));
        }
        None if has_row => tx.delete.push((STREAM_TABLE, key)),
        None => return Ok(false),
    }
    let is_set = !tx.set.is_empty();
    server.store.transact(&tx).await?;
    Ok(is_set)
}

/// Registers the origins that are listed for the routes of streams, before streams begin
/// there.
pub(crate) async fn register_listed(server: &Server) {
    let wanted: Vec<RegistryKey> = {
        let routes = server.routes();
        let pool = lock(&server.pool);
        let streams = routes
            .all()
            .filter(|route| route.kind == RouteKind::ResumableStream);
        let keys = streams.flat_map(|route| {
            let services = route.services.iter().map(|entry| &entry.service);
            let origins: BTreeSet<StreamOrigin> = services
                .flat_map(|service| {
                    let endpoints = pool.all().filter(|known| known.record.service == *service);
                    endpoints.map(|known| known.record.origin())
                })
                .collect();
            origins
                .into_iter()
                .map(|origin| (route.host.clone(), route.prefix.clone(), origin))
        });
        keys.collect()
    };
    if let Err(error) = register_all(server, &wanted).await {
        tracing::info!(error, "origins of streams not registered yet");
    }
}

/// Registers new origins as they are listed, until the process ends.
pub(crate) async fn follow_origins(server: Arc<Server>) {
    loop {
        server.pool_listed.notified().await;
        register_listed(&server).await;
    }
}

/// Cleans up after all VMs, if this VM is the one to do so, until the process ends.
pub(crate) async fn clean_periodically(server: Arc<Server>) {
    loop {
        tokio::time::sleep(Duration::from_millis(CLEAN_INTERVAL_MS)).await;
        let is_used = *lock(&server.stream_rows.registry) != OriginRegistry::default();
        if is_used
            && clean::is_chosen(&server, STREAM_TABLE)
            && let Err(error) = delete_old(&server).await
        {
            tracing::warn!(%error, "old rows of streams not deleted yet");
        }
    }
}

/// Deletes rows of streams that are over, and origins that have long not been listed.
async fn delete_old(server: &Server) -> Result<(), StoreError> {
    let Some((earliest_ms, latest_ms)) = server.store.clock_bounds_ms() else {
        return Ok(());
    };
    let snapshot = read_after(server, Instant::now()).await?;
    let is_over = |row: &BegunStreamsRow| row.expires_platform_ms < earliest_ms;
    let over = snapshot.rows.iter().filter(|(_, row)| is_over(row));
    let delete: Vec<_> = over
        .map(|(key, _)| (STREAM_TABLE, key.clone()))
        .take(MAX_DELETED_ROWS_PER_TX)
        .collect();
    if !delete.is_empty() {
        let tx = Tx {
            part: STREAM_PART.into(),
            delete,
            ..Tx::default()
        };
        server.store.transact(&tx).await?;
    }
    let listed: BTreeSet<StreamOrigin> = {
        let pool = lock(&server.pool);
        pool.all().map(|known| known.record.origin()).collect()
    };
    let mut registry = snapshot.registry.clone();
    if registry.on_listed(latest_ms, &listed) {
        let written = write_registry(server, &registry, snapshot.registry_version).await;
        match written {
            Ok(true) => keep_registry(server, registry),
            Ok(false) => {}
            Err(error) => return Err(StoreError::NotDone(error)),
        }
    }
    Ok(())
}
