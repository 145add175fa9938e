//! Finds out whether an endpoint crashed when a run broke off there.

use std::sync::Arc;

use super::{
    http_client::ExchangeError,
    state::{InFlight, Server, lock},
};

/// How long an endpoint may take to accept a connection after a run broke off
/// there, in milliseconds.
const REACHABILITY_TIMEOUT_MS: u64 = 250;

/// Checks the endpoint of a run that brought no complete response, and logs what
/// the check showed.
///
/// A request that was not sent has not run, so there is nothing to check.
pub(crate) async fn on_broken_run(
    server: &Arc<Server>,
    in_flight: &InFlight,
    id: &str,
    error: &ExchangeError,
) {
    if matches!(error, ExchangeError::NotSent(_)) {
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
    let reachability = server
        .http
        .check_reachability(record.address, REACHABILITY_TIMEOUT_MS)
        .await;
    server.metrics.on_broken_run(reachability);
    tracing::info!(id, content = %in_flight.content, %endpoint, %reachability,
        incarnation = record.started_unix_ms, stage = %record.stage, %error, "run broke off");
}
