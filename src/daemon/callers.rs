//! Callers: which addresses to use, completions, plain calls.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use poem::{
    Body, IntoResponse, Request, Response, handler,
    http::HeaderMap,
    web::{
        Data, Path, Query,
        sse::{Event as SseEvent, SSE},
    },
};
use serde::Deserialize;
use tokio::sync::{mpsc, watch};

use super::{
    answer::{error_body, json, refuse},
    clock::now_ms,
    config, dispatch,
    endpoints::{self, Generated, PlainCall},
    state::{Daemon, Outcome, WholeAnswer, lock},
};
use crate::{
    core::{
        Name,
        admission::Priority,
        config::ServiceKind,
        request::{Seen, Spec, Ticket, fingerprint},
    },
    error::{ErrorKind, Refusal},
    wire::{
        callers::{
            Addresses, Choice, Completion, CompletionRequest, Entry, IDEMPOTENT, PRIORITY,
            REQUEST_ID, TICKET, TIMEOUT_MS, VersionSpan,
        },
        peers::MemberState,
    },
};

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const MAX_ATTEMPTS: u32 = 4;

/// What the headers say of a request.
#[derive(Clone, Debug)]
struct CallerHeaders {
    id: Arc<str>,
    deadline_ms: u64,
    priority: Priority,
    is_idempotent: bool,
    ticket: Option<Ticket>,
}

/// Counts a request for as long as it runs, so that a shutdown can wait for it.
pub(crate) struct InProgress(Arc<Daemon>);

impl InProgress {
    pub(crate) fn new(daemon: Arc<Daemon>) -> Self {
        daemon.in_progress.fetch_add(1, Ordering::SeqCst);
        Self(daemon)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct AddressQuery {
    data_centre: Option<Name>,
}

/// `GET /v1/addresses`: which VMs callers may use, and for how long.
#[expect(
    clippy::needless_pass_by_value,
    reason = "poem hands extractors over by value"
)]
#[handler]
pub(crate) fn addresses(daemon: Data<&Arc<Daemon>>, query: Query<AddressQuery>) -> Response {
    // A daemon that may be cut off would send callers to VMs that are gone.
    if let Err(refusal) = config::check_fresh(&daemon) {
        return refuse(&daemon, &refusal);
    }
    let members = lock(&daemon.membership);
    let mut entries: Vec<Entry> = members
        .records()
        .filter(|record| record.state == MemberState::Alive)
        .map(|record| {
            let ticket = Ticket {
                vm: record.vm.clone(),
                incarnation: record.incarnation,
            };
            Entry {
                vm: record.vm.clone(),
                data_centre: record.data_centre.clone(),
                address: record.caller_address,
                ticket: ticket.to_text(),
            }
        })
        .collect();
    let near = query
        .data_centre
        .as_ref()
        .unwrap_or(&daemon.settings.data_centre);
    entries.sort_by_key(|entry| entry.data_centre != *near);
    let keep_ms = daemon.settings.limits.keep_addresses_ms;
    json(&Addresses { entries, keep_ms })
}

/// `POST /v1/completions`: a request to a model service.
#[handler]
pub(crate) async fn completions(
    daemon: Data<&Arc<Daemon>>,
    request: &Request,
    body: Body,
) -> Response {
    let daemon: &Arc<Daemon> = daemon.0;
    daemon.metrics.requests.inc();
    match start_completion(daemon, request.headers(), body).await {
        Ok(response) => response,
        Err(refusal) => refuse(daemon, &refusal),
    }
}

/// Any method on `/services/{service}/{path}`: a call of a plain service.
#[handler]
pub(crate) async fn plain_call(
    daemon: Data<&Arc<Daemon>>,
    Path((service, path)): Path<(String, String)>,
    request: &Request,
    body: Body,
) -> Response {
    let daemon: &Arc<Daemon> = daemon.0;
    daemon.metrics.requests.inc();
    match start_call(daemon, &service, &path, request, body).await {
        Ok(response) => response,
        Err(refusal) => refuse(daemon, &refusal),
    }
}

