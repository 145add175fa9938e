//! Sending a caller's request to endpoints, and the answer back.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Method, Response, StatusCode, body::Frame, header};

use super::{
    front::CallerRequest,
    http_client::{ExchangeError, Reply, WholeReply},
    response::{Body, full_body},
    state::{InFlight, Server, lock},
};
use crate::{
    core::{
        Name,
        pool::Wanted,
        retry::RetryReason,
        routes::{Repeat, Route},
    },
    daemon::{now_ms, sleep_until},
    error::{ErrorKind, Refusal},
    platform::{AnswerHead, RunHeaders, answer_head, forwardable_headers, run_request},
};

/// After which share of its latency objective, in hundredths, a request that
/// may be repeated is sent to a second endpoint as well: later the second
/// would come too late, earlier most second ones would be for nothing.
const HEDGE_PERCENT: u64 = 40;
/// How long before its caller gives up a request is answered, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 10;
/// How much of its slots an endpoint may have taken for a first attempt: it
/// queues a few more, and refuses at once what it has no room for.
const FIRST_OCCUPANCY: f64 = 4.0;
/// The same for a second one beside the first.
const HEDGE_OCCUPANCY: f64 = 1.0;

/// Why an attempt brought no answer that can be passed on.
enum Failed {
    /// The endpoint did not run the request.
    NotRun(RetryReason, String),
    /// It may have run it.
    MayHaveRun(RetryReason, String),
    /// It ran it and answered with a failure of its own.
    Answered(Box<Response<Body>>),
}

type Attempt = BoxFuture<'static, (Name, Result<Response<Body>, Failed>)>;

/// What has become of a request so far.
struct Progress {
    sent: u32,
    avoid: BTreeSet<Name>,
    may_have_run: bool,
    failure: Option<Response<Body>>,
    message: String,
}

/// Answers a caller's request.
pub(crate) async fn answer(
    server: &Arc<Server>,
    route: &Arc<Route>,
    call: &CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let patience_ms = call.head.patience_ms.unwrap_or(route.timeout_ms);
    let wait_ms = patience_ms.min(route.timeout_ms);
    let answer_by_ms = (call.started_ms + wait_ms).saturating_sub(ANSWER_MARGIN_MS);
    let give_up_ms = call.started_ms + patience_ms;
    let draw = rand::Rng::random(&mut *lock(&server.rng));
    let service = route
        .service(draw)
        .cloned()
        .ok_or_else(|| Refusal::new(ErrorKind::NoEndpoint, "the route names no service"))?;
    let mut progress = Progress {
        sent: 0,
        avoid: BTreeSet::new(),
        may_have_run: false,
        failure: None,
        message: String::new(),
    };
    let mut running: FuturesUnordered<Attempt> = FuturesUnordered::new();
    let start = |progress: &mut Progress, max_occupancy: f64| -> Option<Attempt> {
        if progress.sent >= route.max_attempts {
            return None;
        }
        let endpoint = choose(server, &service, &progress.avoid, max_occupancy)?;
        progress.sent += 1;
        progress.avoid.insert(endpoint.clone());
        Some(attempt(server, route, call, endpoint, give_up_ms))
    };
    match start(&mut progress, FIRST_OCCUPANCY) {
        Some(first) => running.push(first),
        None => return Err(no_room(server, &service)),
    }
    let is_repeatable = route.repeat == Repeat::Idempotent;
    let mut hedge_at_ms = now_ms() + route.target_ms * HEDGE_PERCENT / 100;
    loop {
        let may_hedge = is_repeatable && progress.sent < route.max_attempts;
        tokio::select! {
            Some((endpoint, result)) = running.next() => {
                match result {
                    Ok(response) => return Ok(response),
                    Err(failed) => note_failure(server, call, &endpoint, failed, &mut progress),
                }
                let may_go_on = is_repeatable || !progress.may_have_run;
                if may_go_on && now_ms() < answer_by_ms
                    && let Some(next) = start(&mut progress, FIRST_OCCUPANCY) {
                    running.push(next);
                }
                if running.is_empty() {
                    return give_up(progress);
                }
            }
            () = sleep_until(hedge_at_ms), if may_hedge => {
                hedge_at_ms = u64::MAX / 2;
                if let Some(second) = start(&mut progress, HEDGE_OCCUPANCY) {
                    server.metrics.on_retry(RetryReason::AnswerStalled);
                    running.push(second);
                }
            }
            () = sleep_until(answer_by_ms) => {
                return Err(Refusal::new(ErrorKind::TimedOut, "no answer in time"));
            }
        }
    }
}

