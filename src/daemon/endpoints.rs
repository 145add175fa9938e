//! Requests on their way to endpoints.

use std::{
    collections::{BTreeSet, VecDeque},
    pin::pin,
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
    crash::{self, EndedRun, EndpointChoice, EndpointRun},
    dispatch,
    http::{HttpError, build_request},
    state::{CompleteResponse, Daemon},
};
use crate::{
    core::{
        Name,
        config::EndpointSettings,
        request::{
            AttemptFailure, Call, CallEffect, Generation, GenerationEffect, GenerationEvent,
            GenerationSpec, fingerprint,
        },
        retry::RetryReason,
    },
    error::{ErrorKind, Refusal},
    wire::{
        callers::VersionSpan,
        engine::{Chunk, Generate},
    },
};

/// A whole generated text.
#[derive(Clone, Debug)]
pub(crate) struct Generated {
    pub(crate) tokens: Vec<Arc<str>>,
    pub(crate) spans: Vec<VersionSpan>,
    pub(crate) finish_reason: Arc<str>,
}

/// One attempt that runs at an endpoint.
struct Attempt {
    id: Arc<str>,
    run: EndpointRun,
    started_ms: u64,
    /// When the first piece came, and how many tokens came after it.
    first_ms: Option<u64>,
    tokens: u32,
    chunks: BoxStream<'static, Result<Chunk, AttemptFailure>>,
}

/// Returns the fingerprint by which a model request is blamed for crashes.
///
/// The seed and the lengths are left out: a caller that changes them sends the
/// same content again.
pub(crate) fn content_fingerprint(service: &str, prompt: &str) -> Arc<str> {
    fingerprint(service, prompt.as_bytes())
}

/// Drives one request to a model service until it ends, or until `gone` says
/// that nobody wants its answer any more.
///
/// Dropping the future drops the connection, by which the engine sees that the
/// attempt is not wanted any more.
pub(crate) async fn generate<F, G>(
    daemon: &Arc<Daemon>,
    service: &str,
    spec: GenerationSpec,
    route: dispatch::RouteOptions,
    mut on_tokens: F,
    gone: G,
) -> Result<Generated, Refusal>
where
    F: FnMut(&[Arc<str>], VersionSpan) + Send,
    G: Future<Output = ()> + Send,
{
    dispatch::record_first_try(daemon, service);
    let fingerprint = content_fingerprint(service, &spec.prompt);
    let mut gone = pin!(gone);
    let mut effects = Vec::new();
    let mut machine = Generation::new(spec, &mut effects);
    let mut queue = VecDeque::from(effects);
    let mut chosen: Option<EndpointRun> = None;
    let mut last: Option<EndedRun> = None;
    let mut attempt: Option<Attempt> = None;
    let mut route = route;
    let mut failures = 0;
    loop {
        let mut next = Vec::new();
        let Some(effect) = queue.pop_front() else {
            let arrived = tokio::select! {
                biased;
                () = &mut gone => Arrived::CallerGone,
                arrived = next_event(daemon, service, &route, &mut attempt, &machine) => arrived,
            };
            if let Arrived::Failed(failure) = &arrived {
                failures += 1;
                // A sample is moved once: a second move would lose more than it saves.
                route
                    .is_tail
                    .take_if(|_| failure.reason == RetryReason::Straggler);
            }
            let event = settle_attempt(daemon, service, arrived, &mut attempt, &mut last).await;
            machine.handle(now_ms(), event, &mut next);
            queue.extend(next);
            continue;
        };
        match effect {
            GenerationEffect::ChooseEndpoint { avoid } => {
                let deadline_ms = machine.deadline_ms();
                dispatch::wait_before_retry(daemon, failures, deadline_ms).await;
                chosen = choose_in_time(daemon, service, &fingerprint, &route, &avoid, deadline_ms)
                    .await?;
                let name = chosen.as_ref().map(|run| run.endpoint.clone());
                machine.handle(now_ms(), GenerationEvent::EndpointChosen(name), &mut next);
            }
            GenerationEffect::Start { generate, .. } => {
                attempt = chosen.take().map(|run| start(daemon, run, generate));
            }
            GenerationEffect::Resume { generate, .. } => {
                let run = last.take().map(EndedRun::restart);
                attempt = run.map(|run| start(daemon, run, generate));
            }
            GenerationEffect::Cancel { .. } => {
                if let Some(attempt) = attempt.take() {
                    cancel(daemon, &attempt.run.settings, &attempt.id);
                }
            }
            GenerationEffect::Forward { tokens, span } => {
                daemon.metrics.tokens.inc_by(tokens.len() as u64);
                on_tokens(&tokens, span);
            }
            GenerationEffect::Finish { reason } => {
                if let Some(mut attempt) = attempt.take() {
                    note_pace(daemon, service, &attempt);
                    attempt.run.mark_complete();
                }
                return Ok(Generated {
                    tokens: machine.tokens().to_vec(),
                    spans: machine.spans().to_vec(),
                    finish_reason: reason,
                });
            }
            GenerationEffect::Refuse(refusal) => return Err(refusal),
        }
        queue.extend(next);
    }
}