async fn start_completion(
    daemon: &Arc<Daemon>,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let headers = read_headers(daemon, headers)?;
    let body = read_body(daemon, body).await?;
    let completion: CompletionRequest =
        serde_json::from_slice(&body).map_err(|error| bad_request(&error.to_string()))?;
    let service = daemon.service(&completion.model)?;
    if service.kind != ServiceKind::Model {
        return Err(bad_request(&format!(
            "'{}' is not a model service",
            completion.model
        )));
    }
    let fingerprint = fingerprint(&completion.model, &body);
    check_quarantine(daemon, &fingerprint)?;
    let spec = Spec {
        id: format!("{}.{}.{}", daemon.me.vm, daemon.me.incarnation, headers.id).into(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        seed: completion.seed,
        priority: headers.priority as u8,
        deadline_ms: headers.deadline_ms,
        max_attempts: if headers.is_idempotent {
            MAX_ATTEMPTS
        } else {
            1
        },
        continue_elsewhere: service.continue_elsewhere,
    };
    let (pieces, received) = mpsc::unbounded_channel();
    let pieces = completion.stream.then_some(pieces);
    let run_daemon = daemon.clone();
    let (id, model) = (headers.id.clone(), completion.model.clone());
    let run = async move {
        let on_tokens = |tokens: &[Arc<str>], span: VersionSpan| {
            if let Some(pieces) = &pieces {
                // A caller that has gone takes its answer with another request.
                let _ = pieces.send((tokens.concat(), span));
            }
        };
        let generated = endpoints::generate(&run_daemon, &model, spec, on_tokens).await?;
        Ok(whole_completion(&id, &model, &generated))
    };
    let outcome = start_once(daemon, &headers, &fingerprint, run)?;
    if completion.stream {
        return Ok(stream_answer(
            daemon.clone(),
            headers.id,
            completion.model,
            received,
            outcome,
        ));
    }
    wait_for(outcome, headers.deadline_ms)
        .await
        .map(whole_response)
}

async fn start_call(
    daemon: &Arc<Daemon>,
    service: &str,
    path: &str,
    request: &Request,
    body: Body,
) -> Result<Response, Refusal> {
    let headers = read_headers(daemon, request.headers())?;
    let body = read_body(daemon, body).await?;
    let settings = daemon.service(service)?;
    if settings.kind != ServiceKind::Plain {
        return Err(bad_request(&format!("'{service}' is not a plain service")));
    }
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let content_type = request.content_type().unwrap_or("application/octet-stream");
    let call = PlainCall {
        method: request.method().clone(),
        path: format!("/{path}{query}"),
        content_type: content_type.to_owned(),
        id: headers.id.clone(),
        body,
        deadline_ms: headers.deadline_ms,
        is_idempotent: headers.is_idempotent,
    };
    let content = [call.path.as_bytes(), b"\0", &call.body].concat();
    let fingerprint = fingerprint(service, &content);
    check_quarantine(daemon, &fingerprint)?;
    let (run_daemon, service) = (daemon.clone(), service.to_owned());
    let run = async move { endpoints::call(&run_daemon, &service, &call).await };
    let outcome = start_once(daemon, &headers, &fingerprint, run)?;
    wait_for(outcome, headers.deadline_ms)
        .await
        .map(whole_response)
}

/// Runs a request unless its id is known, and returns where its outcome will be.
fn start_once<F>(
    daemon: &Arc<Daemon>,
    headers: &CallerHeaders,
    fingerprint: &Arc<str>,
    run: F,
) -> Result<watch::Receiver<Option<Outcome>>, Refusal>
where
    F: Future<Output = Outcome> + Send + 'static,
{
    check_ticket(daemon, headers)?;
    let id = &headers.id;
    let mut running = lock(&daemon.running);
    match lock(&daemon.deduplication).start(id, fingerprint) {
        Seen::New => {}
        Seen::Reused => {
            return Err(Refusal::new(
                ErrorKind::IdReused,
                format!("the id '{id}' was used with another body"),
            ));
        }
        Seen::Ended(outcome) => {
            daemon.metrics.resends.inc();
            return Ok(watch::Sender::new(Some(outcome)).subscribe());
        }
        Seen::Running => {
            daemon.metrics.resends.inc();
            let lost = Refusal::new(ErrorKind::Internal, "a running request is not known");
            return running.get(id).cloned().ok_or(lost);
        }
    }
    if let Err(refusal) = dispatch::admit(daemon) {
        lock(&daemon.deduplication).cancel(id);
        return Err(refusal);
    }
    let (sender, receiver) = watch::channel(None);
    running.insert(id.clone(), receiver.clone());
    let in_progress = InProgress::new(daemon.clone());
    let (daemon, id) = (daemon.clone(), id.clone());
    tokio::spawn(async move {
        let outcome = run.await;
        end(&daemon, &id, &outcome);
        sender.send_replace(Some(outcome));
        drop(in_progress);
    });
    Ok(receiver)
}

/// Notes how a request ended; one that did not run may be sent again.
fn end(daemon: &Daemon, id: &Arc<str>, outcome: &Outcome) {
    dispatch::on_end(daemon);
    let mut running = lock(&daemon.running);
    running.remove(id);
    let mut deduplication = lock(&daemon.deduplication);
    match outcome {
        Err(refusal) if refusal.answer().not_run => deduplication.cancel(id),
        _ => deduplication.end(now_ms(), id, outcome.clone()),
    }
}

/// A non-idempotent request runs only under a ticket of this very incarnation.
fn check_ticket(daemon: &Daemon, headers: &CallerHeaders) -> Result<(), Refusal> {
    if headers.is_idempotent {
        return Ok(());
    }
    let Some(ticket) = &headers.ticket else {
        return Err(Refusal::new(
            ErrorKind::TicketInvalid,
            "a non-idempotent request needs a ticket",
        ));
    };
    let is_own = ticket.vm == daemon.me.vm && ticket.incarnation == daemon.me.incarnation;
    if is_own {
        return Ok(());
    }
    let message = format!(
        "'{}' issued the ticket, and may have run the request",
        ticket.vm
    );
    Err(Refusal::new(ErrorKind::OutcomeUnknown, message))
}

fn check_quarantine(daemon: &Daemon, fingerprint: &str) -> Result<(), Refusal> {
    if lock(&daemon.quarantine).is_isolated(fingerprint) {
        let message = "requests with this content have crashed endpoints";
        return Err(Refusal::new(ErrorKind::Quarantined, message));
    }
    Ok(())
}

fn read_headers(daemon: &Daemon, headers: &HeaderMap) -> Result<CallerHeaders, Refusal> {
    let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    let id = text(REQUEST_ID).filter(|id| is_id(id));
    let id = id.ok_or_else(|| {
        bad_request(&format!(
            "{REQUEST_ID} is to be 1 to 128 letters, digits, '-' or '_'"
        ))
    })?;
    let timeout_ms: u64 = match text(TIMEOUT_MS) {
        None => DEFAULT_TIMEOUT_MS,
        Some(text) => text
            .parse()
            .map_err(|_| bad_request(&format!("{TIMEOUT_MS} is to be a whole number")))?,
    };
    if timeout_ms == 0 {
        return Err(Refusal::new(
            ErrorKind::DeadlinePassed,
            "the deadline has passed",
        ));
    }
    let priority = match text(PRIORITY) {
        None => Priority::default(),
        Some(text) => text
            .parse()
            .map_err(|_| bad_request(&format!("{PRIORITY} '{text}' is not known")))?,
    };
    let is_idempotent = match text(IDEMPOTENT) {
        None => false,
        Some(text) => text
            .parse()
            .map_err(|_| bad_request(&format!("{IDEMPOTENT} is to be true or false")))?,
    };
    let ticket = match text(TICKET) {
        None => None,
        Some(text) => Some(
            Ticket::try_parse(text)
                .ok_or_else(|| bad_request(&format!("{TICKET} is not a ticket")))?,
        ),
    };
    let timeout_ms = timeout_ms.min(daemon.settings.limits.max_request_ms);
    Ok(CallerHeaders {
        id: id.into(),
        deadline_ms: now_ms() + timeout_ms,
        priority,
        is_idempotent,
        ticket,
    })
}

fn is_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=128).contains(&text.len()) && text.bytes().all(is_allowed)
}