fn choose(
    server: &Server,
    service: &Name,
    avoid: &BTreeSet<Name>,
    max_occupancy: f64,
) -> Option<Name> {
    let wanted = Wanted {
        service,
        data_centre: &server.settings.data_centre,
        avoid,
        weights: None,
        max_occupancy,
        connected: &server.http.connected_addresses(),
        slice: None,
    };
    lock(&server.pool).choose(now_ms(), &wanted, &mut *lock(&server.rng))
}

fn no_room(server: &Server, service: &Name) -> Refusal {
    if lock(&server.pool).has_service(service) {
        let message = format!("all endpoints of {service} are full");
        Refusal::new(ErrorKind::Overloaded, message)
    } else {
        let message = format!("{service} has no endpoint that takes work");
        Refusal::new(ErrorKind::NoEndpoint, message)
    }
}

fn note_failure(
    server: &Server,
    call: &CallerRequest,
    endpoint: &Name,
    failed: Failed,
    progress: &mut Progress,
) {
    let id = call.head.request_id.as_deref().unwrap_or("-");
    let (reason, message, ran) = match failed {
        Failed::NotRun(reason, message) => (reason, message, false),
        Failed::MayHaveRun(reason, message) => (reason, message, true),
        Failed::Answered(response) => {
            let message = format!("answered {}", response.status());
            progress.failure = Some(*response);
            (RetryReason::AnswerInvalid, message, true)
        }
    };
    server.metrics.on_retry(reason);
    let age_ms = now_ms() - call.started_ms;
    tracing::info!(id, %endpoint, %reason, detail = message, ran, age_ms, sent = progress.sent,
        "attempt failed");
    progress.may_have_run |= ran;
    progress.message = message;
}

fn give_up(progress: Progress) -> Result<Response<Body>, Refusal> {
    if let Some(response) = progress.failure {
        return Ok(response);
    }
    let kind = if progress.may_have_run {
        ErrorKind::AttemptsExhausted
    } else {
        ErrorKind::Overloaded
    };
    Err(Refusal::new(kind, progress.message))
}

fn attempt(
    server: &Arc<Server>,
    route: &Arc<Route>,
    call: &CallerRequest,
    endpoint: Name,
    give_up_ms: u64,
) -> Attempt {
    let (server, route) = (server.clone(), route.clone());
    let (head, headers, body) = (call.head.clone(), call.headers.clone(), call.body.clone());
    Box::pin(async move {
        let id = head.request_id.clone().unwrap_or_default();
        let run = Run {
            method: head.method.clone(),
            path: &head.target,
            headers: forwardable_headers(&headers),
            host: &head.host,
            id: &id,
            body,
            give_up_ms,
        };
        let result = run_at(&server, &route, &endpoint, run).await;
        (endpoint, result)
    })
}

/// One request as it is sent to one endpoint.
struct Run<'a> {
    method: Method,
    path: &'a str,
    headers: hyper::HeaderMap,
    host: &'a str,
    id: &'a Name,
    body: Bytes,
    give_up_ms: u64,
}

