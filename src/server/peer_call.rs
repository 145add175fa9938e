use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};

use super::{http_client::WholeReply, state::Server};

/// Posts a body to another VM and reads its whole answer before a deadline.
///
/// # Errors
///
/// Returns a description of why there is no answer.
pub(crate) async fn post_to_peer(
    server: &Server,
    address: SocketAddr,
    path: &str,
    body: Bytes,
    deadline_ms: u64,
) -> Result<WholeReply, String> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|error| error.to_string())?;
    let sent = server.http.exchange_whole(address, request, deadline_ms);
    sent.await.map_err(|error| error.to_string())
}
