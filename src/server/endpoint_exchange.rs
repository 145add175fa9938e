//! Exchanges with endpoints: all that this VM sends to one goes through here.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::{
    http_client::{ExchangeError, Reply, WholeReply},
    state::{Server, lock},
};
use crate::daemon::now_ms;

/// Sends a request to an endpoint and waits for the head of its answer.
///
/// # Errors
///
/// Returns the errors of [`ExchangeClient::send`](super::http_client::ExchangeClient).
pub(crate) async fn send(
    server: &Server,
    endpoint: &str,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Reply, ExchangeError> {
    let reply = server.http.send(address, request).await?;
    on_heard(server, endpoint);
    Ok(reply)
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
    deadline_ms: u64,
) -> Result<WholeReply, ExchangeError> {
    let reply = server
        .http
        .exchange_whole(address, request, deadline_ms)
        .await?;
    on_heard(server, endpoint);
    Ok(reply)
}

/// Records that an endpoint has sent something.
pub(crate) fn on_heard(server: &Server, endpoint: &str) {
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_heard(now_ms());
    }
}
