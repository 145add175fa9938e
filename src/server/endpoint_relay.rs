//! Sends requests to endpoints through VMs that reach them, while this one is cut off.
//!
//! The endpoint is chosen, and permits, attempts and contents are counted, where the
//! request came in; the other VM only passes it on, and never to a further VM.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use rand::seq::SliceRandom;

use super::{
    endpoint_exchange::SendTerms,
    http_client::{self, ExchangeError, IdleOutcome, Reply, ResponseOrder},
    relayed,
    state::{Server, lock},
};
use crate::{
    core::pool::EndpointRecord,
    daemon::now_ms,
    wire::peers::{RELAY_OUTCOME_HEADER, RELAY_REQUEST_PATH, RelayOutcome, RelayedRequest},
};

/// The most VMs to which one request is offered.
const MAX_OFFERS: usize = 3;
/// How long a VM may take to accept a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// For how long a VM gets no more requests after it has declined one, in milliseconds.
const DECLINED_MS: u64 = 500;
/// The most bytes of the text that states why a request was not sent.
const MAX_REASON_BYTES: usize = 4 * 1024;

/// The VMs that have declined requests, and until when they get no more.
pub(crate) type DecliningVms = BTreeMap<SocketAddr, u64>;

/// Sends a request to an endpoint through another VM.
///
/// # Errors
///
/// Returns `NotSent` if the endpoint certainly did not get the request, and the errors of
/// [`ExchangeClient::send`](super::http_client::ExchangeClient) otherwise.
pub(crate) async fn send(
    server: &Arc<Server>,
    endpoint: &str,
    request: &Request<Full<Bytes>>,
    terms: &SendTerms,
) -> Result<Reply, ExchangeError> {
    let listed = lock(&server.pool)
        .get(endpoint)
        .map(|known| known.record.clone());
    let not_sent = |message: String| ExchangeError::NotSent(message);
    let record = listed.ok_or_else(|| not_sent(format!("{endpoint} is no longer listed")))?;
    let body = encode(server, &record, request, terms).await?;
    let mut error = not_sent(format!("no other VM reaches {endpoint}"));
    for vm in choose_vms(server, &record) {
        match offer(server, vm, body.clone(), terms).await {
            Err(ExchangeError::NotSent(message)) => {
                tracing::info!(endpoint, %vm, message, "request not sent through another VM");
                error = not_sent(message);
            }
            outcome => {
                if outcome.is_ok() {
                    lock(&server.pool).on_reached_by_other(now_ms(), endpoint);
                }
                server.metrics.on_relayed(outcome.is_ok());
                return outcome;
            }
        }
    }
    server.metrics.on_relayed(false);
    Err(error)
}

async fn encode(
    server: &Server,
    record: &EndpointRecord,
    request: &Request<Full<Bytes>>,
    terms: &SendTerms,
) -> Result<Bytes, ExchangeError> {
    let not_sent = |message: String| ExchangeError::NotSent(message);
    let body = request.body().clone().collect().await;
    let body = body.map_err(|never| match never {})?.to_bytes();
    let headers = request.headers().iter();
    let relayed = RelayedRequest {
        from: server.settings.vm.clone(),
        endpoint: record.id.clone(),
        incarnation: record.started_unix_ms,
        config_version: server.routes().version(),
        purpose: terms.purpose,
        is_idempotent: terms.is_idempotent,
        remaining_ms: terms.until_ms.saturating_sub(now_ms()),
        method: request.method().as_str().into(),
        target: request.uri().to_string().into(),
        headers: headers
            .map(|(name, value)| {
                (
                    name.as_str().into(),
                    Bytes::copy_from_slice(value.as_bytes()),
                )
            })
            .collect(),
        body,
    };
    let encoded = rmp_serde::to_vec_named(&relayed)
        .map_err(|error| not_sent(format!("request to another VM not encoded: {error}")))?;
    Ok(server.request_memory.count(encoded))
}

/// Chooses VMs at random that reach an endpoint as far as is known; those that have just
/// declined a request come last.
fn choose_vms(server: &Server, record: &EndpointRecord) -> Vec<SocketAddr> {
    let now_ms = now_ms();
    let mut declining = lock(&server.declining_vms);
    declining.retain(|_, until_ms| *until_ms > now_ms);
    let members = lock(&server.members);
    let others = members
        .live_vms()
        .map(|(_, row)| row)
        .filter(|row| row.peer_address != server.settings.peer_address);
    let reaching = others
        .filter(|row| !row.paths.is_cut_off(&record.data_centre, &record.service))
        .map(|row| row.peer_address);
    let mut chosen: Vec<SocketAddr> = reaching.collect();
    chosen.shuffle(&mut *lock(&server.rng));
    chosen.sort_by_key(|vm| declining.contains_key(vm));
    chosen.truncate(MAX_OFFERS);
    chosen
}

/// Offers a request to a VM.
async fn offer(
    server: &Arc<Server>,
    vm: SocketAddr,
    body: Bytes,
    terms: &SendTerms,
) -> Result<Reply, ExchangeError> {
    let not_sent = |message: String| ExchangeError::NotSent(message);
    let request = Request::builder()
        .method(Method::POST)
        .uri(RELAY_REQUEST_PATH)
        .header(header::HOST, vm.to_string())
        .body(Full::new(body))
        .map_err(|error| not_sent(format!("request to VM at {vm} not built: {error}")))?;
    let progress = &terms.progress;
    progress.set_may_be_sent(true);
    let order = ResponseOrder::Reliable;
    let reply = match server.http.send_idle(vm, request, order).await? {
        IdleOutcome::Replied(reply) => *reply,
        IdleOutcome::Unsent(request) => {
            progress.set_may_be_sent(false);
            let opened = http_client::connect(vm, CONNECT_TIMEOUT_MS).await;
            let connection = opened.inspect_err(|_| on_declined(server, vm))?;
            progress.set_may_be_sent(true);
            server.http.send_on(vm, connection, *request, order).await?
        }
    };
    let received = receive(server, vm, reply).await;
    if matches!(received, Err(ExchangeError::NotSent(_))) {
        progress.set_may_be_sent(false);
    }
    received
}

/// Returns the endpoint's reply, or why there is none.
async fn receive(
    server: &Server,
    vm: SocketAddr,
    mut reply: Reply,
) -> Result<Reply, ExchangeError> {
    let outcome = reply.headers.remove(RELAY_OUTCOME_HEADER);
    let outcome = outcome.and_then(|value| value.to_str().ok()?.parse().ok());
    let Some(outcome) = outcome else {
        let message = format!("VM at {vm} answered {} to a request", reply.status);
        return Err(if reply.status == StatusCode::NOT_FOUND {
            ExchangeError::NotSent(message)
        } else {
            ExchangeError::Incomplete(message)
        });
    };
    if outcome == RelayOutcome::Answered {
        reply.is_relayed = true;
        return Ok(reply);
    }
    if outcome == RelayOutcome::Declined {
        on_declined(server, vm);
    }
    let reason = match reply.read_bounded(MAX_REASON_BYTES).await {
        Ok(whole) => String::from_utf8_lossy(&whole.body).into_owned(),
        Err(error) => error.to_string(),
    };
    let message = format!("VM at {vm}: {reason}");
    Err(relayed::error_of(outcome, message))
}

fn on_declined(server: &Server, vm: SocketAddr) {
    lock(&server.declining_vms).insert(vm, now_ms() + DECLINED_MS);
}