async fn read_body(daemon: &Daemon, body: Body) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(daemon.settings.limits.max_body_bytes).unwrap_or(usize::MAX);
    body.into_bytes_limit(limit)
        .await
        .map_err(|error| match error {
            poem::error::ReadBodyError::PayloadTooLarge => Refusal::new(
                ErrorKind::BodyTooLarge,
                format!("the body has more than {limit} bytes"),
            ),
            error => bad_request(&error.to_string()),
        })
}

fn bad_request(message: &str) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, message)
}

async fn wait_for(mut outcome: watch::Receiver<Option<Outcome>>, deadline_ms: u64) -> Outcome {
    /// The run sees the same deadline itself; this is only for a resend that
    /// joins a run with a later one.
    const GRACE_MS: u64 = 100;
    let left_ms = (deadline_ms + GRACE_MS).saturating_sub(now_ms());
    let waiting = outcome.wait_for(Option::is_some);
    match tokio::time::timeout(Duration::from_millis(left_ms), waiting).await {
        Ok(Ok(outcome)) => outcome
            .clone()
            .unwrap_or_else(|| Err(Refusal::new(ErrorKind::Internal, "no outcome"))),
        Ok(Err(_)) => Err(Refusal::new(
            ErrorKind::Internal,
            "the request's task ended",
        )),
        Err(_) => Err(Refusal::new(ErrorKind::TimedOut, "the deadline passed")),
    }
}

