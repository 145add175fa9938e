//! How a sampler answers requests.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Incoming, header::HeaderValue};
use serde_json::{Value, json};

use super::{
    AnswerFault,
    answer_fault::truncate_body,
    event_stream::event_stream,
    sampler::{RunStart, Shared, lock},
};
use crate::http::{Answer, bytes_answer, json_answer, read_bytes, status_answer};

/// How long after the answer to another request a sampler crashes.
const CRASH_AFTER_ANSWER: Duration = Duration::from_millis(20);

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Answers a request as its sampler is set to.
pub(super) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    lock(&shared.arrivals).push(Instant::now());
    let id = request.headers().get("x-request-id").cloned();
    let mut answer = handle_request(shared.clone(), request).await;
    if let Some(id) = id
        && !answer.headers().contains_key("x-request-id")
    {
        answer.headers_mut().insert("x-request-id", id);
    }
    if answer
        .headers()
        .get("x-request-id")
        .is_some_and(HeaderValue::is_empty)
    {
        answer.headers_mut().remove("x-request-id");
    }
    if shared.is_leaving.load(Ordering::SeqCst) {
        let value = HeaderValue::from_static("1");
        answer.headers_mut().insert("server-leaving", value);
    }
    let limit = lock(&shared.request_limit).clone();
    if let Some(value) = limit.and_then(|limit| HeaderValue::from_str(&limit).ok()) {
        answer.headers_mut().insert("server-limit", value);
    }
    answer
}

async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    shared.continue_if_up().await;
    let expected = header(&request, "x-expect-instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        return not_run(StatusCode::MISDIRECTED_REQUEST);
    }
    let path = request.uri().path().to_owned();
    let is_unnamed = header(&request, "x-request-id").is_none();
    let peer = request.extensions().get::<SocketAddr>().copied();
    let is_first_unnamed =
        is_unnamed && peer.is_some_and(|peer| lock(&shared.unnamed_connections).insert(peer));
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/order") if !is_first_unnamed && is_late_unnamed_copy(&shared) => {
            status_answer(StatusCode::OK, "late")
        }
        (Method::GET, "/v1/report") => {
            let seq = lock(&shared.orders).len();
            json_answer(&json!({"stage": "both", "busy": false, "seq": seq}))
        }
        (Method::POST, "/v1/order") => handle_order(&shared, request).await,
        _ => handle_run(shared, request).await,
    }
}

fn is_late_unnamed_copy(shared: &Shared) -> bool {
    let mut faults = lock(&shared.answer_faults);
    let fault = faults.pop_if(|fault| *fault == AnswerFault::LateUnnamedCopy);
    fault.is_some()
}

fn not_run(code: StatusCode) -> Answer {
    let mut answer = status_answer(code, "not run");
    answer
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("1"));
    answer
}

async fn handle_order(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let Ok(order) = serde_json::from_slice::<Value>(&body) else {
        return status_answer(StatusCode::BAD_REQUEST, "not JSON");
    };
    let is_late_copy = lock(&shared.answer_faults).pop_if(|fault| *fault == AnswerFault::LateCopy);
    if is_late_copy.is_some() {
        let answer = bytes_answer(Bytes::from_static(b"late"));
        return with_headers(shared, answer, "another", None);
    }
    {
        let mut orders = lock(&shared.orders);
        if order["expect_rev"].as_u64() != u64::try_from(orders.len()).ok() {
            return status_answer(StatusCode::CONFLICT, "another number of orders");
        }
        orders.push(order.clone());
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(shared.settings.load_ms)).await;
        if let (Some(model), Some(version)) = (order["model"].as_str(), order["version"].as_u64()) {
            *lock(&shared.model) = Some((model.to_owned(), version));
            shared.register();
        }
    });
    status_answer(StatusCode::ACCEPTED, "")
}

