//! Relays calls to the store for VMs that cannot reach it directly.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header,
};
use serde::{Deserialize, Serialize};

use super::{
    connections::OpenConnection,
    front::PEER_BODY_TIMEOUT,
    http_client::{ExchangeClient, ExchangeError, WholeReply},
    memory::{BodyBuffer, BodyPlan, stated_bytes},
    response::{Body, empty_response, full_body},
    state::Server,
};
use crate::{core::Name, daemon::now_ms, platform::StoreError};

/// The path at which a VM accepts calls to relay to the store.
pub(crate) const RELAY_PATH: &str = "/peer/store";
/// The time added to the timeout of a relayed call, in milliseconds, for the
/// round trip between two VMs.
const RELAY_ROUND_TRIP_MS: u64 = 200;

/// The most bytes of a call besides its body.
const MAX_CALL_HEAD_BYTES: usize = 64 * 1024;
/// How many times its length a call takes: as it was received, and decoded.
const CALL_COPIES: usize = 2;
/// How long a call may wait for memory, unread, in milliseconds.
const MEMORY_WAIT_MS: u64 = 500;

/// A call to the store, as one VM sends it to another to relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StoreCall {
    pub(crate) method: Name,
    pub(crate) path: Name,
    pub(crate) headers: Vec<(Name, Name)>,
    pub(crate) body: Bytes,
    pub(crate) timeout_ms: u64,
}

/// The response of the store to a relayed call.
#[derive(Debug, Deserialize, Serialize)]
struct RelayedReply {
    status: u16,
    body: Bytes,
}

/// Sends a call to the store through another VM.
///
/// # Errors
///
/// Returns `NotDone` if the call was certainly not executed, and `Unknown` if it
/// may have been.
pub(crate) async fn send(
    http: &Arc<ExchangeClient>,
    peer: SocketAddr,
    call: &StoreCall,
) -> Result<WholeReply, StoreError> {
    let not_done = |detail: String| StoreError::NotDone(detail);
    let unknown = |detail: String| StoreError::Unknown(detail);
    let body = rmp_serde::to_vec_named(call)
        .map_err(|error| not_done(format!("call to relay cannot be encoded: {error}")))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(RELAY_PATH)
        .header(header::HOST, peer.to_string())
        .body(Full::new(body.into()))
        .map_err(|error| not_done(format!("request to VM at {peer} cannot be built: {error}")))?;
    let deadline_ms = now_ms() + call.timeout_ms + RELAY_ROUND_TRIP_MS;
    let reply = http.exchange_whole(peer, request, deadline_ms).await;
    let reply = reply.map_err(|error| match error {
        ExchangeError::NotSent(detail) | ExchangeError::NotPermitted(detail) => not_done(detail),
        ExchangeError::Incomplete(detail)
        | ExchangeError::TooLong(detail)
        | ExchangeError::Misplaced(detail) => unknown(detail),
    })?;
    match reply.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => {
            return Err(not_done(format!(
                "VM at {peer} does not reach the store either"
            )));
        }
        status => {
            return Err(unknown(format!(
                "VM at {peer} answered {status} to a relayed call"
            )));
        }
    }
    let relayed: RelayedReply = rmp_serde::from_slice(&reply.body)
        .map_err(|error| unknown(format!("answer of VM at {peer} cannot be decoded: {error}")))?;
    let status = StatusCode::from_u16(relayed.status).map_err(|error| {
        unknown(format!(
            "VM at {peer} relayed status {}: {error}",
            relayed.status
        ))
    })?;
    Ok(WholeReply {
        status,
        headers: HeaderMap::new(),
        body: relayed.body,
    })
}

/// Reads a call of another VM and executes it over this VM's direct connection to the
/// store.
///
/// The call is not relayed further. The response is 503 if the call was not
/// executed, and 502 if its outcome is unknown.
pub(crate) async fn answer_call(
    server: &Server,
    open: &OpenConnection,
    body: Incoming,
) -> Response<Body> {
    let read = tokio::time::timeout(PEER_BODY_TIMEOUT, read_call(server, open, body)).await;
    match read.unwrap_or(Err(StatusCode::SERVICE_UNAVAILABLE)) {
        Ok(_) if !open.begin_run() => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        Ok(body) => execute_call(server, &body).await,
        Err(status) => empty_response(status),
    }
}

async fn read_call(
    server: &Server,
    open: &OpenConnection,
    mut body: Incoming,
) -> Result<Bytes, StatusCode> {
    let plan = BodyPlan {
        max_bytes: server.settings.object_bytes + MAX_CALL_HEAD_BYTES,
        stated_bytes: stated_bytes(&body),
        copies: CALL_COPIES,
        wait_until_ms: now_ms() + MEMORY_WAIT_MS,
    };
    let mut buffer = BodyBuffer::new(&server.request_memory, plan).on_connection(open);
    while let Some(frame) = body.frame().await {
        let data = frame.map(Frame::into_data).map_err(|error| {
            tracing::debug!(%error, "body of a relayed call not read");
            StatusCode::BAD_REQUEST
        })?;
        let Ok(data) = data else { continue };
        buffer.push(&data).await.map_err(|error| {
            tracing::info!(?error, ?plan, "relayed call not read");
            StatusCode::SERVICE_UNAVAILABLE
        })?;
    }
    Ok(buffer.finish())
}

async fn execute_call(server: &Server, body: &[u8]) -> Response<Body> {
    let call: StoreCall = match rmp_serde::from_slice(body) {
        Ok(call) => call,
        Err(error) => {
            tracing::warn!(%error, "relayed call not decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    if !server.store.is_direct() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match server.store.call_direct(&call).await {
        Ok(reply) => {
            let relayed = RelayedReply {
                status: reply.status.as_u16(),
                body: reply.body,
            };
            match rmp_serde::to_vec_named(&relayed) {
                Ok(bytes) => Response::new(full_body(bytes)),
                Err(error) => {
                    tracing::error!(%error, "reply to a relayed call not encoded");
                    empty_response(StatusCode::BAD_GATEWAY)
                }
            }
        }
        Err(StoreError::NotDone(detail)) => {
            tracing::debug!(path = %call.path, detail, "relayed call not executed");
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        Err(StoreError::Unknown(detail)) => {
            tracing::info!(path = %call.path, detail, "outcome of a relayed call unknown");
            empty_response(StatusCode::BAD_GATEWAY)
        }
    }
}
