//! Serving connections of callers.

use std::{convert::Infallible, pin::pin, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::{
    accept, directory, forward, read_batch, relay,
    response::{Body, empty_response, full_body, json_response, refusal_response},
    state::Server,
};
use crate::{
    core::routes::Repeat,
    daemon::now_ms,
    error::{ErrorKind, Refusal},
    platform::{
        CallerHead, batch_call, caller_head, is_address_query, is_readiness_check, resolve_query,
    },
};

/// What a listener is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListenerKind {
    Callers,
    Readiness,
    Directory,
    /// Other VMs.
    Peers,
    Metrics,
}

/// How long a connection may stay idle before a configuration is known.
const IDLE_MS: u64 = 15_000;
/// The largest body before a configuration is known, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// How long to wait after a connection could not be taken, in milliseconds:
/// with too many open files, others may close some.
const AFTER_FAILURE_MS: u64 = 50;

/// A caller's request whose body has been read.
pub(crate) struct CallerRequest {
    pub(crate) head: CallerHead,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: bytes::Bytes,
    /// When the request's head was read.
    pub(crate) started_ms: u64,
}

/// Takes connections for as long as the process runs.
pub(crate) async fn serve(server: Arc<Server>, listener: TcpListener, kind: ListenerKind) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_one(server.clone(), stream, kind));
            }
            Err(error) => {
                tracing::warn!(%error, "connection not taken");
                tokio::time::sleep(Duration::from_millis(AFTER_FAILURE_MS)).await;
            }
        }
    }
}

async fn serve_one(server: Arc<Server>, stream: TcpStream, kind: ListenerKind) {
    // Without it a small answer waits for the other side's acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "connection gone");
        return;
    }
    let idle_ms = server
        .routes()
        .limits()
        .map_or(IDLE_MS, |limits| limits.idle_timeout_ms);
    let mut close = server.close.subscribe();
    let answering = server.clone();
    let service = service_fn(move |request| {
        let server = answering.clone();
        async move { Ok::<_, Infallible>(answer(server, request, kind).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        result = connection.as_mut() => {
            if let Err(error) = result {
                tracing::debug!(%error, "connection ended");
            }
            return;
        }
        // An error means that the process ends: close as well.
        _ = close.wait_for(|close| *close) => {}
    }
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        tracing::debug!(%error, "connection ended");
    }
}

async fn answer(
    server: Arc<Server>,
    request: Request<Incoming>,
    kind: ListenerKind,
) -> Response<Body> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match kind {
        ListenerKind::Callers => {
            let mut response = call(&server, request).await;
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
            let near = resolve_query(request.uri());
            directory::answer(&server, near.as_deref())
                .map_or_else(
                || empty_response(StatusCode::SERVICE_UNAVAILABLE),
                json_response,
            )
        }
        ListenerKind::Peers if method == Method::POST && path == relay::RELAY_PATH => {
            match request.into_body().collect().await {
                Ok(body) => relay::answer(&server, &body.to_bytes()).await,
                Err(error) => {
                    tracing::debug!(%error, "relayed call broke off");
                    empty_response(StatusCode::BAD_REQUEST)
                }
            }
        }
        ListenerKind::Metrics if method == Method::GET => {
            Response::new(full_body(server.metrics.to_text()))
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn call(server: &Arc<Server>, request: Request<Incoming>) -> Response<Body> {
    let started_ms = now_ms();
    server.metrics.requests.inc();
    let (parts, body) = request.into_parts();
    let head = caller_head(&parts);
    let id = head.request_id.clone().unwrap_or_else(|| "-".into());
    if let Some(call) = batch_call(&parts.method, &parts.uri, &parts.headers) {
        // Readers send no request id; their batch tells them apart.
        let id = head.request_id.as_ref().unwrap_or_else(|| call.batch());
        return match read_batch::answer(server, &call).await {
            Ok(response) => response,
            Err(refusal) => refusal_response(server, id, &refusal),
        };
    }
    let routes = server.routes();
    let max_bytes = routes
        .limits()
        .map_or(MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    let body = match Limited::new(body, max_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let kind = if error.is::<http_body_util::LengthLimitError>() {
                ErrorKind::BodyTooLarge
            } else {
                ErrorKind::BadRequest
            };
            return refusal_response(server, &id, &Refusal::new(kind, error.to_string()));
        }
    };
    let call = CallerRequest {
        head,
        headers: parts.headers,
        body,
        started_ms,
    };
    // The configuration may have changed while the body came in.
    let routes = server.routes();
    if routes.version() == 0 {
        let refusal = Refusal::new(ErrorKind::ConfigTooOld, "no configuration is known yet");
        return refusal_response(server, &id, &refusal);
    }
    let Some(route) = routes.find(&call.head.host, &call.head.path).cloned() else {
        let message = format!("no route in version {}", routes.version());
        return refusal_response(
            server,
            &id,
            &Refusal::new(ErrorKind::UnknownService, message),
        );
    };
    let result = if route.repeat == Repeat::Batch {
        accept::answer(server, &route, &call).await
    } else {
        forward::answer(server, &route, &call).await
    };
    let response = match result {
        Ok(response) => response,
        Err(refusal) => refusal_response(server, &id, &refusal),
    };
    let request_s = super::metrics::elapsed_seconds(started_ms, now_ms());
    server.metrics.request_seconds.observe(request_s);
    response
}
