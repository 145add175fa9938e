//! Sends requests to endpoints and retries them.

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

/// A complete generated text.
#[derive(Clone, Debug)]
pub(crate) struct Generated {
    pub(crate) tokens: Vec<Arc<str>>,
    pub(crate) spans: Vec<VersionSpan>,
    pub(crate) finish_reason: Arc<str>,
}

/// An attempt that is running at an endpoint.
struct Attempt {
    id: Arc<str>,
    run: EndpointRun,
    started_ms: u64,
    /// When the first chunk arrived.
    first_chunk_ms: Option<u64>,
    /// How many tokens arrived after the first chunk.
    tokens_after_first: u32,
    chunks: BoxStream<'static, Result<Chunk, AttemptFailure>>,
}

/// Returns the fingerprint under which a model request is blamed for crashes.
///
/// It does not include the seed and the lengths: a request that changes only
/// these has the same content.
pub(crate) fn content_fingerprint(service: &str, prompt: &str) -> Arc<str> {
    fingerprint(service, prompt.as_bytes())
}

/// Runs a request to a model service, with retries, until it ends or `caller_gone`
/// completes, which means that no caller waits for the response any more.
///
/// Dropping the future closes the connection, which tells the engine to stop
/// the attempt.
pub(crate) async fn generate<F, G>(
    daemon: &Arc<Daemon>,
    service: &str,
    spec: GenerationSpec,
    route: dispatch::RouteOptions,
    mut on_tokens: F,
    caller_gone: G,
) -> Result<Generated, Refusal>
where
    F: FnMut(&[Arc<str>], VersionSpan) + Send,
    G: Future<Output = ()> + Send,
{
    dispatch::record_first_attempt(daemon, service);
    let fingerprint = content_fingerprint(service, &spec.prompt);
    let mut caller_gone = pin!(caller_gone);
    let mut effects = Vec::new();
    let mut generation = Generation::new(spec, &mut effects);
    let mut queue = VecDeque::from(effects);
    let mut chosen: Option<EndpointRun> = None;
    let mut last_run: Option<EndedRun> = None;
    let mut attempt: Option<Attempt> = None;
    let mut route = route;
    let mut failures = 0;
    loop {
        let mut next_effects = Vec::new();
        let Some(effect) = queue.pop_front() else {
            let attempt_event = tokio::select! {
                biased;
                () = &mut caller_gone => AttemptEvent::CallerGone,
                event = next_event(daemon, service, &route, &mut attempt, &generation) => event,
            };
            if let AttemptEvent::Failed(failure) = &attempt_event {
                failures += 1;
                // A sample is moved only once: a second move would cost more time
                // than it saves.
                route
                    .is_tail
                    .take_if(|_| failure.reason == RetryReason::Straggler);
            }
            let event =
                end_failed_attempt(daemon, service, attempt_event, &mut attempt, &mut last_run)
                    .await;
            generation.handle(now_ms(), event, &mut next_effects);
            queue.extend(next_effects);
            continue;
        };
        match effect {
            GenerationEffect::ChooseEndpoint { avoid } => {
                let deadline_ms = generation.deadline_ms();
                dispatch::wait_before_retry(daemon, failures, deadline_ms).await;
                chosen = choose_before_deadline(
                    daemon,
                    service,
                    &fingerprint,
                    &route,
                    &avoid,
                    deadline_ms,
                )
                .await?;
                let name = chosen.as_ref().map(|run| run.endpoint.clone());
                generation.handle(
                    now_ms(),
                    GenerationEvent::EndpointChosen(name),
                    &mut next_effects,
                );
            }
            GenerationEffect::Start { generate, .. } => {
                attempt = chosen
                    .take()
                    .map(|run| start_attempt(daemon, run, generate));
            }
            GenerationEffect::Resume { generate, .. } => {
                let run = last_run.take().map(EndedRun::restart);
                attempt = run.map(|run| start_attempt(daemon, run, generate));
            }
            GenerationEffect::Cancel { .. } => {
                if let Some(attempt) = attempt.take() {
                    cancel_attempt(daemon, &attempt.run.settings, &attempt.id);
                }
            }
            GenerationEffect::Forward { tokens, span } => {
                daemon.metrics.tokens.inc_by(tokens.len() as u64);
                on_tokens(&tokens, span);
            }
            GenerationEffect::Finish { reason } => {
                if let Some(mut attempt) = attempt.take() {
                    record_pace(daemon, service, &attempt);
                    attempt.run.mark_complete();
                }
                return Ok(Generated {
                    tokens: generation.tokens().to_vec(),
                    spans: generation.spans().to_vec(),
                    finish_reason: reason,
                });
            }
            GenerationEffect::Refuse(refusal) => return Err(refusal),
        }
        queue.extend(next_effects);
    }
}

