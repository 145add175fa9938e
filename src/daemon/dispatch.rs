//! Decisions about requests, carried out on this daemon's shared parts:
//! whether one is taken, where it goes, whether it is tried again.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use super::{
    clock::{now_ms, sleep_until},
    config,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        config::EndpointSettings,
        request::AttemptFailure,
        retry::{RetryBudget, RetryReason, backoff_ms},
        routing,
        straggler::{SampleProgress, is_straggler},
    },
    error::{ErrorKind, Refusal},
};

const RETRY_SHARE_PERMILLE: u32 = 200;
const RETRY_BOUND_PERMILLE: u32 = 20_000;

/// Takes a request, or refuses it at once.
pub(crate) fn admit(daemon: &Daemon) -> Result<(), Refusal> {
    if daemon.is_draining.load(Ordering::SeqCst) {
        return Err(Refusal::new(
            ErrorKind::Draining,
            "this VM is shutting down",
        ));
    }
    config::check_fresh(daemon)?;
    if !lock(&daemon.request_limit).try_start() {
        return Err(Refusal::new(
            ErrorKind::Overloaded,
            "too many requests run on this VM",
        ));
    }
    Ok(())
}

/// Notes that a request that was taken ended.
pub(crate) fn release_request(daemon: &Daemon) {
    lock(&daemon.request_limit).end();
}

/// Notes a first try, which earns a part of a retry.
pub(crate) fn record_first_try(daemon: &Daemon, service: &str) {
    with_budget(daemon, service, RetryBudget::on_first_attempt);
}

/// What a request asks of its endpoint beside the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteOptions {
    /// What requests with the same prefix have in common.
    pub(crate) affinity: Option<Arc<str>>,
    /// The oldest weights version that will do.
    pub(crate) min_weights_version: u64,
    /// Set once a sample's step has no slot left to start.
    pub(crate) is_tail: Option<Arc<AtomicBool>>,
}

/// Chooses an endpoint for a request.
pub(crate) fn choose_endpoint(
    daemon: &Daemon,
    service: &str,
    route: &RouteOptions,
    avoid: &BTreeSet<Name>,
) -> Option<(Name, EndpointSettings)> {
    let most = daemon.service(service).ok()?.max_in_flight_per_endpoint;
    let request = routing::Request {
        service,
        data_centre: &daemon.settings.data_centre,
        max_in_flight_per_endpoint: most,
        avoid,
        affinity: route.affinity.as_deref(),
        min_weights_version: route.min_weights_version,
    };
    let mut rng = lock(&daemon.rng);
    let mut endpoints = lock(&daemon.endpoints);
    let name = routing::choose(&endpoints, now_ms(), &request, &mut *rng)?;
    let settings = endpoints
        .of_service(service)
        .find(|endpoint| endpoint.name == name)
        .map(|endpoint| endpoint.settings.clone())?;
    endpoints.on_start(service, &name);
    Some((name, settings))
}

/// Notes that tokens or a call came from an endpoint.
pub(crate) fn record_success(
    daemon: &Daemon,
    service: &str,
    endpoint: &str,
    units: u32,
    elapsed_ms: u64,
) {
    if let Some(health) = lock(&daemon.endpoints).health_mut(service, endpoint) {
        health.on_ok(now_ms(), units, elapsed_ms);
    }
}

/// Notes that an endpoint failed a request.
pub(crate) fn record_failure(daemon: &Daemon, service: &str, endpoint: &str) {
    let mut rng = lock(&daemon.rng);
    if let Some(health) = lock(&daemon.endpoints).health_mut(service, endpoint) {
        health.on_failed(now_ms(), &mut *rng);
    }
}

/// Returns whether a sample is to go on at another endpoint than where it runs.
pub(crate) fn is_straggling(
    daemon: &Daemon,
    service: &str,
    route: &RouteOptions,
    started_ms: u64,
    tokens: u32,
) -> bool {
    let Some(is_tail) = &route.is_tail else {
        return false;
    };
    let now_ms = now_ms();
    let table = lock(&daemon.endpoints);
    let Some(typical_ms) = routing::median_unit_ms(&table, service) else {
        return false;
    };
    let has_room = routing::free_slots(&table, now_ms, service, route.min_weights_version) > 0;
    let progress = SampleProgress {
        started_ms,
        tokens,
        is_tail: has_room && is_tail.load(Ordering::Relaxed),
    };
    is_straggler(now_ms, progress, typical_ms)
}

/// Waits before the retry after this many failures; the first goes to another
/// endpoint at once.
pub(crate) async fn wait_before_retry(daemon: &Daemon, failures: u32, deadline_ms: u64) {
    const FIRST_MS: u64 = 50;
    const MAX_MS: u64 = 1_000;
    let Some(earlier) = failures.checked_sub(2) else {
        return;
    };
    let wait_ms = backoff_ms(earlier, FIRST_MS, MAX_MS, &mut *lock(&daemon.rng));
    sleep_until((now_ms() + wait_ms).min(deadline_ms)).await;
}

/// Asks the service's retry budget for one retry.
pub(crate) fn try_spend_retry(daemon: &Daemon, service: &str, failure: AttemptFailure) -> bool {
    // Moving a straggler ends one attempt for another and adds no load, and
    // neither does what never reached an endpoint: where a third of them is
    // gone, a budget for these would refuse what the others have room for.
    let is_free = failure.reason == RetryReason::Straggler || !failure.was_sent;
    let may_retry = is_free || with_budget(daemon, service, RetryBudget::try_spend);
    if may_retry {
        daemon.metrics.on_retry(failure.reason);
    }
    may_retry
}

fn with_budget<F, T>(daemon: &Daemon, service: &str, act: F) -> T
where
    F: FnOnce(&mut RetryBudget) -> T,
{
    let mut budgets = lock(&daemon.retry_budgets);
    let budget = budgets
        .entry(service.into())
        .or_insert_with(|| RetryBudget::new(RETRY_SHARE_PERMILLE, RETRY_BOUND_PERMILLE));
    act(budget)
}
