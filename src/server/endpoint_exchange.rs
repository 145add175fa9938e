//! Exchanges with endpoints: all that this VM sends to one goes through here.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderValue};

use super::{
    http_client::{ExchangeError, IdleOutcome, Reply, ResponseOrder, WholeReply, within},
    paths,
    permits::Permit,
    state::{Server, lock},
};
use crate::{
    core::{pool::PoolEndpoint, rate_limit::RateLimit, retry::RetryReason},
    daemon::now_ms,
    platform::{StatedLimit, announces_leaving, named_request, stated_limit},
};

/// The most bytes of the body of an endpoint's whole answer.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Sends a request to an endpoint and waits for the head of its answer.
///
/// An endpoint may send a second copy of an earlier answer where the next one is
/// expected. All that is read of an answer, a refusal included, is read here or by
/// callers of this function, after the answer was found to be to this request.
///
/// # Errors
///
/// Returns `NotPermitted` if the permit has expired, `Misplaced` if the answer is to
/// another request, and the errors of
/// [`ExchangeClient::send`](super::http_client::ExchangeClient).
pub(crate) async fn send(
    server: &Arc<Server>,
    endpoint: &str,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    permit: Permit,
) -> Result<Reply, ExchangeError> {
    if !permit.is_usable() {
        let message = format!("the permit for endpoint {endpoint} has expired");
        return Err(ExchangeError::NotPermitted(message));
    }
    let sent = SentRequest {
        incarnation: listed_incarnation(server, endpoint),
        headers: request.headers().clone(),
        permit,
    };
    let order = match named_request(&sent.headers) {
        Some(_) => ResponseOrder::Named,
        None => ResponseOrder::Unnamed,
    };
    let reply = transmit(server, endpoint, address, request, order).await?;
    if reply.status != StatusCode::MISDIRECTED_REQUEST {
        on_heard(server, endpoint);
    }
    check_request(endpoint, &sent.headers, &reply)?;
    on_answer(server, endpoint, &sent, reply.status, &reply.headers);
    Ok(reply)
}

async fn transmit(
    server: &Arc<Server>,
    endpoint: &str,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    order: ResponseOrder,
) -> Result<Reply, ExchangeError> {
    let request = match server.http.send_idle(address, request, order).await? {
        IdleOutcome::Replied(reply) => return Ok(*reply),
        IdleOutcome::Unsent(request) => request,
    };
    let connection = paths::connect(server, endpoint, address).await?;
    let sent = server.http.send_on(address, connection, *request, order);
    sent.await
}

/// Returns an error unless an answer names the request that was sent, or neither has a
/// name.
fn check_request(endpoint: &str, sent: &HeaderMap, reply: &Reply) -> Result<(), ExchangeError> {
    let (expected, received) = (named_request(sent), named_request(&reply.headers));
    if expected == received {
        return Ok(());
    }
    let text =
        |id: Option<&HeaderValue>| id.map(|id| String::from_utf8_lossy(id.as_bytes()).into_owned());
    let (expected, received) = (text(expected), text(received));
    let message = format!("{endpoint} answered {received:?} instead of {expected:?}");
    tracing::info!(
        id = expected,
        endpoint,
        received,
        status = reply.status.as_u16(),
        "answer discarded: it is to another request"
    );
    Err(ExchangeError::Misplaced(message))
}

/// Returns the reason for which a request is sent again after a failed exchange.
pub(crate) const fn retry_reason(error: &ExchangeError) -> RetryReason {
    match error {
        ExchangeError::NotSent(_) => RetryReason::ConnectFailed,
        ExchangeError::NotPermitted(_) => RetryReason::LimitReached,
        ExchangeError::TooLong(_) => RetryReason::AnswerTooLong,
        ExchangeError::Misplaced(_) => RetryReason::AnswerInvalid,
        ExchangeError::Incomplete(_) => RetryReason::AnswerCut,
    }
}

/// Sends a request to an endpoint and reads its whole answer before a deadline.
///
/// # Errors
///
/// Returns the errors of
/// [`ExchangeClient::exchange_whole`](super::http_client::ExchangeClient).
pub(crate) async fn exchange_whole(
    server: &Arc<Server>,
    endpoint: &str,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    permit: Permit,
    deadline_ms: u64,
) -> Result<WholeReply, ExchangeError> {
    let exchange = async {
        let reply = send(server, endpoint, address, request, permit).await?;
        reply.read_bounded(MAX_ANSWER_BYTES).await
    };
    within(exchange, address, deadline_ms).await
}

/// Records that an endpoint has sent something.
pub(crate) fn on_heard(server: &Server, endpoint: &str) {
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_heard(now_ms());
    }
}

fn listed_incarnation(server: &Server, endpoint: &str) -> Option<u64> {
    let pool = lock(&server.pool);
    pool.get(endpoint).map(|known| known.record.started_unix_ms)
}

/// What is kept of a request until its answer.
struct SentRequest {
    /// The endpoint's incarnation, if it was listed.
    incarnation: Option<u64>,
    headers: HeaderMap,
    permit: Permit,
}

/// Records what an answer tells of its endpoint: whether it leaves and its request
/// limit, unless it has started again since the request was sent.
///
/// A misdirected request was answered by another endpoint at the same address.
fn on_answer(
    server: &Server,
    endpoint: &str,
    sent: &SentRequest,
    status: StatusCode,
    headers: &HeaderMap,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let mut pool = lock(&server.pool);
    let Some(known) = pool.get_mut(endpoint) else {
        return;
    };
    if sent.incarnation != Some(known.record.started_unix_ms) {
        return;
    }
    let incarnation = known.record.started_unix_ms;
    if announces_leaving(headers) && known.on_leaving_announced() {
        tracing::info!(
            endpoint,
            incarnation,
            in_flight = known.load.in_flight,
            "endpoint leaves: its answer says so"
        );
    }
    record_limit(server, known, &sent.permit, headers);
}

/// Records the request limit that an answer names, or that it names none any more.
fn record_limit(server: &Server, known: &mut PoolEndpoint, permit: &Permit, headers: &HeaderMap) {
    let purpose = permit.purpose;
    let before = known.named_limit.limit();
    match stated_limit(headers) {
        StatedLimit::Named(limit) => {
            let had_permit = permit.is_issued();
            known.named_limit.on_named(now_ms(), limit, had_permit);
            server.metrics.on_limited_request(purpose);
        }
        StatedLimit::None => known.named_limit.on_lifted(),
        StatedLimit::Invalid => {
            tracing::warn!(endpoint = %known.record.id,
                "request limit ignored: it is not a positive number");
        }
    }
    let limit = known.named_limit.limit();
    if limit != before {
        tracing::info!(endpoint = %known.record.id, incarnation = known.record.started_unix_ms,
            before_per_s = before.map(RateLimit::per_s), %purpose,
            limit_per_s = limit.map(RateLimit::per_s), "request limit changed");
    }
}