fn start_attempt(daemon: &Daemon, run: EndpointRun, generate: Generate) -> Attempt {
    Attempt {
        id: generate.attempt.clone(),
        chunks: open_chunk_stream(daemon, &run.settings, generate),
        run,
        started_ms: now_ms(),
        first_chunk_ms: None,
        tokens_after_first: 0,
    }
}

/// Records how fast an endpoint generated tokens after the first chunk. The time
/// before it includes the wait for a slot.
fn record_pace(daemon: &Daemon, service: &str, attempt: &Attempt) {
    const MIN_PACE_TOKENS: u32 = 8;
    if let Some(first_chunk_ms) = attempt
        .first_chunk_ms
        .filter(|_| attempt.tokens_after_first >= MIN_PACE_TOKENS)
    {
        let elapsed_ms = now_ms().saturating_sub(first_chunk_ms);
        let endpoint = &attempt.run.endpoint;
        dispatch::record_success(
            daemon,
            service,
            endpoint,
            attempt.tokens_after_first,
            elapsed_ms,
        );
    }
}

/// Chooses an endpoint. While the content is on trial, waits until the deadline.
async fn choose_before_deadline(
    daemon: &Arc<Daemon>,
    service: &str,
    fingerprint: &Arc<str>,
    route: &dispatch::RouteOptions,
    avoid: &BTreeSet<Name>,
    deadline_ms: u64,
) -> Result<Option<EndpointRun>, Refusal> {
    const TRIAL_POLL_INTERVAL_MS: u64 = 10;
    loop {
        match crash::choose_endpoint(daemon, service, fingerprint, route, avoid)? {
            EndpointChoice::Chosen(run) => return Ok(Some(run)),
            EndpointChoice::None => return Ok(None),
            EndpointChoice::Wait if now_ms() >= deadline_ms => return Ok(None),
            EndpointChoice::Wait => {
                tokio::time::sleep(Duration::from_millis(TRIAL_POLL_INTERVAL_MS)).await;
            }
        }
    }
}

/// An event of the running attempt, of its caller or of the deadline.
enum AttemptEvent {
    Chunk(Chunk),
    Failed(AttemptFailure),
    Deadline,
    CallerGone,
}

/// Waits for the next event of the attempt, or for the deadline.
async fn next_event(
    daemon: &Daemon,
    service: &str,
    route: &dispatch::RouteOptions,
    attempt: &mut Option<Attempt>,
    generation: &Generation,
) -> AttemptEvent {
    const STRAGGLER_CHECK_INTERVAL_MS: u64 = 1_000;
    let deadline_ms = generation.deadline_ms();
    let Some(attempt) = attempt else {
        sleep_until(deadline_ms).await;
        return AttemptEvent::Deadline;
    };
    let failed = |reason| {
        AttemptEvent::Failed(AttemptFailure {
            reason,
            was_sent: true,
        })
    };
    loop {
        let straggler_check_ms = route
            .is_tail
            .as_ref()
            .map(|_| now_ms() + STRAGGLER_CHECK_INTERVAL_MS);
        return tokio::select! {
            biased;
            chunk = attempt.chunks.next() => match chunk {
                Some(Ok(chunk)) => {
                    attempt.record_chunk(&chunk);
                    AttemptEvent::Chunk(chunk)
                }
                Some(Err(failure)) => AttemptEvent::Failed(failure),
                None => failed(RetryReason::AnswerCut),
            },
            () = sleep_until(deadline_ms) => AttemptEvent::Deadline,
            () = sleep_until(straggler_check_ms.unwrap_or(u64::MAX)) => {
                if dispatch::is_straggling(
                    daemon,
                    service,
                    route,
                    attempt.started_ms,
                    attempt.tokens_after_first,
                ) {
                    failed(RetryReason::Straggler)
                } else {
                    continue;
                }
            }
            () = sleep_until(generation.stalls_at_ms().unwrap_or(u64::MAX)) => {
                failed(RetryReason::AnswerStalled)
            }
        };
    }
}

impl Attempt {
    fn record_chunk(&mut self, chunk: &Chunk) {
        if self.first_chunk_ms.is_none() {
            self.first_chunk_ms = Some(now_ms());
        } else {
            self.tokens_after_first += u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
        }
    }
}

