use poem::{Response, http::StatusCode};
use rand::Rng;
use serde::Serialize;

use super::{
    clock::{now_ms, unix_ms},
    state::{Daemon, lock},
};
use crate::{
    error::{Refusal, RetryAdvice},
    wire::callers::ErrorBody,
};

/// After how long a refused caller may retry if the refusal names no time, in
/// milliseconds.
const DEFAULT_RETRY_DELAY_MS: u64 = 1_000;
/// The random time added to each retry time, in milliseconds, so that callers
/// refused at the same time don't retry at the same time.
const RETRY_DELAY_SPREAD_MS: u64 = 1_000;

/// Converts a refusal to the body of a response, and counts the refusal.
pub(crate) fn error_body(daemon: &Daemon, refusal: &Refusal) -> ErrorBody {
    let detail = refusal.detail();
    daemon.metrics.on_refusal(detail.kind);
    let response = refusal.response();
    let wait_ms = match response.retry {
        RetryAdvice::Never => None,
        RetryAdvice::Elsewhere => Some(0),
        RetryAdvice::Later => {
            let retry_at_ms = detail.retry_at_ms;
            let wait_ms = retry_at_ms.map_or(DEFAULT_RETRY_DELAY_MS, |at_ms| {
                at_ms.saturating_sub(now_ms())
            });
            let spread_ms = lock(&daemon.rng).random_range(0..=RETRY_DELAY_SPREAD_MS);
            Some(wait_ms + spread_ms)
        }
    };
    ErrorBody {
        kind: detail.kind,
        message: detail.message.clone(),
        not_run: response.not_run,
        retry_at_ms: wait_ms.map(|wait_ms| unix_ms() + wait_ms),
        address: detail.address.clone(),
    }
}

/// Converts a refusal to an HTTP response, and counts the refusal.
pub(crate) fn refusal_response(daemon: &Daemon, refusal: &Refusal) -> Response {
    let body = error_body(daemon, refusal);
    let status = StatusCode::from_u16(refusal.response().status).unwrap_or_default();
    let retry_after_s = body
        .retry_at_ms
        .map(|at_ms| at_ms.saturating_sub(unix_ms()).div_ceil(1_000));
    let mut response = json_response(&body);
    response.set_status(status);
    if let Some(retry_after_s) = retry_after_s {
        response
            .headers_mut()
            .insert("retry-after", retry_after_s.into());
    }
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json_response<T>(body: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::builder()
        .content_type("application/json")
        .body(body)
}

/// Returns a response with a JSON body, or the response for a refusal.
pub(crate) fn json_or_refusal<T>(daemon: &Daemon, result: Result<T, Refusal>) -> Response
where
    T: Serialize,
{
    match result {
        Ok(body) => json_response(&body),
        Err(refusal) => refusal_response(daemon, &refusal),
    }
}