async fn run_at(
    server: &Arc<Server>,
    route: &Route,
    endpoint: &Name,
    run: Run<'_>,
) -> Result<Response<Body>, Failed> {
    let not_sent = |message: String| Failed::NotRun(RetryReason::ConnectFailed, message);
    let address = lock(&server.pool)
        .get(endpoint)
        .map(|known| known.record.address)
        .ok_or_else(|| not_sent("no longer listed".to_owned()))?;
    let run_headers = RunHeaders {
        request_id: run.id,
        endpoint,
        host: run.host,
        left_ms: run.give_up_ms.saturating_sub(now_ms()),
        after_event: None,
        urgency: None,
    };
    let request =
        run_request(run.method, run.path, run.headers, &run_headers, run.body).map_err(not_sent)?;
    let in_flight = server.track_request(endpoint);
    let result = server.http.send(address, request).await;
    let reply = result.map_err(|error| on_broken(server, endpoint, &error))?;
    let head = answer_head(run.id, reply.status, &reply.headers);
    record_answer_head(server, endpoint, &head);
    if head.is_not_run {
        let message = format!("refused with {}", reply.status);
        reply.drain_refusal().await;
        return Err(Failed::NotRun(RetryReason::EndpointRefused, message));
    }
    if !head.is_own || head.is_encoded || (reply.status.is_success() && head.stamp.is_none()) {
        let message = "not an answer to this request".to_owned();
        return Err(Failed::MayHaveRun(RetryReason::AnswerInvalid, message));
    }
    let is_stream = matches!(route.repeat, Repeat::Stream | Repeat::ResumableStream);
    if is_stream && reply.status.is_success() {
        return Ok(streamed(reply, in_flight));
    }
    let reply = reply.whole().await;
    let reply = reply.map_err(|error| on_broken(server, endpoint, &error))?;
    on_whole(server, route, &in_flight);
    whole_answer(reply, head.stamp.is_some())
}

fn on_broken(server: &Server, endpoint: &Name, error: &ExchangeError) -> Failed {
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_failure(now_ms());
    }
    match error {
        ExchangeError::NotSent(message) => {
            Failed::NotRun(RetryReason::ConnectFailed, message.clone())
        }
        ExchangeError::Incomplete(message) => {
            Failed::MayHaveRun(RetryReason::AnswerCut, message.clone())
        }
    }
}

fn on_whole(server: &Server, route: &Route, in_flight: &InFlight) {
    let took_s = super::metrics::elapsed_seconds(in_flight.started_ms, now_ms());
    let target_s = super::metrics::elapsed_seconds(0, route.target_ms.max(1));
    if let Some(known) = lock(&server.pool).get_mut(&in_flight.endpoint) {
        known.on_success();
        // Kinds of requests differ in work about as their objectives do.
        known.on_pace(took_s / target_s);
    }
}

/// Notes what the head of an answer says of the endpoint's load.
pub(crate) fn record_answer_head(server: &Server, endpoint: &Name, head: &AnswerHead) {
    let mut pool = lock(&server.pool);
    let Some(known) = pool.get_mut(endpoint) else {
        return;
    };
    if let Some(report) = head.load {
        known.load.on_report(now_ms(), report);
    }
    if head.is_not_run {
        known.on_refusal(now_ms());
    }
}

fn whole_answer(reply: WholeReply, is_stamped: bool) -> Result<Response<Body>, Failed> {
    let status = reply.status;
    let promises_not_run = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    // Passed on, such a status would promise that the request has not run.
    if promises_not_run || !is_stamped {
        let message = format!("answered {status}, which may have run");
        return Err(Failed::MayHaveRun(RetryReason::AnswerInvalid, message));
    }
    let mut response = Response::new(full_body(reply.body));
    *response.status_mut() = status;
    *response.headers_mut() = forwardable_headers(&reply.headers);
    if status.is_server_error() {
        return Err(Failed::Answered(Box::new(response)));
    }
    Ok(response)
}

/// Passes a stream on as it comes; where it breaks off, so does the answer.
fn streamed(reply: Reply, in_flight: InFlight) -> Response<Body> {
    let mut headers = forwardable_headers(&reply.headers);
    headers.remove(header::CONTENT_LENGTH);
    let status = reply.status;
    let state = Some((reply, in_flight));
    let frames = futures_util::stream::unfold(state, |state| async move {
        let (mut reply, in_flight) = state?;
        match reply.next_bytes().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some((reply, in_flight)))),
            Ok(None) => {
                reply.finish().await;
                None
            }
            Err(error) => Some((Err(error), None)),
        }
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// How long the body of a refusal may take, in milliseconds.
const REFUSAL_BODY_MS: u64 = 50;

impl Reply {
    /// Reads the body of a refusal, so that the connection can be kept.
    pub(crate) async fn drain_refusal(self) {
        let limit = Duration::from_millis(REFUSAL_BODY_MS);
        if tokio::time::timeout(limit, self.whole()).await.is_err() {
            tracing::debug!("connection closed: a refusal's body did not end");
        }
    }
}
