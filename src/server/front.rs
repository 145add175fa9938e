//! Serves the connections of callers, the platform and other VMs.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http_body_util::{BodyExt, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use strum::{Display, IntoStaticStr};
use tokio::net::{TcpListener, TcpStream};

use super::{
    accept,
    accounts::{self, Caller},
    caller_body::{BodyTerms, discard_unread, read_caller_body},
    connections::{CountedStream, DEFAULT_HEAD_BYTES, OpenConnection, end_run_after},
    crash_rows, directory, forward,
    held::{self, HELD_PATH},
    permits, read_batch, relay, relayed,
    response::{Body, empty_response, full_body, json_response, refusal_response},
    silence,
    state::Server,
    streams,
};
use crate::{
    core::{
        Name,
        connections::ConnectionLimits,
        routes::{Route, RouteKind, RouteTable},
    },
    daemon::now_ms,
    error::{ErrorKind, Refusal},
    platform::{
        CallerHead, is_address_query, is_readiness_check, parse_address_query, parse_batch_call,
        parse_caller_head, set_account,
    },
    wire::peers::{
        CRASH_NOTICE_PATH, PERMIT_PATH, REACHABILITY_PATH, RELAY_REQUEST_PATH, STREAM_NOTICE_PATH,
        STREAM_QUERY_PATH,
    },
};

/// Which kind of requests a listener serves.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ListenerKind {
    Callers,
    Readiness,
    Directory,
    /// Calls of other VMs, to relay calls to the store and about endpoints, and those
    /// of operators.
    Peers,
    Metrics,
}

/// The paths at which other VMs and operators post messages of bounded size.
const PEER_PATHS: [&str; 6] = [
    CRASH_NOTICE_PATH,
    REACHABILITY_PATH,
    HELD_PATH,
    PERMIT_PATH,
    STREAM_NOTICE_PATH,
    STREAM_QUERY_PATH,
];
/// How long a connection may stay idle until a configuration is known, in
/// milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
/// The smallest read buffer of a connection.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// The receive buffer that a listener offers: it bounds the window of a connection, whose
/// buffer is smaller until a large body was granted memory.
const OFFERED_RECEIVE_BYTES: usize = 256 * 1024;
/// The send buffer of a connection; the kernel takes twice as much.
const SEND_BYTES: usize = ConnectionLimits::UNSENT_BYTES / 2;
/// The largest body of a notice or question of another VM, in bytes.
const MAX_PEER_BODY_BYTES: usize = 1024 * 1024;
/// How long another VM may take to send a body: far longer than its calls last.
pub(crate) const PEER_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a connection could not be accepted, in milliseconds: if too
/// many files are open, other connections may close meanwhile.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// A caller's request whose body has been read.
pub(crate) struct CallerRequest {
    pub(crate) head: CallerHead,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: bytes::Bytes,
    /// When the head of the request was read.
    pub(crate) started_ms: u64,
    /// The account that holds the caller's key, if accounts are configured.
    pub(crate) account: Option<Name>,
    /// The priority of the account, or else of the route, if accounts are configured; 0 is
    /// the most urgent.
    pub(crate) priority: Option<u8>,
}

