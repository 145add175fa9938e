//! Passing calls to the store on for a VM that does not reach it itself.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use super::{
    http_client::{ExchangeError, HttpClient, WholeReply},
    response::{Body, empty_response, full_body},
    state::Server,
};
use crate::{core::Name, daemon::now_ms, platform::StoreError};

/// Where VMs take calls for the store.
pub(crate) const RELAY_PATH: &str = "/peer/store";
/// How much longer a relayed call may take, in milliseconds: the way between
/// two VMs, there and back.
const RELAY_SLACK_MS: u64 = 200;

/// One call to the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StoreCall {
    pub(crate) method: Name,
    pub(crate) path: Name,
    pub(crate) headers: Vec<(Name, Name)>,
    pub(crate) body: Bytes,
    pub(crate) timeout_ms: u64,
}

/// What the store answered.
#[derive(Debug, Deserialize, Serialize)]
struct Relayed {
    status: u16,
    body: Bytes,
}

/// Sends a call through another VM.
pub(crate) async fn send(
    http: &Arc<HttpClient>,
    peer: SocketAddr,
    call: &StoreCall,
) -> Result<WholeReply, StoreError> {
    let not_done = |detail: String| StoreError::NotDone(detail);
    let unknown = |detail: String| StoreError::Unknown(detail);
    let body = rmp_serde::to_vec_named(call).map_err(|error| not_done(error.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(RELAY_PATH)
        .header(header::HOST, peer.to_string())
        .body(Full::new(body.into()))
        .map_err(|error| not_done(error.to_string()))?;
    let deadline_ms = now_ms() + call.timeout_ms + RELAY_SLACK_MS;
    let reply = http.exchange_whole(peer, request, deadline_ms).await;
    let reply = reply.map_err(|error| match error {
        ExchangeError::NotSent(detail) => not_done(detail),
        ExchangeError::Incomplete(detail) => unknown(detail),
    })?;
    match reply.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => {
            return Err(not_done("nor does the other VM".to_owned()));
        }
        status => return Err(unknown(format!("the other VM answered {status}"))),
    }
    let relayed: Relayed =
        rmp_serde::from_slice(&reply.body).map_err(|error| unknown(error.to_string()))?;
    let status =
        StatusCode::from_u16(relayed.status).map_err(|error| unknown(error.to_string()))?;
    Ok(WholeReply {
        status,
        headers: HeaderMap::new(),
        body: relayed.body,
    })
}

/// Passes a call of another VM on, by this VM's own connection only.
pub(crate) async fn answer(server: &Server, body: &[u8]) -> Response<Body> {
    let call: StoreCall = match rmp_serde::from_slice(body) {
        Ok(call) => call,
        Err(error) => {
            tracing::warn!(%error, "relayed call cannot be read");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    if !server.store.is_direct() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match server.store.call_direct(&call).await {
        Ok(reply) => {
            let relayed = Relayed {
                status: reply.status.as_u16(),
                body: reply.body,
            };
            match rmp_serde::to_vec_named(&relayed) {
                Ok(bytes) => Response::new(full_body(bytes)),
                Err(error) => {
                    tracing::error!(%error, "relayed answer cannot be written");
                    empty_response(StatusCode::BAD_GATEWAY)
                }
            }
        }
        Err(StoreError::NotDone(detail)) => {
            tracing::debug!(detail, "relayed call not done");
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        Err(StoreError::Unknown(detail)) => {
            tracing::info!(detail, "outcome of a relayed call unknown");
            empty_response(StatusCode::BAD_GATEWAY)
        }
    }
}
