//! Requests on their way to endpoints.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt, stream::BoxStream};
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::{Method, Request, body::Incoming};

use super::{
    clock::{now_ms, sleep_until},
    dispatch,
    http::{HttpError, request},
    state::{Daemon, WholeAnswer, lock},
};
use crate::{
    core::{
        Name,
        config::EndpointSettings,
        request::{AttemptFailure, Call, CallEffect, Effect, Event, Generation, Spec},
        retry::RetryReason,
    },
    error::{ErrorKind, Refusal},
    wire::{
        callers::VersionSpan,
        engine::{Chunk, Generate},
    },
};

const CHUNK_TIMEOUT_MS: u64 = 5_000;

/// A whole generated text.
#[derive(Clone, Debug)]
pub(crate) struct Generated {
    pub(crate) tokens: Vec<Arc<str>>,
    pub(crate) spans: Vec<VersionSpan>,
    pub(crate) finish_reason: Arc<str>,
}

/// One attempt that runs at an endpoint, counted there until it ends.
struct Attempt {
    id: Arc<str>,
    endpoint: Name,
    settings: EndpointSettings,
    chunks: BoxStream<'static, Result<Chunk, AttemptFailure>>,
}

/// Drives one request to a model service until it ends.
///
/// Dropping the future drops the connection, by which the engine sees that the
/// attempt is not wanted any more.
pub(crate) async fn generate<F>(
    daemon: &Daemon,
    service: &str,
    spec: Spec,
    mut on_tokens: F,
) -> Result<Generated, Refusal>
where
    F: FnMut(&[Arc<str>], VersionSpan) + Send,
{
    dispatch::on_first_try(daemon, service);
    let mut effects = Vec::new();
    let mut machine = Generation::new(spec, &mut effects);
    let mut queue = VecDeque::from(effects);
    let mut chosen: Option<(Name, EndpointSettings)> = None;
    let mut attempt: Option<Attempt> = None;
    loop {
        let mut next = Vec::new();
        let Some(effect) = queue.pop_front() else {
            let event = next_event(&mut attempt, machine.deadline_ms()).await;
            let event = settle_attempt(daemon, service, event, &mut attempt);
            machine.handle(event, &mut next);
            queue.extend(next);
            continue;
        };
        match effect {
            Effect::Choose { avoid } => {
                chosen = dispatch::choose(daemon, service, &avoid);
                let name = chosen.as_ref().map(|(name, _)| name.clone());
                machine.handle(Event::Chosen(name), &mut next);
            }
            Effect::Start { generate, .. } => {
                if let Some((endpoint, settings)) = chosen.take() {
                    let id = generate.attempt.clone();
                    let chunks = chunks(daemon, &settings, generate);
                    attempt = Some(Attempt {
                        id,
                        endpoint,
                        settings,
                        chunks,
                    });
                }
            }
            Effect::Cancel { attempt: id, .. } => {
                if let Some(attempt) = attempt.take() {
                    lock(&daemon.endpoints).on_end(now_ms(), service, &attempt.endpoint, false);
                    cancel(daemon, &attempt.settings, &id);
                }
            }
            Effect::Forward { tokens, span } => {
                daemon.metrics.tokens.inc_by(tokens.len() as u64);
                on_tokens(&tokens, span);
            }
            Effect::Finish { reason } => {
                if let Some(attempt) = attempt.take() {
                    lock(&daemon.endpoints).on_end(now_ms(), service, &attempt.endpoint, false);
                }
                return Ok(Generated {
                    tokens: machine.tokens().to_vec(),
                    spans: machine.spans().to_vec(),
                    finish_reason: reason,
                });
            }
            Effect::Refuse(refusal) => return Err(refusal),
        }
        queue.extend(next);
    }
}

/// What the running attempt or the deadline brought.
enum Arrived {
    Chunk(Chunk),
    Failed(AttemptFailure),
    Deadline,
}

async fn next_event(attempt: &mut Option<Attempt>, deadline_ms: u64) -> Arrived {
    let Some(attempt) = attempt else {
        sleep_until(deadline_ms).await;
        return Arrived::Deadline;
    };
    let cut = AttemptFailure {
        reason: RetryReason::AnswerCut,
        was_sent: true,
    };
    tokio::select! {
        biased;
        chunk = attempt.chunks.next() => match chunk {
            Some(Ok(chunk)) => Arrived::Chunk(chunk),
            Some(Err(failure)) => Arrived::Failed(failure),
            None => Arrived::Failed(cut),
        },
        () = sleep_until(deadline_ms) => Arrived::Deadline,
        () = tokio::time::sleep(Duration::from_millis(CHUNK_TIMEOUT_MS)) => Arrived::Failed(cut),
    }
}

fn settle_attempt(
    daemon: &Daemon,
    service: &str,
    arrived: Arrived,
    attempt: &mut Option<Attempt>,
) -> Event {
    match arrived {
        Arrived::Chunk(chunk) => Event::Chunk(chunk),
        Arrived::Deadline => Event::Deadline,
        Arrived::Failed(failure) => {
            let Some(Attempt {
                id,
                endpoint,
                settings,
                ..
            }) = attempt.take()
            else {
                return Event::Deadline;
            };
            let is_down = failure.reason != RetryReason::EndpointRefused;
            lock(&daemon.endpoints).on_end(now_ms(), service, &endpoint, is_down);
            cancel(daemon, &settings, &id);
            let may_retry = dispatch::try_spend_retry(daemon, service, failure.reason);
            Event::Failed {
                attempt: id,
                failure,
                may_retry,
            }
        }
    }
}