fn start(daemon: &Daemon, run: EndpointRun, generate: Generate) -> Attempt {
    Attempt {
        id: generate.attempt.clone(),
        chunks: chunks(daemon, &run.settings, generate),
        run,
        started_ms: now_ms(),
        first_ms: None,
        tokens: 0,
    }
}

/// Notes how fast an endpoint generated; the wait for a slot says nothing of it.
fn note_pace(daemon: &Daemon, service: &str, attempt: &Attempt) {
    const LEAST_TOKENS: u32 = 8;
    if let Some(first_ms) = attempt.first_ms.filter(|_| attempt.tokens >= LEAST_TOKENS) {
        let elapsed_ms = now_ms().saturating_sub(first_ms);
        let endpoint = &attempt.run.endpoint;
        dispatch::record_success(daemon, service, endpoint, attempt.tokens, elapsed_ms);
    }
}

/// Chooses an endpoint; waits, until the deadline, while the content is on trial.
async fn choose_in_time(
    daemon: &Arc<Daemon>,
    service: &str,
    fingerprint: &Arc<str>,
    route: &dispatch::RouteOptions,
    avoid: &BTreeSet<Name>,
    deadline_ms: u64,
) -> Result<Option<EndpointRun>, Refusal> {
    const LOOK_MS: u64 = 10;
    loop {
        match crash::choose_endpoint(daemon, service, fingerprint, route, avoid)? {
            EndpointChoice::Chosen(run) => return Ok(Some(run)),
            EndpointChoice::None => return Ok(None),
            EndpointChoice::Wait if now_ms() >= deadline_ms => return Ok(None),
            EndpointChoice::Wait => tokio::time::sleep(Duration::from_millis(LOOK_MS)).await,
        }
    }
}

/// What the running attempt, the caller or a deadline brought.
enum Arrived {
    Chunk(Chunk),
    Failed(AttemptFailure),
    Deadline,
    CallerGone,
}

async fn next_event(
    daemon: &Daemon,
    service: &str,
    route: &dispatch::RouteOptions,
    attempt: &mut Option<Attempt>,
    machine: &Generation,
) -> Arrived {
    const LOOK_MS: u64 = 1_000;
    let deadline_ms = machine.deadline_ms();
    let Some(attempt) = attempt else {
        sleep_until(deadline_ms).await;
        return Arrived::Deadline;
    };
    let failed = |reason| {
        Arrived::Failed(AttemptFailure {
            reason,
            was_sent: true,
        })
    };
    loop {
        let look_at_ms = route.is_tail.as_ref().map(|_| now_ms() + LOOK_MS);
        return tokio::select! {
            biased;
            chunk = attempt.chunks.next() => match chunk {
                Some(Ok(chunk)) => {
                    attempt.note(&chunk);
                    Arrived::Chunk(chunk)
                }
                Some(Err(failure)) => Arrived::Failed(failure),
                None => failed(RetryReason::AnswerCut),
            },
            () = sleep_until(deadline_ms) => Arrived::Deadline,
            () = sleep_until(look_at_ms.unwrap_or(u64::MAX)) => {
                if dispatch::is_straggling(daemon, service, route, attempt.started_ms, attempt.tokens) {
                    failed(RetryReason::Straggler)
                } else {
                    continue;
                }
            }
            () = sleep_until(machine.stalls_at_ms().unwrap_or(u64::MAX)) => {
                failed(RetryReason::AnswerStalled)
            }
        };
    }
}

impl Attempt {
    fn note(&mut self, chunk: &Chunk) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms());
        } else {
            self.tokens += u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
        }
    }
}