fn whole_completion(id: &Arc<str>, model: &Name, generated: &Generated) -> WholeAnswer {
    let text = generated.tokens.concat();
    let reason = Some(generated.finish_reason.clone());
    let completion = piece(id, model, text, reason, generated.spans.clone());
    WholeAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: serde_json::to_vec(&completion).unwrap_or_default().into(),
    }
}

fn whole_response(answer: WholeAnswer) -> Response {
    let status = poem::http::StatusCode::from_u16(answer.status).unwrap_or_default();
    Response::builder()
        .status(status)
        .content_type(&answer.content_type)
        .body(answer.body)
}

fn piece(
    id: &Arc<str>,
    model: &Name,
    text: String,
    finish_reason: Option<Arc<str>>,
    weights: Vec<VersionSpan>,
) -> Completion {
    Completion {
        id: id.clone(),
        object: "text_completion".into(),
        model: model.clone(),
        choices: vec![Choice {
            index: 0,
            text,
            finish_reason,
        }],
        weights,
    }
}

type Pieces = mpsc::UnboundedReceiver<(String, VersionSpan)>;

/// Streams the pieces as they come, then the end or an `error` event.
fn stream_answer(
    daemon: Arc<Daemon>,
    id: Arc<str>,
    model: Name,
    pieces: Pieces,
    outcome: watch::Receiver<Option<Outcome>>,
) -> Response {
    let (first_id, first_model) = (id.clone(), model.clone());
    let texts = stream::unfold((pieces, 0_usize), |(mut pieces, sent)| async move {
        let (text, span) = pieces.recv().await?;
        Some(((text, span), (pieces, sent + 1)))
    });
    let sent = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let has_sent = sent.clone();
    let texts = texts.map(move |(text, span)| {
        sent.store(true, Ordering::Relaxed);
        sse_json(&piece(&first_id, &first_model, text, None, vec![span]))
    });
    let last = stream::once(async move {
        let outcome = wait_for(outcome, u64::MAX / 2).await;
        let answer = match outcome {
            Ok(answer) => answer,
            Err(refusal) => {
                let body =
                    serde_json::to_string(&error_body(&daemon, &refusal)).unwrap_or_default();
                return vec![SseEvent::message(body).event_type("error")];
            }
        };
        let whole: Option<Completion> = serde_json::from_slice(&answer.body).ok();
        let reason = whole
            .as_ref()
            .and_then(|whole| whole.choices.first()?.finish_reason.clone());
        // A resend has seen no pieces: it gets the whole text at once.
        let (text, weights) = match whole {
            Some(whole) if !has_sent.load(Ordering::Relaxed) => (
                whole
                    .choices
                    .into_iter()
                    .map(|choice| choice.text)
                    .collect(),
                whole.weights,
            ),
            _ => (String::new(), Vec::new()),
        };
        vec![
            sse_json(&piece(&id, &model, text, reason, weights)),
            SseEvent::message("[DONE]"),
        ]
    });
    SSE::new(texts.chain(last.flat_map(stream::iter))).into_response()
}

fn sse_json(completion: &Completion) -> SseEvent {
    SseEvent::message(serde_json::to_string(completion).unwrap_or_default())
}
