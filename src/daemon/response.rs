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

/// The least time after which a refused caller may come back, where none was named.
const MIN_RETRY_MS: u64 = 1_000;
/// Over how long callers that are refused together come back.
const RETRY_SPREAD_MS: u64 = 1_000;

/// Turns a refusal into the body that the other side gets, and counts it.
pub(crate) fn error_body(daemon: &Daemon, refusal: &Refusal) -> ErrorBody {
    let detail = refusal.detail();
    daemon.metrics.on_refusal(detail.kind);
    let answer = refusal.response();
    let wait_ms = match answer.retry {
        RetryAdvice::Never => None,
        RetryAdvice::Elsewhere => Some(0),
        RetryAdvice::Later => {
            let named_ms = detail.retry_at_ms;
            let wait_ms = named_ms.map_or(MIN_RETRY_MS, |at_ms| at_ms.saturating_sub(now_ms()));
            let spread_ms = lock(&daemon.rng).random_range(0..=RETRY_SPREAD_MS);
            Some(wait_ms + spread_ms)
        }
    };
    ErrorBody {
        kind: detail.kind,
        message: detail.message.clone(),
        not_run: answer.not_run,
        retry_at_ms: wait_ms.map(|wait_ms| unix_ms() + wait_ms),
        address: detail.address.clone(),
    }
}

/// Turns a refusal into an HTTP response.
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

/// Answers with JSON.
pub(crate) fn json_response<T>(body: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::builder()
        .content_type("application/json")
        .body(body)
}

/// Answers with JSON, or with a refusal.
pub(crate) fn json_or_refusal<T>(daemon: &Daemon, result: Result<T, Refusal>) -> Response
where
    T: Serialize,
{
    match result {
        Ok(body) => json_response(&body),
        Err(refusal) => refusal_response(daemon, &refusal),
    }
}
