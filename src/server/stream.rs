//! Forwards a stream of events to its caller.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame, header};

use super::{
    crash, endpoint_exchange,
    http_client::{ExchangeError, Reply},
    response::Body,
    state::{InFlight, Server},
};
use crate::{core::Name, daemon::now_ms, platform::forwardable_headers};

/// Returns a response that forwards a stream as it is received, and that fails
/// where the stream fails or lasts beyond `until_ms`, its caller's deadline.
pub(crate) fn stream_response(
    server: &Arc<Server>,
    id: &Name,
    reply: Reply,
    in_flight: InFlight,
    until_ms: u64,
) -> Response<Body> {
    let mut headers = forwardable_headers(&reply.headers);
    headers.remove(header::CONTENT_LENGTH);
    let status = reply.status;
    let source = Some((reply, in_flight));
    let (server, id) = (server.clone(), id.clone());
    let frames = futures_util::stream::unfold(source, move |source| {
        let (server, id) = (server.clone(), id.clone());
        async move {
            let (mut reply, in_flight) = source?;
            let Some(next) = next_bytes_before(&mut reply, until_ms).await else {
                in_flight.mark_incomplete();
                tracing::info!(%id, endpoint = %in_flight.endpoint, "stream ended at its deadline");
                let message = "the caller's deadline has passed".to_owned();
                return Some((Err(ExchangeError::TooLong(message)), None));
            };
            match next {
                Ok(Some(bytes)) => {
                    endpoint_exchange::on_heard(&server, &in_flight.endpoint, &reply);
                    Some((Ok(Frame::data(bytes)), Some((reply, in_flight))))
                }
                Ok(None) => {
                    in_flight.mark_complete();
                    reply.release_connection().await;
                    None
                }
                Err(error) => {
                    crash::on_broken_run(&server, &in_flight, &id, &error).await;
                    Some((Err(error), None))
                }
            }
        }
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns the next bytes of a reply, or `None` if its deadline has passed.
///
/// A stream that always has bytes would never time out by itself.
pub(crate) async fn next_bytes_before(
    reply: &mut Reply,
    until_ms: u64,
) -> Option<Result<Option<Bytes>, ExchangeError>> {
    let remaining_ms = until_ms.saturating_sub(now_ms());
    if remaining_ms == 0 {
        return None;
    }
    let limit = Duration::from_millis(remaining_ms);
    tokio::time::timeout(limit, reply.next_bytes()).await.ok()
}
