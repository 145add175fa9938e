//! Sends a caller's request to one endpoint.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};

use super::{
    crash,
    endpoint_exchange::{self, Outgoing, SendProgress, SendTerms},
    http_client::{ExchangeError, Reply, WholeReply},
    permits,
    response::{Body, full_body},
    state::{InFlight, Server, lock},
    stream::stream_response,
    stream_rows, streams,
};
use crate::{
    core::{
        Name,
        rate_limit::Purpose,
        retry::RetryReason,
        routes::{Route, RouteKind},
    },
    daemon::now_ms,
    platform::{AnswerHead, RequestHeaders, build_request, forwardable_headers, parse_answer_head},
};

/// Why an attempt did not yield a successful response.
pub(crate) enum AttemptError {
    /// The request was not sent, since the endpoint has reached its request limit.
    NotPermitted(String),
    /// The endpoint did not run the request.
    NotRun(RetryReason, String),
    /// The endpoint may have run the request.
    MayHaveRun(RetryReason, String),
    /// The endpoint ran the request and answered with a server error.
    ErrorResponse(Box<Response<Body>>),
}

/// A request as it is sent to one endpoint.
pub(crate) struct EndpointRequest<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) host: &'a str,
    pub(crate) id: &'a Name,
    pub(crate) body: Bytes,
    pub(crate) caller_deadline_ms: u64,
    pub(crate) purpose: Purpose,
    pub(crate) priority: Option<u8>,
    pub(crate) is_resumed: bool,
    pub(crate) resumed_request: Option<Name>,
    /// How long it may wait for a permit, in milliseconds.
    pub(crate) max_wait_ms: u64,
    pub(crate) progress: SendProgress,
}

/// Sends a request to the endpoint of a run that was started, and reads its answer, or
/// the head of a stream.
///
/// # Errors
///
/// Returns why there is no successful answer, and whether the request may have run.
pub(crate) async fn send_to_endpoint(
    server: &Arc<Server>,
    route: &Route,
    in_flight: InFlight,
    outgoing: EndpointRequest<'_>,
) -> Result<Response<Body>, AttemptError> {
    let endpoint = &in_flight.endpoint;
    let not_sent = |message: String| {
        in_flight.mark_incomplete();
        AttemptError::NotRun(RetryReason::ConnectFailed, message)
    };
    let address = lock(&server.pool)
        .get(endpoint)
        .map(|known| known.record.address)
        .ok_or_else(|| not_sent("endpoint is no longer listed".to_owned()))?;
    if route.kind == RouteKind::ResumableStream && !outgoing.is_resumed {
        let registered = stream_rows::register(server, route, &in_flight.origin).await;
        registered.map_err(|error| not_sent(format!("origin not registered: {error}")))?;
    }
    let permitted = permits::obtain(
        server,
        endpoint,
        outgoing.id,
        outgoing.purpose,
        outgoing.max_wait_ms,
    )
    .await;
    let permit = match permitted {
        Ok(permit) => permit,
        Err(error) => return Err(on_exchange_error(server, &in_flight, outgoing.id, &error).await),
    };
    let request_headers = RequestHeaders {
        request_id: outgoing.id,
        endpoint,
        host: outgoing.host,
        remaining_ms: outgoing.caller_deadline_ms.saturating_sub(now_ms()),
        after_event: None,
        priority: outgoing.priority,
    };
    let request = build_request(
        outgoing.method,
        outgoing.path,
        outgoing.headers,
        &request_headers,
        outgoing.body,
    )
    .map_err(not_sent)?;
    let sent = Outgoing {
        request,
        permit,
        terms: SendTerms {
            purpose: outgoing.purpose,
            is_idempotent: route.kind == RouteKind::Idempotent,
            may_relay: true,
            until_ms: outgoing.caller_deadline_ms,
            progress: outgoing.progress.clone(),
        },
    };
    let reply = match endpoint_exchange::send(server, endpoint, address, sent).await {
        Ok(reply) => reply,
        Err(error) => return Err(on_exchange_error(server, &in_flight, outgoing.id, &error).await),
    };
    let head = parse_answer_head(reply.status, &reply.headers);
    record_answer_head(server, &in_flight, &head);
    if head.is_not_run {
        in_flight.mark_incomplete();
        let message = format!("endpoint refused with {}", reply.status);
        reply.drain_refusal().await;
        return Err(AttemptError::NotRun(RetryReason::EndpointRefused, message));
    }
    if head.is_encoded || (reply.status.is_success() && head.stamp.is_none()) {
        let message = "answer is encoded or unsigned".to_owned();
        return Err(AttemptError::MayHaveRun(
            RetryReason::AnswerInvalid,
            message,
        ));
    }
    if route.kind.is_stream() && reply.status.is_success() {
        if !outgoing.is_resumed {
            let (origin, until_ms) = (in_flight.origin.clone(), outgoing.caller_deadline_ms);
            let target = (outgoing.host, outgoing.path);
            streams::on_begun(server, outgoing.id, target, origin, until_ms);
        }
        tracing::info!(id = %outgoing.id, %endpoint, service = %in_flight.origin.service,
            software = %in_flight.origin.software, is_resumed = outgoing.is_resumed,
            resumed_request = outgoing.resumed_request.as_deref(), "stream runs");
        return Ok(stream_response(
            server,
            outgoing.id,
            reply,
            in_flight,
            outgoing.caller_deadline_ms,
        ));
    }
    let reply = match reply
        .read_bounded(endpoint_exchange::MAX_ANSWER_BYTES)
        .await
    {
        Ok(reply) => reply,
        Err(error) => return Err(on_exchange_error(server, &in_flight, outgoing.id, &error).await),
    };
    in_flight.record_answer(&head);
    record_success(server, route, &in_flight);
    checked_response(reply, head.stamp.is_some())
}

