//! Finds out whether an endpoint crashed when a run broke off there.

use std::sync::Arc;

use super::{
    crash_rows,
    http_client::{ExchangeError, Reachability},
    paths, silence,
    state::{InFlight, Server, lock},
};
use crate::{
    core::pool::{EndpointRecord, EndpointStage, PoolEndpoint},
    daemon::now_ms,
    wire::peers::CrashReport,
};

/// How long an endpoint may take to accept a connection after a run broke off
/// there, in milliseconds: the run's retry waits for it.
const REACHABILITY_TIMEOUT_MS: u64 = 100;

/// Checks the endpoint of a run that brought no complete response, and reports a
/// crash if nothing listens there any more.
///
/// If the endpoint still accepts connections or is silent, it may have crashed
/// nevertheless; [`on_endpoint_gone`] tells later.
pub(crate) async fn on_broken_run(
    server: &Arc<Server>,
    in_flight: &InFlight,
    id: &str,
    error: &ExchangeError,
) {
    if matches!(
        error,
        ExchangeError::NotSent(_) | ExchangeError::NotPermitted(_)
    ) {
        in_flight.mark_incomplete();
        return;
    }
    // This VM closed the connection: whether the endpoint crashes is still to be seen.
    if matches!(
        error,
        ExchangeError::TooLong(_) | ExchangeError::Misplaced(_)
    ) {
        return;
    }
    let endpoint = &in_flight.endpoint;
    let listed = lock(&server.pool)
        .get(endpoint)
        .map(|known| known.record.clone());
    let Some(record) = listed else {
        tracing::info!(id, content = %in_flight.content, %endpoint,
            "run broke off: its endpoint is no longer listed");
        return;
    };
    let reachability = paths::check(server, &record, REACHABILITY_TIMEOUT_MS).await;
    server.metrics.on_broken_run(reachability);
    tracing::info!(id, content = %in_flight.content, %endpoint, %reachability,
        incarnation = in_flight.incarnation, stage = %record.stage, %error, "run broke off");
    if record.stage == EndpointStage::Leaving {
        in_flight.mark_incomplete();
    } else if reachability == Reachability::Refuses && silence::has_ended(server, &record).await {
        let report = lock(&server.quarantine).on_crash(
            now_ms(),
            endpoint,
            in_flight.incarnation,
            in_flight.started_ms,
        );
        in_flight.mark_incomplete();
        crash_rows::publish_crash(server, report, "refuses connections").await;
    }
}

/// Reports a crash if runs brought no answer from an endpoint that is no longer listed
/// or has started anew.
///
/// An endpoint that has announced to leave has not crashed. One that is no longer
/// listed may still answer the runs in progress, unless it is silent to a VM that is not
/// cut off from it.
pub(crate) fn on_endpoint_gone(server: &Arc<Server>, before: &PoolEndpoint) {
    let record = &before.record;
    if record.stage == EndpointStage::Leaving {
        return;
    }
    let now_ms = now_ms();
    let is_cut_off = lock(&server.pool).paths().is_confirmed(now_ms, record);
    let is_silent = !is_cut_off && before.is_silent(now_ms);
    let report = {
        let mut quarantine = lock(&server.quarantine);
        if is_silent {
            quarantine.on_endpoint_silent(now_ms, &record.id, record.started_unix_ms)
        } else {
            quarantine.on_endpoint_gone(now_ms, &record.id, record.started_unix_ms)
        }
    };
    if let Some(report) = report {
        publish_in_background(server, report, "no longer listed as it was");
    }
}

/// Reports a crash if runs bring no answer from an endpoint that no VM reaches, unless
/// it has announced to leave or has started anew meanwhile.
pub(crate) async fn on_endpoint_unreachable(server: &Arc<Server>, record: &EndpointRecord) {
    {
        let mut pool = lock(&server.pool);
        let is_same = |known: &&mut PoolEndpoint| {
            known.record.stage == EndpointStage::Ready
                && known.record.started_unix_ms == record.started_unix_ms
        };
        let Some(known) = pool.get_mut(&record.id).filter(is_same) else {
            return;
        };
        known.on_failure(now_ms());
        known.on_found_gone();
    }
    let report =
        lock(&server.quarantine).on_endpoint_silent(now_ms(), &record.id, record.started_unix_ms);
    if let Some(report) = report {
        crash_rows::publish_crash(server, report, "unreachable").await;
    }
}

/// Reports a crash for which a run is blamed that ended later than its endpoint.
pub(crate) fn publish_late_report(server: &Arc<Server>, report: CrashReport) {
    publish_in_background(server, report, "no longer listed before its run ended");
}

fn publish_in_background(server: &Arc<Server>, report: CrashReport, evidence: &'static str) {
    // Runs are also dropped with the runtime, when the process exits.
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    let server = server.clone();
    runtime.spawn(async move { crash_rows::publish_crash(&server, report, evidence).await });
}