async fn handle_run(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let id = header(&request, "x-request-id").unwrap_or_default();
    let after: Option<u64> = header(&request, "last-event-id").and_then(|text| text.parse().ok());
    let deadline_ms = header(&request, "x-deadline-ms").and_then(|text| text.parse().ok());
    let account = header(&request, "x-tenant");
    let has_key = header(&request, "authorization").is_some();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let is_refused = lock(&shared.answer_faults).pop_if(|fault| *fault == AnswerFault::Refused);
    if is_refused.is_some() {
        return not_run(StatusCode::SERVICE_UNAVAILABLE);
    }
    lock(&shared.runs).push(RunStart {
        id: id.clone(),
        body: body.clone(),
        after_event: after,
        at: Instant::now(),
        deadline_ms,
        account,
        has_key,
    });
    let refusal = lock(&shared.answer_faults).pop_if(|fault| {
        matches!(
            fault,
            AnswerFault::LateRefusal | AnswerFault::UnnamedRefusal
        )
    });
    if let Some(refusal) = refusal {
        let stated_id = match refusal {
            AnswerFault::LateRefusal => "another",
            _ => "",
        };
        let mut answer = not_run(StatusCode::SERVICE_UNAVAILABLE);
        let value = HeaderValue::from_static(stated_id);
        answer.headers_mut().insert("x-request-id", value);
        return answer;
    }
    if lock(&shared.crashing_bodies).contains(&body) {
        if shared.answers_before_crash.load(Ordering::Relaxed) {
            let crashing = shared.clone();
            tokio::spawn(async move {
                tokio::time::sleep(CRASH_AFTER_ANSWER).await;
                crashing.crash();
            });
            let answer = bytes_answer(Bytes::from_static(b"late"));
            return with_headers(&shared, answer, &id, Some(AnswerFault::Foreign));
        }
        shared.crash();
        // The connection closes before any answer is sent.
        std::future::pending::<()>().await;
    }
    let fault = lock(&shared.answer_faults).pop();
    if lock(&shared.failing_request_ids).contains(&id) {
        let answer = status_answer(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        return with_headers(&shared, answer, &id, None);
    }
    let version = lock(&shared.model).as_ref().map(|(_, version)| *version);
    let mut answer = if let Some(version) = version {
        let mut answer = event_stream(shared.clone(), &id, after.unwrap_or(0), fault);
        // After the last event nothing is generated, so no weights version applies.
        let has_events_left = after.is_none_or(|after| after < shared.settings.events);
        if has_events_left && fault != Some(AnswerFault::Versionless) {
            answer
                .headers_mut()
                .insert("x-weight-versions", version.into());
        }
        answer
    } else {
        tokio::time::sleep(Duration::from_millis(shared.settings.work_ms)).await;
        shared.continue_if_up().await;
        let text = match fault {
            Some(fault) => format!("spoilt: {fault:?}"),
            None => format!("{method} {path} {} bytes", body.len()),
        };
        bytes_answer(text.into_bytes().into())
    };
    if version.is_none() && fault == Some(AnswerFault::Cut) {
        answer = truncate_body(answer).await;
    }
    with_headers(&shared, answer, &id, fault)
}

fn with_headers(
    shared: &Shared,
    mut answer: Answer,
    id: &str,
    fault: Option<AnswerFault>,
) -> Answer {
    let active_streams = shared.active_streams.load(Ordering::Relaxed);
    let stated_id = if fault == Some(AnswerFault::Foreign) {
        "another"
    } else {
        id
    };
    let mut headers = vec![
        ("x-request-id", stated_id.to_owned()),
        ("x-server-load", format!("{active_streams},0,8")),
    ];
    if fault != Some(AnswerFault::Unstamped) {
        headers.push(("x-response-stamp", format!("stamp-{}-{id}", shared.id)));
    }
    if fault == Some(AnswerFault::Encoded) {
        headers.push(("content-encoding", "gzip".to_owned()));
    }
    for (name, text) in headers {
        if let Ok(value) = text.parse() {
            answer.headers_mut().insert(name, value);
        }
    }
    answer
}