async fn on_exchange_error(
    server: &Arc<Server>,
    in_flight: &InFlight,
    id: &str,
    error: &ExchangeError,
) -> AttemptError {
    if !matches!(
        error,
        ExchangeError::NotPermitted(_) | ExchangeError::Misplaced(_)
    ) {
        endpoint_exchange::on_failed(server, &in_flight.endpoint, error);
    }
    crash::on_broken_run(server, in_flight, id, error).await;
    let reason = endpoint_exchange::retry_reason(error);
    match error {
        ExchangeError::NotPermitted(message) => AttemptError::NotPermitted(message.clone()),
        ExchangeError::NotSent(message) => AttemptError::NotRun(reason, message.clone()),
        ExchangeError::TooLong(message)
        | ExchangeError::Misplaced(message)
        | ExchangeError::Incomplete(message) => AttemptError::MayHaveRun(reason, message.clone()),
    }
}

fn record_success(server: &Server, route: &Route, in_flight: &InFlight) {
    let took_s = super::metrics::elapsed_seconds(in_flight.started_ms, now_ms());
    let target_s = super::metrics::elapsed_seconds(0, route.target_latency_ms.max(1));
    if let Some(known) = lock(&server.pool).get_mut(&in_flight.endpoint) {
        known.on_success();
        // Relative to the latency objective, since the work of a request is
        // roughly proportional to the objective of its route.
        known.on_measured_pace(in_flight.started_ms, now_ms(), took_s / target_s);
    }
}

/// Records the load report or the refusal in the head of an endpoint's answer.
///
/// An answer to a run that an earlier incarnation began tells nothing of this one.
pub(crate) fn record_answer_head(server: &Server, in_flight: &InFlight, head: &AnswerHead) {
    let mut pool = lock(&server.pool);
    let known = pool.get_mut(&in_flight.endpoint);
    let Some(known) = known.filter(|e| e.record.started_unix_ms == in_flight.incarnation) else {
        return;
    };
    if let Some(percent) = head.slowdown_percent {
        known.slowdowns.on_report(now_ms(), percent);
    }
    if let Some(report) = head.load {
        known.load.on_report(now_ms(), report);
    }
    if head.is_not_run {
        known.on_refusal(now_ms());
    } else {
        known.load.on_accepted();
    }
}

fn checked_response(reply: WholeReply, is_stamped: bool) -> Result<Response<Body>, AttemptError> {
    let status = reply.status;
    let promises_not_run = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    // Forwarded to the caller, such a status would promise that the request has
    // not run.
    if promises_not_run || !is_stamped {
        let message = format!("endpoint answered {status}, but may have run the request");
        return Err(AttemptError::MayHaveRun(
            RetryReason::AnswerInvalid,
            message,
        ));
    }
    let mut response = Response::new(full_body(reply.body));
    *response.status_mut() = status;
    *response.headers_mut() = forwardable_headers(&reply.headers);
    if status.is_server_error() {
        return Err(AttemptError::ErrorResponse(Box::new(response)));
    }
    Ok(response)
}

/// How long reading the body of a refusal may take, in milliseconds.
const REFUSAL_BODY_TIMEOUT_MS: u64 = 50;
/// The most bytes of the body of a refusal that are read.
const MAX_REFUSAL_BODY_BYTES: usize = 16 * 1024;

impl Reply {
    /// Reads and drops the body of a refusal, so that the connection can be
    /// reused.
    pub(crate) async fn drain_refusal(self) {
        let limit = Duration::from_millis(REFUSAL_BODY_TIMEOUT_MS);
        let read = tokio::time::timeout(limit, self.read_bounded(MAX_REFUSAL_BODY_BYTES));
        match read.await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                tracing::debug!(%error, "connection closed: the body of a refusal was not read");
            }
            Err(_) => {
                tracing::debug!("connection closed: the body of a refusal was not read in time");
            }
        }
    }
}