async fn settle_attempt(
    daemon: &Daemon,
    service: &str,
    arrived: Arrived,
    attempt: &mut Option<Attempt>,
    last: &mut Option<EndedRun>,
) -> GenerationEvent {
    let failure = match arrived {
        Arrived::Chunk(chunk) => return GenerationEvent::Chunk(chunk),
        Arrived::Deadline => return GenerationEvent::Deadline,
        Arrived::CallerGone => return GenerationEvent::CallerGone,
        Arrived::Failed(failure) => failure,
    };
    let Some(Attempt { id, mut run, .. }) = attempt.take() else {
        return GenerationEvent::Deadline;
    };
    if failure.reason != RetryReason::Straggler {
        run.record_failure(failure).await;
    }
    cancel(daemon, &run.settings, &id);
    // Kept for the case that the answer has to go on at the same endpoint.
    *last = Some(run.finish());
    let may_retry = dispatch::try_spend_retry(daemon, service, failure);
    GenerationEvent::AttemptFailed {
        attempt: id,
        failure,
        may_retry,
    }
}

/// Tells an engine, without waiting, that an attempt is dropped.
fn cancel(daemon: &Daemon, settings: &EndpointSettings, attempt: &str) {
    const CANCEL_TIMEOUT_MS: u64 = 1_000;
    let (http, address) = (daemon.http.clone(), settings.address);
    let path = format!("/attempts/{attempt}/cancel");
    tokio::spawn(async move {
        if let Ok(request) = build_request(
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
        let request = build_request(
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
        HttpError::Incomplete(_) | HttpError::Timeout(_) => RetryReason::AnswerCut,
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
    pub(crate) fingerprint: Arc<str>,
    pub(crate) body: Bytes,
    pub(crate) deadline_ms: u64,
    pub(crate) is_idempotent: bool,
}

/// Drives one call of a plain service until it ends.
pub(crate) async fn run_plain_call(
    daemon: &Arc<Daemon>,
    service: &str,
    call: &PlainCall,
) -> Result<CompleteResponse, Refusal> {
    const MAX_ATTEMPTS: u32 = 3;
    dispatch::record_first_try(daemon, service);
    let mut machine = Call::new(call.is_idempotent, MAX_ATTEMPTS);
    let mut avoid = BTreeSet::new();
    let route = dispatch::RouteOptions::default();
    for failures in 0.. {
        dispatch::wait_before_retry(daemon, failures, call.deadline_ms).await;
        let chosen = choose_in_time(
            daemon,
            service,
            &call.fingerprint,
            &route,
            &avoid,
            call.deadline_ms,
        )
        .await?;
        if let Some(refusal) = machine.on_endpoint_chosen(chosen.as_ref().map(|run| &run.endpoint))
        {
            return Err(refusal);
        }
        let Some(mut run) = chosen else {
            return Err(Refusal::new(ErrorKind::Internal, "no endpoint was chosen"));
        };
        let sent_ms = now_ms();
        let result = tokio::select! {
            result = call_once(daemon, &run.settings, call) => result,
            () = sleep_until(call.deadline_ms) => return Err(machine.on_deadline(true)),
        };
        let failure = match result {
            Ok(answer) => {
                let elapsed_ms = now_ms().saturating_sub(sent_ms);
                dispatch::record_success(daemon, service, &run.endpoint, 1, elapsed_ms);
                run.mark_complete();
                return Ok(answer);
            }
            Err(error) => failure(&error),
        };
        run.record_failure(failure).await;
        drop(run);
        let may_retry = dispatch::try_spend_retry(daemon, service, failure);
        match machine.on_attempt_failed(failure, may_retry) {
            CallEffect::ChooseEndpoint { avoid: next } => avoid = next,
            CallEffect::Refuse(refusal) => return Err(refusal),
        }
    }
    Err(Refusal::new(ErrorKind::Internal, "no attempt is left"))
}

async fn call_once(
    daemon: &Daemon,
    settings: &EndpointSettings,
    call: &PlainCall,
) -> Result<CompleteResponse, HttpError> {
    let http = if call.is_idempotent {
        &daemon.http
    } else {
        &daemon.short_idle_http
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
        .map_err(|_| HttpError::Incomplete(address))?;
    Ok(CompleteResponse {
        status,
        content_type,
        body: body.to_bytes(),
    })
}
