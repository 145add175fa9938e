//! Applies the decisions about requests to the daemon's shared state: whether a
//! request is accepted, which endpoint it goes to, whether it is retried.

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

const RETRY_BUDGET_SHARE_PERMILLE: u32 = 200;
const RETRY_BUDGET_MAX_PERMILLE: u32 = 20_000;

/// Accepts a request and counts it against the concurrency limit.
///
/// # Errors
///
/// [`ErrorKind::Draining`] if the VM is shutting down,
/// [`ErrorKind::Overloaded`] if too many requests are running, and the errors
/// of [`config::check_fresh`].
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
            "too many requests are running on this VM",
        ));
    }
    Ok(())
}

/// Releases the place of an accepted request in the concurrency limit.
pub(crate) fn release_request(daemon: &Daemon) {
    lock(&daemon.request_limit).end();
}

/// Records a first attempt, which adds a fraction of a retry to the service's
/// retry budget.
pub(crate) fn record_first_attempt(daemon: &Daemon, service: &str) {
    with_budget(daemon, service, RetryBudget::on_first_attempt);
}

/// The requirements and preferences for the endpoint of a request, apart from
/// the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteOptions {
    /// The affinity key, which requests with the same prefix share.
    pub(crate) affinity: Option<Arc<str>>,
    /// The minimum weights version.
    pub(crate) min_weights_version: u64,
    /// Set to true once a sample's step has no slot left to start.
    pub(crate) is_tail: Option<Arc<AtomicBool>>,
}

/// Chooses an endpoint for a request, and counts the request there.
pub(crate) fn choose_endpoint(
    daemon: &Daemon,
    service: &str,
    route: &RouteOptions,
    avoid: &BTreeSet<Name>,
) -> Option<(Name, EndpointSettings)> {
    let max_in_flight_per_endpoint = daemon.service(service).ok()?.max_in_flight_per_endpoint;
    let request = routing::Request {
        service,
        data_centre: &daemon.settings.data_centre,
        max_in_flight_per_endpoint,
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

/// Records that an endpoint generated tokens or completed a call.
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

/// Records that an endpoint failed a request.
pub(crate) fn record_failure(daemon: &Daemon, service: &str, endpoint: &str) {
    let mut rng = lock(&daemon.rng);
    if let Some(health) = lock(&daemon.endpoints).health_mut(service, endpoint) {
        health.on_failed(now_ms(), &mut *rng);
    }
}

/// Returns whether a sample is a straggler, which continues at another endpoint.
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
    let Some(median_unit_ms) = routing::median_unit_ms(&table, service) else {
        return false;
    };
    let has_free_slot = routing::free_slots(&table, now_ms, service, route.min_weights_version) > 0;
    let progress = SampleProgress {
        started_ms,
        tokens,
        is_tail: has_free_slot && is_tail.load(Ordering::Relaxed),
    };
    is_straggler(now_ms, progress, median_unit_ms)
}

/// Waits before the retry that follows the given number of failures.
///
/// The first retry is sent to another endpoint at once. Later retries wait with
/// exponential backoff, until the deadline at most.
pub(crate) async fn wait_before_retry(daemon: &Daemon, failures: u32, deadline_ms: u64) {
    const FIRST_BACKOFF_MS: u64 = 50;
    const MAX_BACKOFF_MS: u64 = 1_000;
    let Some(earlier_backoffs) = failures.checked_sub(2) else {
        return;
    };
    let wait_ms = backoff_ms(
        earlier_backoffs,
        FIRST_BACKOFF_MS,
        MAX_BACKOFF_MS,
        &mut *lock(&daemon.rng),
    );
    sleep_until((now_ms() + wait_ms).min(deadline_ms)).await;
}

/// Returns whether a request may be retried, and takes the retry from the
/// service's retry budget.
pub(crate) fn try_spend_retry(daemon: &Daemon, service: &str, failure: AttemptFailure) -> bool {
    // These retries add no load and are not taken from the budget: moving a
    // straggler replaces one attempt by another, and a request that was not sent
    // never reached an endpoint. If a third of the endpoints is gone, a budget
    // for unsent requests would refuse requests that the other endpoints could
    // serve.
    let needs_no_budget = failure.reason == RetryReason::Straggler || !failure.was_sent;
    let may_retry = needs_no_budget || with_budget(daemon, service, RetryBudget::try_spend);
    if may_retry {
        daemon.metrics.on_retry(failure.reason);
    }
    may_retry
}

fn with_budget<F, T>(daemon: &Daemon, service: &str, use_budget: F) -> T
where
    F: FnOnce(&mut RetryBudget) -> T,
{
    let mut budgets = lock(&daemon.retry_budgets);
    let budget = budgets.entry(service.into()).or_insert_with(|| {
        RetryBudget::new(RETRY_BUDGET_SHARE_PERMILLE, RETRY_BUDGET_MAX_PERMILLE)
    });
    use_budget(budget)
}
