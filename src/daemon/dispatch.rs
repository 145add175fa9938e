//! Decisions about requests, carried out on this daemon's shared parts:
//! whether one is taken, where it goes, whether it is tried again.

use std::{collections::BTreeSet, sync::atomic::Ordering};

use super::{
    clock::now_ms,
    config,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        config::EndpointSettings,
        retry::{Budget, RetryReason},
        routing,
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
    if !lock(&daemon.limit).try_start() {
        return Err(Refusal::new(
            ErrorKind::Overloaded,
            "too many requests run on this VM",
        ));
    }
    Ok(())
}

/// Notes that a request that was taken ended.
pub(crate) fn on_end(daemon: &Daemon) {
    lock(&daemon.limit).end();
}

/// Notes a first try, which earns a part of a retry.
pub(crate) fn on_first_try(daemon: &Daemon, service: &str) {
    with_budget(daemon, service, Budget::on_first_try);
}

/// Chooses an endpoint for a request.
pub(crate) fn choose(
    daemon: &Daemon,
    service: &str,
    avoid: &BTreeSet<Name>,
) -> Option<(Name, EndpointSettings)> {
    let most = daemon.service(service).ok()?.max_in_flight_per_endpoint;
    let request = routing::Request {
        service,
        data_centre: &daemon.settings.data_centre,
        max_in_flight_per_endpoint: most,
        avoid,
    };
    let mut endpoints = lock(&daemon.endpoints);
    let name = routing::choose(&endpoints, now_ms(), &request, &mut *lock(&daemon.rng))?;
    let settings = endpoints
        .of_service(service)
        .find(|endpoint| endpoint.name == name)
        .map(|endpoint| endpoint.settings.clone())?;
    endpoints.on_start(service, &name);
    Some((name, settings))
}

/// Asks the service's retry budget for one retry.
pub(crate) fn try_spend_retry(daemon: &Daemon, service: &str, reason: RetryReason) -> bool {
    let may_retry = with_budget(daemon, service, Budget::try_spend);
    if may_retry {
        daemon.metrics.on_retry(reason);
    }
    may_retry
}

fn with_budget<F, T>(daemon: &Daemon, service: &str, act: F) -> T
where
    F: FnOnce(&mut Budget) -> T,
{
    let mut budgets = lock(&daemon.budgets);
    let budget = budgets
        .entry(service.into())
        .or_insert_with(|| Budget::new(RETRY_SHARE_PERMILLE, RETRY_BOUND_PERMILLE));
    act(budget)
}