/// Tells an engine, without waiting, that an attempt is dropped.
fn cancel(daemon: &Daemon, settings: &EndpointSettings, attempt: &str) {
    const CANCEL_TIMEOUT_MS: u64 = 1_000;
    let (http, address) = (daemon.http.clone(), settings.address);
    let path = format!("/attempts/{attempt}/cancel");
    tokio::spawn(async move {
        if let Ok(request) = request(
            Method::POST,
            address,
            &path,
            "application/json",
            Bytes::new(),
        ) {
            // The engine also sees that the connection is closed.
            let _ = http.exchange(address, request, CANCEL_TIMEOUT_MS).await;
        }
    });
}

/// Starts an attempt and returns its pieces as they come in.
fn chunks(
    daemon: &Daemon,
    settings: &EndpointSettings,
    generate: Generate,
) -> BoxStream<'static, Result<Chunk, AttemptFailure>> {
    let (http, address) = (daemon.http.clone(), settings.address);
    let opened = async move {
        let body = serde_json::to_vec(&generate).unwrap_or_default();
        let request = request(
            Method::POST,
            address,
            "/generate",
            "application/json",
            body.into(),
        )
        .map_err(|error| failure(&error))?;
        let response = http
            .send(address, request)
            .await
            .map_err(|error| failure(&error))?;
        if !response.status().is_success() {
            return Err(AttemptFailure {
                reason: RetryReason::EndpointRefused,
                was_sent: true,
            });
        }
        Ok(parse_chunks(response.into_body()))
    };
    futures_util::stream::once(opened)
        .flat_map(|opened| match opened {
            Ok(chunks) => chunks.boxed(),
            Err(failure) => futures_util::stream::iter([Err(failure)]).boxed(),
        })
        .boxed()
}

fn parse_chunks(
    body: Incoming,
) -> impl Stream<Item = Result<Chunk, AttemptFailure>> + Send + 'static {
    let bytes = BodyStream::new(body)
        .filter_map(|frame| async { frame.map(|frame| frame.into_data().ok()).transpose() });
    bytes.eventsource().map(|event| {
        let cut = AttemptFailure {
            reason: RetryReason::AnswerCut,
            was_sent: true,
        };
        let invalid = AttemptFailure {
            reason: RetryReason::AnswerInvalid,
            was_sent: true,
        };
        let event = event.map_err(|_| cut)?;
        serde_json::from_str(&event.data).map_err(|_| invalid)
    })
}

fn failure(error: &HttpError) -> AttemptFailure {
    let reason = match error {
        HttpError::Connect(_) => RetryReason::ConnectFailed,
        HttpError::Status(..) => RetryReason::EndpointRefused,
        HttpError::Invalid(_) => RetryReason::AnswerInvalid,
        HttpError::Broken(_) | HttpError::Timeout(_) => RetryReason::AnswerCut,
    };
    AttemptFailure {
        reason,
        was_sent: error.was_sent(),
    }
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) id: Arc<str>,
    pub(crate) body: Bytes,
    pub(crate) deadline_ms: u64,
    pub(crate) is_idempotent: bool,
}

/// Drives one call of a plain service until it ends.
pub(crate) async fn call(
    daemon: &Daemon,
    service: &str,
    call: &PlainCall,
) -> Result<WholeAnswer, Refusal> {
    const MAX_ATTEMPTS: u32 = 3;
    dispatch::on_first_try(daemon, service);
    let mut machine = Call::new(call.is_idempotent, MAX_ATTEMPTS);
    let mut avoid = BTreeSet::new();
    loop {
        let chosen = dispatch::choose(daemon, service, &avoid);
        if let Some(refusal) = machine.on_chosen(chosen.as_ref().map(|(name, _)| name)) {
            return Err(refusal);
        }
        let Some((endpoint, settings)) = chosen else {
            return Err(Refusal::new(ErrorKind::Internal, "no endpoint was chosen"));
        };
        let result = tokio::select! {
            result = call_once(daemon, &settings, call) => Some(result),
            () = sleep_until(call.deadline_ms) => None,
        };
        let has_failed = matches!(result, Some(Err(_)));
        lock(&daemon.endpoints).on_end(now_ms(), service, &endpoint, has_failed);
        let failure = match result {
            None => return Err(machine.on_deadline(true)),
            Some(Ok(answer)) => return Ok(answer),
            Some(Err(error)) => failure(&error),
        };
        let may_retry = dispatch::try_spend_retry(daemon, service, failure.reason);
        match machine.on_failed(failure, may_retry) {
            CallEffect::Choose { avoid: next } => avoid = next,
            CallEffect::Refuse(refusal) => return Err(refusal),
        }
    }
}

async fn call_once(
    daemon: &Daemon,
    settings: &EndpointSettings,
    call: &PlainCall,
) -> Result<WholeAnswer, HttpError> {
    let http = if call.is_idempotent {
        &daemon.http
    } else {
        &daemon.http_once
    };
    let address = settings.address;
    let request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header("content-type", &call.content_type)
        .header("x-request-id", &*call.id)
        .body(Full::new(call.body.clone()))
        .map_err(|error| HttpError::Invalid(error.to_string()))?;
    let response = http.send(address, request).await?;
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let content_type: Arc<str> = content_type.unwrap_or("application/octet-stream").into();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|_| HttpError::Broken(address))?;
    Ok(WholeAnswer {
        status,
        content_type,
        body: body.to_bytes(),
    })
}
