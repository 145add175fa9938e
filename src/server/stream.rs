//! Forwards a stream of events to its caller.

use std::sync::Arc;

use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame, header};

use super::{
    crash, endpoint_exchange,
    http_client::Reply,
    response::Body,
    state::{InFlight, Server},
};
use crate::{core::Name, platform::forwardable_headers};

/// Returns a response that forwards a stream as it is received, and that fails
/// where the stream fails.
pub(crate) fn stream_response(
    server: &Arc<Server>,
    id: &Name,
    reply: Reply,
    in_flight: InFlight,
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
            match reply.next_bytes().await {
                Ok(Some(bytes)) => {
                    endpoint_exchange::on_heard(&server, &in_flight.endpoint);
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
