//! Sends requests to endpoints for VMs that are cut off from them.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{self, HeaderName, HeaderValue},
};

use super::{
    connections::OpenConnection,
    endpoint_exchange::{self, Outgoing, SendProgress, SendTerms},
    front::PEER_BODY_TIMEOUT,
    http_client::{ExchangeError, Reply},
    memory::{BodyBuffer, BodyPlan, stated_bytes},
    permits::Permit,
    response::{Body, full_body},
    state::{Server, lock},
    stream::next_bytes_before,
};
use crate::{
    core::{
        Name,
        pool::{EndpointRecord, EndpointStage},
    },
    daemon::now_ms,
    platform::forwardable_headers,
    wire::peers::{RELAY_OUTCOME_HEADER, RelayOutcome, RelayedRequest},
};

/// The most bytes of a request besides its body.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The largest body of a request until a configuration is known, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// How many times its length a request takes: as it was received, and decoded.
const REQUEST_COPIES: usize = 2;
/// How long a request may wait for memory, unread, in milliseconds.
const MEMORY_WAIT_MS: u64 = 100;
/// The most requests of other VMs that are in progress at once.
const MAX_RELAYED_REQUESTS: usize = 512;

/// Counts a request of another VM as in progress until it is dropped.
struct RelayedRun {
    server: Arc<Server>,
    endpoint: Name,
}

impl RelayedRun {
    fn new(server: &Arc<Server>, endpoint: &Name) -> Self {
        server.relayed_requests.fetch_add(1, Ordering::SeqCst);
        if let Some(known) = lock(&server.pool).get_mut(endpoint) {
            known.on_run_start(now_ms());
        }
        Self {
            server: server.clone(),
            endpoint: endpoint.clone(),
        }
    }
}

impl Drop for RelayedRun {
    fn drop(&mut self) {
        self.server.relayed_requests.fetch_sub(1, Ordering::SeqCst);
        if let Some(known) = lock(&self.server.pool).get_mut(&self.endpoint) {
            known.on_run_end(true);
        }
        self.server.pool_changed.notify_one();
    }
}

/// Why a request of another VM was not answered by its endpoint.
struct NoAnswer {
    outcome: RelayOutcome,
    reason: String,
}

impl NoAnswer {
    fn declined<R>(reason: R) -> Self
    where
        R: Into<String>,
    {
        Self {
            outcome: RelayOutcome::Declined,
            reason: reason.into(),
        }
    }
}

impl From<ExchangeError> for NoAnswer {
    fn from(error: ExchangeError) -> Self {
        let outcome = match error {
            ExchangeError::NotSent(_) | ExchangeError::NotPermitted(_) => RelayOutcome::NotSent,
            ExchangeError::TooLong(_) => RelayOutcome::TooLong,
            ExchangeError::Misplaced(_) => RelayOutcome::Misplaced,
            ExchangeError::Incomplete(_) => RelayOutcome::Incomplete,
        };
        Self {
            outcome,
            reason: error.to_string(),
        }
    }
}

/// Returns the error that an outcome other than an answer stands for.
pub(crate) fn error_of(outcome: RelayOutcome, message: String) -> ExchangeError {
    match outcome {
        RelayOutcome::Declined | RelayOutcome::NotSent => ExchangeError::NotSent(message),
        RelayOutcome::TooLong => ExchangeError::TooLong(message),
        RelayOutcome::Misplaced => ExchangeError::Misplaced(message),
        RelayOutcome::Incomplete | RelayOutcome::Answered => ExchangeError::Incomplete(message),
    }
}

/// Sends a request of another VM to its endpoint, and passes the reply on.
pub(crate) async fn answer(
    server: &Arc<Server>,
    open: &OpenConnection,
    body: Incoming,
) -> Response<Body> {
    let read = tokio::time::timeout(PEER_BODY_TIMEOUT, read_request(server, open, body)).await;
    let late = |_| Err(NoAnswer::declined("the body was not complete in time"));
    let (from, result) = match read.unwrap_or_else(late) {
        Ok(_) if !open.begin_run() => {
            let closing = NoAnswer::declined("the connection is closed");
            ("-".into(), Err(closing))
        }
        Ok(relayed) => (relayed.from.clone(), send(server, relayed).await),
        Err(no_answer) => ("-".into(), Err(no_answer)),
    };
    server.metrics.on_request_of_other_vm(result.is_ok());
    result.unwrap_or_else(|no_answer| {
        tracing::info!(%from, outcome = %no_answer.outcome, reason = no_answer.reason,
            "request of another VM not answered");
        let mut response = Response::new(full_body(no_answer.reason));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        set_outcome(&mut response, no_answer.outcome);
        response
    })
}

fn set_outcome(response: &mut Response<Body>, outcome: RelayOutcome) {
    let value = HeaderValue::from_static(outcome.into());
    response.headers_mut().insert(RELAY_OUTCOME_HEADER, value);
}

async fn read_request(
    server: &Server,
    open: &OpenConnection,
    mut body: Incoming,
) -> Result<RelayedRequest, NoAnswer> {
    if server.relayed_requests.load(Ordering::SeqCst) >= MAX_RELAYED_REQUESTS {
        return Err(NoAnswer::declined("too many requests of other VMs"));
    }
    let limits = server.routes().caller_limits();
    let max_body_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    let plan = BodyPlan {
        max_bytes: max_body_bytes + MAX_HEAD_BYTES,
        stated_bytes: stated_bytes(&body),
        copies: REQUEST_COPIES,
        wait_until_ms: now_ms() + MEMORY_WAIT_MS,
    };
    let mut buffer = BodyBuffer::new(&server.request_memory, plan).on_connection(open);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| NoAnswer::declined(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            let pushed = buffer.push(&data).await;
            pushed.map_err(|error| NoAnswer::declined(format!("body not read: {error:?}")))?;
        }
    }
    rmp_serde::from_slice(&buffer.finish()).map_err(|error| NoAnswer::declined(error.to_string()))
}