/// Accepts connections for as long as the process runs, those of callers until it
/// closes connections: a request on a later one could be cut by the exit.
pub(crate) async fn serve(server: Arc<Server>, listener: TcpListener, kind: ListenerKind) {
    // Accepted connections inherit the limits.
    let socket = SockRef::from(&listener);
    let limited = socket.set_recv_buffer_size(OFFERED_RECEIVE_BYTES);
    if let Err(error) = limited.and_then(|()| socket.set_send_buffer_size(SEND_BYTES)) {
        tracing::warn!(%error, listener = ?kind, "buffers of the kernel not limited");
    }
    let mut close = server.close_connections.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = close.wait_for(|close| *close), if kind == ListenerKind::Callers => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(server.clone(), stream, kind));
            }
            Err(error) => {
                tracing::warn!(%error, listener = ?kind, "connection not accepted");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn serve_connection(server: Arc<Server>, stream: TcpStream, kind: ListenerKind) {
    let open = server.listeners.of(kind).open();
    // With Nagle's algorithm a small response waits for the other side's
    // acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, listener = ?kind, "connection closed: TCP_NODELAY cannot be set");
        return;
    }
    let limits = server.routes().caller_limits();
    let idle_ms = limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms);
    let head_bytes = match kind {
        ListenerKind::Callers => limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_head_bytes),
        _ => MIN_READ_BUFFER_BYTES,
    };
    let mut close = server.close_connections.subscribe();
    let (handler_server, handler_open) = (server.clone(), open.clone());
    let service = service_fn(move |request| {
        let (server, open) = (handler_server.clone(), handler_open.clone());
        async move {
            let response = respond(server, request, kind, &open).await;
            Ok::<_, Infallible>(end_run_after(response, open.clone()))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(
            TokioIo::new(CountedStream::new(stream, open.clone())),
            service,
        );
    let mut connection = pin!(connection);
    let _counted = (kind == ListenerKind::Callers).then(|| CallerConnection::new(&server));
    tokio::select! {
        result = connection.as_mut() => {
            if let Err(error) = result {
                tracing::debug!(%error, listener = ?kind, "accepted connection failed");
            }
            return;
        }
        () = open.closed() => return,
        // An error means that the sender was dropped because the process exits:
        // the connection is closed as well.
        _ = close.wait_for(|close| *close) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        result = connection => {
            if let Err(error) = result {
                tracing::debug!(%error, listener = ?kind, "accepted connection failed during shutdown");
            }
        }
        () = open.closed() => {}
    }
}

/// Counts a caller's connection as open until it is dropped.
struct CallerConnection(Arc<Server>);

impl CallerConnection {
    fn new(server: &Arc<Server>) -> Self {
        server.caller_connections.fetch_add(1, Ordering::SeqCst);
        Self(server.clone())
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.0.caller_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn respond(
    server: Arc<Server>,
    request: Request<Incoming>,
    kind: ListenerKind,
    open: &Arc<OpenConnection>,
) -> Response<Body> {
    if request.body().is_end_stream() {
        if !open.begin_run() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    } else {
        open.begin_body();
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match kind {
        ListenerKind::Callers => {
            let mut response = respond_to_caller(&server, request, open).await;
            if server.is_draining() {
                let value = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, value);
            }
            response
        }
        ListenerKind::Readiness if is_readiness_check(&method, &path) => {
            if server.is_ready() {
                empty_response(StatusCode::OK)
            } else {
                empty_response(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
        ListenerKind::Directory if is_address_query(&method, &path) => {
            let near = parse_address_query(request.uri());
            directory::address_list(&server, near.as_deref()).map_or_else(
                || empty_response(StatusCode::SERVICE_UNAVAILABLE),
                json_response,
            )
        }
        ListenerKind::Peers if method == Method::POST && path == relay::RELAY_PATH => {
            relay::answer_call(&server, open, request.into_body()).await
        }
        ListenerKind::Peers if method == Method::POST && path == RELAY_REQUEST_PATH => {
            relayed::answer(&server, open, request.into_body()).await
        }
        ListenerKind::Metrics if method == Method::GET => {
            Response::new(full_body(server.metrics.to_text()))
        }
        ListenerKind::Peers if method == Method::GET && path == HELD_PATH => held::list(&server),
        ListenerKind::Peers if method == Method::POST && PEER_PATHS.contains(&&*path) => {
            let body = Limited::new(request.into_body(), MAX_PEER_BODY_BYTES).collect();
            let Ok(body) = tokio::time::timeout(PEER_BODY_TIMEOUT, body).await else {
                return empty_response(StatusCode::REQUEST_TIMEOUT);
            };
            if !open.begin_run() {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            match body {
                Ok(body) if path == REACHABILITY_PATH => {
                    silence::answer_query(&server, &body.to_bytes()).await
                }
                Ok(body) if path == PERMIT_PATH => permits::answer_query(&server, &body.to_bytes()),
                Ok(body) if path == STREAM_NOTICE_PATH => {
                    streams::receive_notice(&server, &body.to_bytes())
                }
                Ok(body) if path == STREAM_QUERY_PATH => {
                    streams::answer_query(&server, &body.to_bytes())
                }
                Ok(body) if path == HELD_PATH => held::free(&server, &body.to_bytes()),
                Ok(body) => crash_rows::receive_notices(&server, &body.to_bytes()),
                Err(error) => {
                    tracing::debug!(%error, path, "body of another VM's request not read");
                    empty_response(StatusCode::BAD_REQUEST)
                }
            }
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Returns how many times its length the body of a request takes at most: a batch is
/// decoded, and encoded again.
fn body_copies(routes: &RouteTable, head: &CallerHead) -> usize {
    let route = routes.find(&head.host, &head.path);
    if route.is_some_and(|route| route.kind == RouteKind::Batch) {
        2
    } else {
        1
    }
}

async fn respond_to_caller(
    server: &Arc<Server>,
    request: Request<Incoming>,
    open: &Arc<OpenConnection>,
) -> Response<Body> {
    let started_ms = now_ms();
    server.metrics.requests.inc();
    let (parts, body) = request.into_parts();
    let head = parse_caller_head(&parts);
    let id = head.request_id.clone().unwrap_or_else(|| "-".into());
    if let Some(call) = parse_batch_call(&parts.method, &parts.uri, &parts.headers) {
        // A trainer that reads its batch sends no request id: the log shows the
        // batch's id instead.
        let id = head.request_id.as_ref().unwrap_or_else(|| call.batch());
        if !open.begin_run() {
            return refusal_response(server, id, &closing());
        }
        let result = match accounts::check_batch_call(server, &parts.headers, call.batch()).await {
            Ok(()) => read_batch::answer_batch_call(server, &call).await,
            Err(refusal) => Err(refusal),
        };
        return result.unwrap_or_else(|refusal| refusal_response(server, id, &refusal));
    }
    // A caller without a key is refused before it sends its body.
    let routes = server.routes();
    let route = routes.find(&head.host, &head.path);
    let caller = accounts::authenticate(&routes, route.map(|route| &**route), &parts.headers);
    if let Err(refusal) = caller {
        discard_unread(body, open.clone());
        return refusal_response(server, &id, &refusal);
    }
    let terms = BodyTerms {
        started_ms,
        patience_ms: head.patience_ms,
        copies: body_copies(&server.routes(), &head),
    };
    let body = match read_caller_body(server, open, body, terms).await {
        Ok(body) => body,
        Err(refusal) => return refusal_response(server, &id, &refusal),
    };
    if !open.begin_run() {
        return refusal_response(server, &id, &closing());
    }
    // The configuration may have changed while the body was received.
    let routes = server.routes();
    let admitted = route_request(&routes, &head, &parts.headers);
    let (route, caller) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal_response(server, &id, &refusal),
    };
    let mut headers = parts.headers;
    let mut priority = None;
    if accounts::sets_account(&routes) {
        set_account(&mut headers, caller.account.as_ref());
        priority = Some(caller.priority.unwrap_or(route.priority));
    }
    let request = CallerRequest {
        head,
        headers,
        body,
        started_ms,
        priority,
        account: caller.account,
    };
    let result = if route.kind == RouteKind::Batch {
        accept::accept_batch(server, &route, request).await
    } else {
        forward::forward_request(server, &route, &request).await
    };
    let response = match result {
        Ok(response) => response,
        Err(refusal) => refusal_response(server, &id, &refusal),
    };
    let request_s = super::metrics::elapsed_seconds(started_ms, now_ms());
    server.metrics.request_seconds.observe(request_s);
    response
}

/// Refuses a request whose connection is about to be closed.
fn closing() -> Refusal {
    let message = "the connection is closed, since others need its memory";
    Refusal::new(ErrorKind::MemoryFull, message)
}

/// Returns the route of a request and who sends it.
fn route_request(
    routes: &RouteTable,
    head: &CallerHead,
    headers: &hyper::HeaderMap,
) -> Result<(Arc<Route>, Caller), Refusal> {
    if routes.version() == 0 {
        let message = "this VM has not read a configuration yet";
        return Err(Refusal::new(ErrorKind::ConfigTooOld, message));
    }
    let Some(route) = routes.find(&head.host, &head.path) else {
        let message = format!(
            "no route for {}{} in configuration version {}",
            head.host,
            head.path,
            routes.version()
        );
        return Err(Refusal::new(ErrorKind::UnknownService, message));
    };
    let caller = accounts::authenticate(routes, Some(route), headers)?;
    Ok((route.clone(), caller))
}
