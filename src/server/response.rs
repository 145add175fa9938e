//! Builds the responses that this VM sends itself, such as refusals.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Response, StatusCode, header};

use super::{http_client::ExchangeError, state::Server};
use crate::{
    daemon::now_ms,
    error::{Refusal, RetryAdvice},
    platform::REQUEST_ID_HEADER,
};

/// The body of a response.
pub(crate) type Body = BoxBody<Bytes, ExchangeError>;

/// After how long a refused caller may retry if the refusal names no time, in
/// milliseconds: a slot becomes free within a few tens of milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;

/// Returns a body with the given content.
pub(crate) fn full_body<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json_response<B>(bytes: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(full_body(bytes));
    let value = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Converts a refusal to a response, and logs and counts it.
pub(crate) fn refusal_response(server: &Server, id: &str, refusal: &Refusal) -> Response<Body> {
    let detail = refusal.detail();
    let answer = refusal.response();
    server.metrics.on_refusal(detail.kind);
    tracing::info!(id, kind = %detail.kind, status = answer.status, not_run = answer.not_run,
        reason = %detail.message, "refused");
    let text = format!("{}: {}\n", detail.kind, detail.message);
    let mut response = Response::new(full_body(text));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let wait_ms = match answer.retry {
        RetryAdvice::Never => None,
        RetryAdvice::Elsewhere => Some(0),
        RetryAdvice::Later => Some(detail.retry_at_ms.map_or(DEFAULT_RETRY_AFTER_MS, |at_ms| {
            at_ms.saturating_sub(now_ms())
        })),
    };
    if let Some(wait_ms) = wait_ms {
        let seconds = format!("{}.{:03}", wait_ms / 1_000, wait_ms % 1_000);
        if let Ok(value) = seconds.parse() {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    if response.status() == StatusCode::UNAUTHORIZED {
        let value = header::HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, value);
    }
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
