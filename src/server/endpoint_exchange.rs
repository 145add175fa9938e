//! Exchanges with endpoints: all that this VM sends to one goes through here.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};

use super::{
    http_client::{ExchangeError, Reply, WholeReply, within},
    state::{Server, lock},
};
use crate::{daemon::now_ms, platform::announces_leaving};

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
    let incarnation = listed_incarnation(server, endpoint);
    let reply = server.http.send(address, request).await?;
    on_answer(server, endpoint, incarnation, reply.status, &reply.headers);
    Ok(reply)
}

/// Sends a request to an endpoint and reads its whole answer before a deadline.
///
/// # Errors
///
/// Returns the errors of
/// [`ExchangeClient::exchange_whole`](super::http_client::ExchangeClient).
pub(crate) async fn exchange_whole(
    server: &Server,
    endpoint: &str,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline_ms: u64,
) -> Result<WholeReply, ExchangeError> {
    let exchange = async {
        let reply = send(server, endpoint, address, request).await?;
        reply.read_whole().await
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

/// Records what an answer tells of its endpoint: that it was heard, and whether it
/// leaves, unless it has started again since the request was sent.
///
/// A misdirected request was answered by another endpoint at the same address.
fn on_answer(
    server: &Server,
    endpoint: &str,
    incarnation: Option<u64>,
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
    known.on_heard(now_ms());
    if incarnation == Some(known.record.started_unix_ms)
        && announces_leaving(headers)
        && known.on_leaving_announced()
    {
        tracing::info!(
            endpoint,
            incarnation,
            in_flight = known.load.in_flight,
            "endpoint leaves: its answer says so"
        );
    }
}