/// Converts an event of an attempt to an event of its generation, and ends the
/// attempt if it failed.
async fn end_failed_attempt(
    daemon: &Daemon,
    service: &str,
    attempt_event: AttemptEvent,
    attempt: &mut Option<Attempt>,
    last_run: &mut Option<EndedRun>,
) -> GenerationEvent {
    let failure = match attempt_event {
        AttemptEvent::Chunk(chunk) => return GenerationEvent::Chunk(chunk),
        AttemptEvent::Deadline => return GenerationEvent::Deadline,
        AttemptEvent::CallerGone => return GenerationEvent::CallerGone,
        AttemptEvent::Failed(failure) => failure,
    };
    let Some(Attempt { id, mut run, .. }) = attempt.take() else {
        return GenerationEvent::Deadline;
    };
    if failure.reason != RetryReason::Straggler {
        run.record_failure(failure).await;
    }
    cancel_attempt(daemon, &run.settings, &id);
    // Kept in case the generation must resume at the same endpoint.
    *last_run = Some(run.finish());
    let may_retry = dispatch::try_spend_retry(daemon, service, failure);
    GenerationEvent::AttemptFailed {
        attempt: id,
        failure,
        may_retry,
    }
}

/// Cancels an attempt at its engine, without waiting for the response.
fn cancel_attempt(daemon: &Daemon, settings: &EndpointSettings, attempt: &str) {
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
            // Errors are ignored: the engine also detects the closed connection.
            let _ = http.exchange(address, request, CANCEL_TIMEOUT_MS).await;
        }
    });
}

/// Starts an attempt at an endpoint and returns the stream of its chunks.
fn open_chunk_stream(
    daemon: &Daemon,
    settings: &EndpointSettings,
    generate: Generate,
) -> BoxStream<'static, Result<Chunk, AttemptFailure>> {
    let (http, address) = (daemon.http.clone(), settings.address);
    let open = async move {
        let body = serde_json::to_vec(&generate).unwrap_or_default();
        let request = build_request(
            Method::POST,
            address,
            "/generate",
            "application/json",
            body.into(),
        )
        .map_err(|error| attempt_failure(&error))?;
        let response = http
            .send(address, request)
            .await
            .map_err(|error| attempt_failure(&error))?;
        if !response.status().is_success() {
            return Err(AttemptFailure {
                reason: RetryReason::EndpointRefused,
                was_sent: true,
            });
        }
        Ok(parse_chunks(response.into_body()))
    };
    futures_util::stream::once(open)
        .flat_map(|result| match result {
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

fn attempt_failure(error: &HttpError) -> AttemptFailure {
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

/// Runs a call of a plain service, with retries, until it ends.
pub(crate) async fn run_plain_call(
    daemon: &Arc<Daemon>,
    service: &str,
    call: &PlainCall,
) -> Result<CompleteResponse, Refusal> {
    const MAX_CALL_ATTEMPTS: u32 = 3;
    dispatch::record_first_attempt(daemon, service);
    let mut call_state = Call::new(call.is_idempotent, MAX_CALL_ATTEMPTS);
    let mut avoid = BTreeSet::new();
    let route = dispatch::RouteOptions::default();
    for failures in 0.. {
        dispatch::wait_before_retry(daemon, failures, call.deadline_ms).await;
        let chosen = choose_before_deadline(
            daemon,
            service,
            &call.fingerprint,
            &route,
            &avoid,
            call.deadline_ms,
        )
        .await?;
        if let Some(refusal) =
            call_state.on_endpoint_chosen(chosen.as_ref().map(|run| &run.endpoint))
        {
            return Err(refusal);
        }
        let Some(mut run) = chosen else {
            return Err(Refusal::new(ErrorKind::Internal, "no endpoint was chosen"));
        };
        let sent_ms = now_ms();
        let result = tokio::select! {
            result = send_plain_call(daemon, &run.settings, call) => result,
            () = sleep_until(call.deadline_ms) => return Err(call_state.on_deadline(true)),
        };
        let failure = match result {
            Ok(response) => {
                let elapsed_ms = now_ms().saturating_sub(sent_ms);
                dispatch::record_success(daemon, service, &run.endpoint, 1, elapsed_ms);
                run.mark_complete();
                return Ok(response);
            }
            Err(error) => attempt_failure(&error),
        };
        run.record_failure(failure).await;
        drop(run);
        let may_retry = dispatch::try_spend_retry(daemon, service, failure);
        match call_state.on_attempt_failed(failure, may_retry) {
            CallEffect::ChooseEndpoint { avoid: next_avoid } => avoid = next_avoid,
            CallEffect::Refuse(refusal) => return Err(refusal),
        }
    }
    Err(Refusal::new(ErrorKind::Internal, "no attempt is left"))
}

/// Sends one attempt of a plain call and reads the complete response.
async fn send_plain_call(
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
