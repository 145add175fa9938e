//! Exchanges with endpoints: all that this VM sends to one goes through here.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderValue};

use super::{
    duties::AttemptUsage,
    endpoint_relay,
    http_client::{ExchangeError, IdleOutcome, Reply, ResponseOrder, WholeReply, within},
    paths,
    permits::Permit,
    state::{Server, lock},
};
use crate::{
    core::{
        pool::PoolEndpoint,
        rate_limit::{Purpose, RateLimit},
        retry::RetryReason,
    },
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
/// Returns `NotPermitted` if the permit has expired, `NotSent` if neither this VM nor one
/// that it asked has sent the request, `Misplaced` if the answer is to
/// another request, and the errors of
/// [`ExchangeClient::send`](super::http_client::ExchangeClient).
pub(crate) async fn send(
    server: &Arc<Server>,
    endpoint: &str,
    address: SocketAddr,
    outgoing: Outgoing,
) -> Result<Reply, ExchangeError> {
    let Outgoing {
        request,
        permit,
        terms,
    } = outgoing;
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
    let reply = transmit(server, endpoint, address, request, order, &terms).await?;
    if reply.status != StatusCode::MISDIRECTED_REQUEST {
        on_heard(server, endpoint, &reply);
    }
    check_request(endpoint, &sent.headers, &reply)?;
    on_answer(server, endpoint, &sent, reply.status, &reply.headers);
    Ok(reply)
}

/// A request to an endpoint, and how it may be sent.
pub(crate) struct Outgoing {
    pub(crate) request: Request<Full<Bytes>>,
    pub(crate) permit: Permit,
    pub(crate) terms: SendTerms,
}

impl Outgoing {
    /// Returns a run of a sample or a score call.
    pub(crate) fn of_background(
        purpose: Purpose,
        request: Request<Full<Bytes>>,
        permit: Permit,
        until_ms: u64,
    ) -> Self {
        Self {
            request,
            permit,
            terms: SendTerms {
                purpose,
                is_idempotent: true,
                may_relay: true,
                until_ms,
                progress: SendProgress::default(),
            },
        }
    }
}

/// How a request may be sent to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct SendTerms {
    pub(crate) purpose: Purpose,
    /// Whether it may run more than once.
    pub(crate) is_idempotent: bool,
    /// Whether another VM may send it, if this one is cut off from the endpoint.
    pub(crate) may_relay: bool,
    /// Until when its answer is of use.
    pub(crate) until_ms: u64,
    pub(crate) progress: SendProgress,
}

impl SendTerms {
    /// A request that would not do better on a second connection if the first is dead.
    const fn is_cautious(&self) -> bool {
        !self.is_idempotent || matches!(self.purpose, Purpose::Hedge)
    }
}

/// Whether an endpoint may have received a part of a request that is still in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendProgress {
    may_be_sent: Arc<AtomicBool>,
    /// How the attempt is counted, if it is one of a request that is counted.
    usage: Option<AttemptUsage>,
}

impl SendProgress {
    /// Creates the progress of an attempt of a caller's request.
    pub(crate) fn of_attempt(usage: Option<AttemptUsage>) -> Self {
        Self {
            may_be_sent: Arc::default(),
            usage,
        }
    }

    pub(crate) fn may_be_sent(&self) -> bool {
        self.may_be_sent.load(Ordering::SeqCst)
    }

    pub(crate) fn set_may_be_sent(&self, may_be_sent: bool) {
        self.may_be_sent.store(may_be_sent, Ordering::SeqCst);
        match &self.usage {
            Some(usage) if may_be_sent => usage.on_sent(),
            Some(usage) => usage.on_not_run(),
            None => {}
        }
    }

    /// Records that the endpoint has not run the request, whether it was sent or not.
    pub(crate) fn on_not_run(&self) {
        if let Some(usage) = &self.usage {
            usage.on_not_run();
        }
    }
}

/// Sends a request on an open connection that is known to work, on a new one, or through
/// another VM if this one is cut off from the endpoint.
async fn transmit(
    server: &Arc<Server>,
    endpoint: &str,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    order: ResponseOrder,
    terms: &SendTerms,
) -> Result<Reply, ExchangeError> {
    let rule = lock(&server.pool).connection_rule(now_ms(), endpoint, terms.is_cautious());
    let mut request = Box::new(request);
    if rule.may_reuse {
        terms.progress.set_may_be_sent(true);
        match server.http.send_idle(address, *request, order).await? {
            IdleOutcome::Replied(reply) => return Ok(*reply),
            IdleOutcome::Unsent(unsent) => request = unsent,
        }
        terms.progress.set_may_be_sent(false);
    }
    let mut error = ExchangeError::NotSent(format!("this VM is cut off from {endpoint}"));
    if rule.may_open {
        match paths::connect(server, endpoint, address).await {
            Ok(connection) => {
                terms.progress.set_may_be_sent(true);
                let sent = server.http.send_on(address, connection, *request, order);
                return sent.await;
            }
            Err(failed) => error = failed,
        }
    }
    if terms.may_relay {
        tracing::info!(id = named_request(request.headers()).and_then(|id| id.to_str().ok()),
            endpoint, reason = %error, "request goes through another VM");
        match endpoint_relay::send(server, endpoint, &request, terms).await {
            Err(ExchangeError::NotSent(message)) => error = ExchangeError::NotSent(message),
            outcome => return outcome,
        }
    }
    if rule.may_open {
        return Err(error);
    }
    // The endpoints may have been down, with no path cut.
    let connection = paths::connect(server, endpoint, address).await?;
    terms.progress.set_may_be_sent(true);
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
    outgoing: Outgoing,
    deadline_ms: u64,
) -> Result<WholeReply, ExchangeError> {
    let exchange = async {
        let reply = send(server, endpoint, address, outgoing).await?;
        reply.read_bounded(MAX_ANSWER_BYTES).await
    };
    within(exchange, address, deadline_ms).await
}

/// Records that an endpoint has sent something as a part of a reply.
pub(crate) fn on_heard(server: &Server, endpoint: &str, reply: &Reply) {
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_heard(now_ms());
        if !reply.is_relayed {
            known.on_answered(now_ms());
        }
    }
}

/// Records that an exchange with an endpoint has failed.
pub(crate) fn on_failed(server: &Server, endpoint: &str, error: &ExchangeError) {
    let was_sent = !matches!(error, ExchangeError::NotSent(_));
    lock(&server.pool).on_exchange_failed(now_ms(), endpoint, was_sent);
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
