//! Opens connections to endpoints, and finds out from which of them this VM is cut off.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use rand::{Rng, seq::IteratorRandom};
use tokio::sync::oneshot;

use super::{
    claims,
    http_client::{self, CONNECT_TIMEOUT_MS, Connection, ExchangeError, Reachability},
    silence,
    state::{Server, lock},
};
use crate::{
    core::{
        paths::{PathReport, Testimony},
        pool::{EndpointRecord, EndpointStage, Pool},
    },
    daemon::now_ms,
};

/// How long a request waits for a connection to an endpoint, in milliseconds: a round
/// trip to another region and some delay of this VM.
const CONNECT_PATIENCE_MS: u64 = 100;
/// How long an endpoint may take to accept a connection that checks a path, in
/// milliseconds.
const CHECK_TIMEOUT_MS: u64 = 250;
/// How long other endpoints may take to accept a connection while another VM waits for
/// this one's word, in milliseconds.
const OTHERS_TIMEOUT_MS: u64 = 200;
/// The most endpoints of a data centre, of a service and of the rest that are checked after
/// one has failed.
const CHECKED_ENDPOINTS: usize = 1;
/// The interval at which cut paths are checked, in milliseconds.
const CUT_CHECK_INTERVAL_MS: u64 = 500;

/// The checks of paths to endpoints, and what they have shown.
#[derive(Debug, Default)]
pub(crate) struct PathChecks {
    is_checking: AtomicBool,
    /// The report that was logged last.
    logged: Mutex<PathReport>,
}

/// Opens a connection to an endpoint.
///
/// If that takes too long for a request, it goes on in the background, and the connection
/// is kept for a later request.
///
/// # Errors
///
/// Returns `NotSent` if the endpoint does not accept the connection in time.
pub(crate) async fn connect(
    server: &Arc<Server>,
    endpoint: &str,
    address: SocketAddr,
) -> Result<Connection, ExchangeError> {
    let (sender, mut receiver) = oneshot::channel();
    let (opening, id) = (server.clone(), endpoint.to_owned());
    tokio::spawn(async move {
        let started_ms = now_ms();
        let opened = http_client::connect(address, CONNECT_TIMEOUT_MS).await;
        on_connect(&opening, &id, started_ms, opened.is_ok());
        if let Err(Ok(unused)) = sender.send(opened) {
            opening.http.keep(address, unused);
        }
    });
    let limit = Duration::from_millis(CONNECT_PATIENCE_MS);
    let opened = if let Ok(received) = tokio::time::timeout(limit, &mut receiver).await {
        received.ok()
    } else {
        // After a delay of this VM, the connection may be open although its task has not
        // run yet.
        tokio::task::yield_now().await;
        receiver.try_recv().ok()
    };
    let opened = opened.unwrap_or_else(|| {
        let message = format!("no connection to {address} in {CONNECT_PATIENCE_MS} ms");
        Err(ExchangeError::NotSent(message))
    });
    if opened.is_err() {
        check_others_in_background(server, endpoint);
    }
    opened
}

/// Returns whether an endpoint accepts a connection, which is kept for the next request.
pub(crate) async fn check(
    server: &Server,
    record: &EndpointRecord,
    timeout_ms: u64,
) -> Reachability {
    let started_ms = now_ms();
    let check = server.http.check_reachability(record.address, timeout_ms);
    let reachability = check.await;
    let is_accepted = reachability == Reachability::Accepts;
    on_connect(server, &record.id, started_ms, is_accepted);
    reachability
}

fn on_connect(server: &Server, endpoint: &str, started_ms: u64, is_accepted: bool) {
    server.metrics.on_connect(is_accepted);
    lock(&server.pool).on_connect(started_ms, now_ms(), endpoint, is_accepted);
    log_change(server);
}

/// Logs from which endpoints this VM is cut off, whenever that changes.
fn log_change(server: &Server) {
    let now_ms = now_ms();
    let (report, cut_for_ms, failed, connected_age_ms) = {
        let mut pool = lock(&server.pool);
        pool.update_paths(now_ms);
        let paths = pool.paths();
        let age_ms = |since_ms: u64| now_ms - since_ms;
        (
            paths.report(now_ms),
            paths.cut().since_ms().map(age_ms),
            paths.all().failed_count(now_ms),
            paths.all().connected_ms().map(age_ms),
        )
    };
    {
        let mut logged = lock(&server.path_checks.logged);
        if *logged == report {
            return;
        }
        *logged = report.clone();
    }
    server.metrics.set_cut_paths(&report);
    tracing::info!(is_isolated = report.is_isolated, data_centres = ?report.cut_data_centres,
        services = ?report.cut_services, failed, connected_age_ms, cut_for_ms,
        "paths to endpoints changed");
}

/// Checks other endpoints after one has not accepted a connection, to find out whether the
/// path is cut, unless endpoints like it have just sent something.
pub(crate) fn check_others_in_background(server: &Arc<Server>, failed: &str) {
    let others = {
        let pool = lock(&server.pool);
        let Some(record) = pool.get(failed).map(|known| &known.record) else {
            return;
        };
        if pool.paths().is_cut(now_ms(), record) || is_heard_from_others(&pool, record) {
            return;
        }
        other_endpoints(&pool, record, &mut *lock(&server.rng))
    };
    if others.is_empty() || server.path_checks.is_checking.swap(true, Ordering::SeqCst) {
        return;
    }
    let server = server.clone();
    tokio::spawn(async move {
        check_all(&server, &others).await;
        server
            .path_checks
            .is_checking
            .store(false, Ordering::SeqCst);
    });
}