async fn send(server: &Arc<Server>, relayed: RelayedRequest) -> Result<Response<Body>, NoAnswer> {
    let received_ms = now_ms();
    let until_ms = received_ms + relayed.remaining_ms;
    let request = build_request(&relayed)?;
    let record = check_request(server, &relayed, &request, until_ms)?;
    let run = RelayedRun::new(server, &record.id);
    let outgoing = Outgoing {
        request,
        permit: Permit::of_other_vm(relayed.purpose),
        terms: SendTerms {
            purpose: relayed.purpose,
            is_idempotent: relayed.is_idempotent,
            may_relay: false,
            until_ms,
            progress: SendProgress::default(),
        },
    };
    let sent = endpoint_exchange::send(server, &record.id, record.address, outgoing);
    let limit = Duration::from_millis(relayed.remaining_ms);
    let late = |_| Err(ExchangeError::Incomplete("its time is over".to_owned()));
    let reply = tokio::time::timeout(limit, sent).await.unwrap_or_else(late);
    let reply = reply.inspect_err(|error| {
        if matches!(error, ExchangeError::NotSent(_)) {
            endpoint_exchange::on_failed(server, &record.id, error);
        }
    })?;
    tracing::info!(from = %relayed.from, endpoint = %record.id, status = reply.status.as_u16(),
        age_ms = now_ms() - received_ms, "request of another VM answered");
    Ok(pass_on(reply, run, until_ms, &*relayed.method == "HEAD"))
}

fn build_request(relayed: &RelayedRequest) -> Result<Request<Full<Bytes>>, NoAnswer> {
    let invalid = |error: String| NoAnswer::declined(format!("request not built: {error}"));
    let method = Method::from_bytes(relayed.method.as_bytes());
    let mut request = Request::builder()
        .method(method.map_err(|error| invalid(error.to_string()))?)
        .uri(&*relayed.target)
        .body(Full::new(relayed.body.clone()))
        .map_err(|error| invalid(error.to_string()))?;
    for (name, value) in &relayed.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        let name = name.map_err(|error| invalid(error.to_string()))?;
        let value = value.map_err(|error| invalid(error.to_string()))?;
        request.headers_mut().append(name, value);
    }
    Ok(request)
}

/// Returns the endpoint of a request if this VM may send it there.
fn check_request(
    server: &Server,
    relayed: &RelayedRequest,
    request: &Request<Full<Bytes>>,
    until_ms: u64,
) -> Result<EndpointRecord, NoAnswer> {
    if !server.admits(until_ms) {
        return Err(NoAnswer::declined("this VM shuts down"));
    }
    let pool = lock(&server.pool);
    let listed = pool.get(&relayed.endpoint).map(|known| &known.record);
    let record = listed
        .filter(|record| record.started_unix_ms == relayed.incarnation)
        .filter(|record| record.stage == EndpointStage::Ready)
        .ok_or_else(|| NoAnswer::declined("the endpoint is not listed here"))?;
    if pool.paths().is_cut(now_ms(), record) {
        return Err(NoAnswer::declined("this VM is cut off from the endpoint"));
    }
    check_route(server, relayed, request, record)?;
    Ok(record.clone())
}

/// Checks that the newest configuration that either VM knows leads to the endpoint.
fn check_route(
    server: &Server,
    relayed: &RelayedRequest,
    request: &Request<Full<Bytes>>,
    record: &EndpointRecord,
) -> Result<(), NoAnswer> {
    let routes = server.routes();
    if routes.version() < relayed.config_version {
        return Err(NoAnswer::declined("this VM knows an older configuration"));
    }
    if routes.version() == relayed.config_version {
        return Ok(());
    }
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = routes.find(host, request.uri().path());
    let is_routed = route.is_some_and(|route| {
        let mut services = route.services.iter();
        services.any(|entry| entry.service == record.service)
    });
    if is_routed {
        Ok(())
    } else {
        Err(NoAnswer::declined("a newer configuration leads elsewhere"))
    }
}

/// Returns a response that passes a reply on as it is received, and that fails where it
/// fails or lasts beyond `until_ms`.
fn pass_on(reply: Reply, run: RelayedRun, until_ms: u64, is_without_body: bool) -> Response<Body> {
    let mut headers = forwardable_headers(&reply.headers);
    let stated_bytes = reply.headers.get(header::CONTENT_LENGTH);
    if let Some(stated_bytes) = stated_bytes.filter(|_| !is_without_body) {
        headers.insert(header::CONTENT_LENGTH, stated_bytes.clone());
    }
    let status = reply.status;
    let source = Some((reply, run));
    let frames = futures_util::stream::unfold(source, move |source| async move {
        let (mut reply, run) = source?;
        let late = || Err(ExchangeError::TooLong("its time is over".to_owned()));
        let next = next_bytes_before(&mut reply, until_ms).await;
        match next.unwrap_or_else(late) {
            Ok(Some(bytes)) => {
                endpoint_exchange::on_heard(&run.server, &run.endpoint, &reply);
                Some((Ok(Frame::data(bytes)), Some((reply, run))))
            }
            Ok(None) => {
                reply.release_connection().await;
                None
            }
            Err(error) => Some((Err(error), None)),
        }
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    set_outcome(&mut response, RelayOutcome::Answered);
    response
}