/// Returns whether any of some endpoints besides this one accepts a connection.
pub(crate) async fn reaches_other(server: &Server, record: &EndpointRecord) -> bool {
    let others = {
        let pool = lock(&server.pool);
        other_endpoints(&pool, record, &mut *lock(&server.rng))
    };
    let checks: FuturesUnordered<_> = others
        .iter()
        .map(|other| check(server, other, OTHERS_TIMEOUT_MS))
        .collect();
    checks
        .any(async |reached| reached == Reachability::Accepts)
        .await
}

/// Returns whether another endpoint of the same data centre or service has lately sent
/// something.
fn is_heard_from_others(pool: &Pool, record: &EndpointRecord) -> bool {
    let now_ms = now_ms();
    pool.all().any(|known| {
        let other = &known.record;
        let is_alike = other.data_centre == record.data_centre || other.service == record.service;
        is_alike && other.id != record.id && known.has_answered_lately(now_ms)
    })
}

async fn check_all(server: &Server, endpoints: &[EndpointRecord]) {
    let checks = endpoints
        .iter()
        .map(|record| check(server, record, CHECK_TIMEOUT_MS));
    join_all(checks).await;
}

/// Chooses endpoints of the same data centre, of the same service and others at random.
fn other_endpoints<R>(pool: &Pool, record: &EndpointRecord, rng: &mut R) -> Vec<EndpointRecord>
where
    R: Rng,
{
    let is_other = |other: &&EndpointRecord| {
        other.stage == EndpointStage::Ready
            && other.id != record.id
            && !pool.paths().has_failed(now_ms(), &other.id)
    };
    let others = || pool.all().map(|known| &known.record).filter(is_other);
    let near = others().filter(|other| other.data_centre == record.data_centre);
    let alike = others().filter(|other| other.service == record.service);
    let mut chosen: Vec<&EndpointRecord> = near.choose_multiple(rng, CHECKED_ENDPOINTS);
    chosen.extend(alike.choose_multiple(rng, CHECKED_ENDPOINTS));
    chosen.extend(others().choose_multiple(rng, CHECKED_ENDPOINTS));
    let mut ids = BTreeSet::new();
    chosen.retain(|other| ids.insert(&other.id));
    chosen.into_iter().cloned().collect()
}

/// Checks cut paths until they work again, for as long as the process runs.
pub(crate) async fn run_checks(server: Arc<Server>) {
    loop {
        tokio::time::sleep(Duration::from_millis(CUT_CHECK_INTERVAL_MS)).await;
        let checked = {
            let pool = lock(&server.pool);
            cut_endpoints(&pool, &mut *lock(&server.rng))
        };
        check_all(&server, &checked).await;
        confirm_cuts(&server, &checked).await;
        log_change(&server);
        if leaves_work_to_others(&server) {
            claims::release_all_shares(&server).await;
        }
    }
}

/// Returns whether VMs that reach endpoints run the shares of batches, since this one is
/// cut off from all endpoints.
pub(crate) fn leaves_work_to_others(server: &Server) -> bool {
    let isolation = *lock(&server.pool).paths().isolation();
    isolation.is_lasting(now_ms()) && has_other_vm(server, |report| !report.is_isolated)
}

/// Returns whether a VM that reaches all endpoints orders weights, since this one is cut off
/// from some.
pub(crate) fn leaves_orders_to_others(server: &Server) -> bool {
    let cut = *lock(&server.pool).paths().cut();
    cut.is_lasting(now_ms()) && has_other_vm(server, |report| !report.has_cut())
}

fn has_other_vm<P>(server: &Server, is_fit: P) -> bool
where
    P: Fn(&PathReport) -> bool,
{
    let members = lock(&server.members);
    members
        .live_vms()
        .any(|(vm, row)| *vm != server.settings.vm && is_fit(&row.paths))
}

/// Asks other VMs whether they reach endpoints behind paths that seem to be cut.
async fn confirm_cuts(server: &Arc<Server>, endpoints: &[EndpointRecord]) {
    let unconfirmed = endpoints.iter().filter(|record| {
        let pool = lock(&server.pool);
        let (paths, now_ms) = (pool.paths(), now_ms());
        paths.is_cut(now_ms, record) && !paths.is_confirmed(now_ms, record)
    });
    let asked = unconfirmed.map(|record| async {
        let testimonies = silence::ask_other_vms(server, record).await;
        if testimonies.contains(&Testimony::Reached) {
            lock(&server.pool).on_reached_by_other(now_ms(), &record.id);
        }
    });
    join_all(asked).await;
}

/// Chooses an endpoint behind each cut path at random.
fn cut_endpoints<R>(pool: &Pool, rng: &mut R) -> Vec<EndpointRecord>
where
    R: Rng,
{
    let report = pool.paths().report(now_ms());
    let ready = || {
        let all = pool.all().map(|known| &known.record);
        all.filter(|record| record.stage == EndpointStage::Ready)
    };
    let mut chosen: Vec<EndpointRecord> = Vec::new();
    for data_centre in &report.cut_data_centres {
        let behind = ready().filter(|record| record.data_centre == *data_centre);
        chosen.extend(behind.choose(rng).cloned());
    }
    for service in &report.cut_services {
        let behind = ready().filter(|record| record.service == *service);
        chosen.extend(behind.choose(rng).cloned());
    }
    if report.is_isolated {
        chosen.extend(ready().choose(rng).cloned());
    }
    chosen
}
