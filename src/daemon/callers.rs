//! Callers: which addresses to use, completions, plain calls.

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
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
use tokio::sync::mpsc;

use super::{
    at_most_once::{self, PendingOutcome},
    clock::now_ms,
    config, crash, dispatch,
    endpoints::{self, Generated, PlainCall},
    gate,
    response::{error_body, json_response, refusal_response},
    state::{CompleteResponse, Daemon, Outcome, lock},
};
use crate::{
    core::{
        Name,
        admission::Priority,
        config::ServiceKind,
        request::{GenerationSpec, Ticket, fingerprint},
    },
    error::{ErrorKind, Refusal},
    wire::callers::{
        AddressEntry, Addresses, Choice, Completion, CompletionRequest, IDEMPOTENT_HEADER,
        PRIORITY_HEADER, REQUEST_ID_HEADER, TICKET_HEADER, TIMEOUT_HEADER, VersionSpan,
    },
};

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const MAX_ATTEMPTS: u32 = 4;

/// What the headers say of a request.
#[derive(Clone, Debug)]
pub(crate) struct CallerHeaders {
    pub(crate) id: Arc<str>,
    pub(crate) deadline_ms: u64,
    pub(crate) priority: Priority,
    pub(crate) is_idempotent: bool,
    pub(crate) ticket: Option<Ticket>,
}

/// Counts a request for as long as it runs, so that a shutdown can wait for it.
pub(crate) struct InProgressGuard(Arc<Daemon>);

impl InProgressGuard {
    pub(crate) fn new(daemon: Arc<Daemon>) -> Self {
        daemon.requests_in_progress.fetch_add(1, Ordering::SeqCst);
        Self(daemon)
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.requests_in_progress.fetch_sub(1, Ordering::SeqCst);
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
        return refusal_response(&daemon, &refusal);
    }
    let issued_ms = daemon.ticket_clock.unix_ms_at(now_ms());
    let near = query
        .data_centre
        .as_ref()
        .unwrap_or(&daemon.settings.data_centre);
    let members = lock(&daemon.membership);
    let drawn = members.draw_members_for_caller(near, &mut *lock(&daemon.rng));
    let entries = drawn
        .into_iter()
        .map(|record| {
            let ticket = Ticket {
                vm: record.vm.clone(),
                incarnation: record.incarnation,
                issued_ms,
            };
            AddressEntry {
                vm: record.vm.clone(),
                data_centre: record.data_centre.clone(),
                address: record.caller_address,
                ticket: ticket.to_text(),
            }
        })
        .collect();
    let keep_ms = daemon.settings.limits.keep_addresses_ms;
    json_response(&Addresses { entries, keep_ms })
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
        Err(refusal) => refusal_response(daemon, &refusal),
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
        Err(refusal) => refusal_response(daemon, &refusal),
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
    let content = endpoints::content_fingerprint(&completion.model, &completion.prompt);
    crash::refuse_isolated(daemon, &content)?;
    let run_number = daemon.next_run_number.fetch_add(1, Ordering::Relaxed);
    let me = &daemon.own_record;
    let spec = GenerationSpec {
        // An id may run again, and then its attempts must be others.
        id: format!("{}.{}.{run_number}.{}", me.vm, me.incarnation, headers.id).into(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        seed: completion.seed,
        priority: headers.priority as u8,
        deadline_ms: headers.deadline_ms,
        is_idempotent: headers.is_idempotent,
        max_attempts: MAX_ATTEMPTS,
        continue_elsewhere: service.continue_elsewhere,
    };
    let (pieces, received) = mpsc::unbounded_channel();
    let pieces = completion.stream.then_some(pieces);
    let run_daemon = daemon.clone();
    let (id, model) = (headers.id.clone(), completion.model.clone());
    let priority = headers.priority;
    let run = move |waiting| async move {
        let gone = at_most_once::wait_until_abandoned(run_daemon.clone(), id.clone(), waiting);
        let on_tokens = |tokens: &[Arc<str>], span: VersionSpan| {
            if let Some(pieces) = &pieces {
                // A caller that has gone takes its answer with another request.
                let _ = pieces.send((tokens.concat(), span));
            }
        };
        let permit =
            gate::wait_for_admission(&run_daemon, &model, priority, spec.deadline_ms).await?;
        let route = dispatch::RouteOptions::default();
        let generated =
            endpoints::generate(&run_daemon, &model, spec, route, on_tokens, gone).await;
        permit.record_outcome(&generated);
        let generated = generated?;
        Ok(whole_completion(&id, &model, &generated))
    };
    let may_abandon = headers.is_idempotent;
    let awaited = at_most_once::start_once(daemon, &headers, &fingerprint, may_abandon, run)?;
    if completion.stream {
        return Ok(stream_answer(
            daemon.clone(),
            headers.id,
            completion.model,
            received,
            awaited,
        ));
    }
    wait_for(awaited, headers.deadline_ms)
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
    let target = format!("/{path}{query}");
    let content = [target.as_bytes(), b"\0", &body].concat();
    let fingerprint = fingerprint(service, &content);
    crash::refuse_isolated(daemon, &fingerprint)?;
    let call = PlainCall {
        method: request.method().clone(),
        path: target,
        fingerprint: fingerprint.clone(),
        content_type: content_type.to_owned(),
        id: headers.id.clone(),
        body,
        deadline_ms: headers.deadline_ms,
        is_idempotent: headers.is_idempotent,
    };
    let (run_daemon, service) = (daemon.clone(), service.to_owned());
    let priority = headers.priority;
    let run = move |_| async move {
        let permit =
            gate::wait_for_admission(&run_daemon, &service, priority, call.deadline_ms).await?;
        let answer = endpoints::run_plain_call(&run_daemon, &service, &call).await;
        permit.record_outcome(&answer);
        answer
    };
    let awaited = at_most_once::start_once(daemon, &headers, &fingerprint, false, run)?;
    wait_for(awaited, headers.deadline_ms)
        .await
        .map(whole_response)
}

fn read_headers(daemon: &Daemon, headers: &HeaderMap) -> Result<CallerHeaders, Refusal> {
    let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    let id = text(REQUEST_ID_HEADER).filter(|id| is_id(id));
    let id = id.ok_or_else(|| {
        bad_request(&format!(
            "{REQUEST_ID_HEADER} is to be 1 to 128 letters, digits, '-' or '_'"
        ))
    })?;
    let timeout_ms: u64 = match text(TIMEOUT_HEADER) {
        None => DEFAULT_TIMEOUT_MS,
        Some(text) => text
            .parse()
            .map_err(|_| bad_request(&format!("{TIMEOUT_HEADER} is to be a whole number")))?,
    };
    if timeout_ms == 0 {
        return Err(Refusal::new(
            ErrorKind::DeadlinePassed,
            "the deadline has passed",
        ));
    }
    let priority = match text(PRIORITY_HEADER) {
        None => Priority::default(),
        Some(text) => text
            .parse()
            .map_err(|_| bad_request(&format!("{PRIORITY_HEADER} '{text}' is not known")))?,
    };
    let is_idempotent = match text(IDEMPOTENT_HEADER) {
        None => false,
        Some(text) => text
            .parse()
            .map_err(|_| bad_request(&format!("{IDEMPOTENT_HEADER} is to be true or false")))?,
    };
    let ticket = match text(TICKET_HEADER) {
        None => None,
        Some(text) => Some(
            Ticket::try_parse(text)
                .ok_or_else(|| bad_request(&format!("{TICKET_HEADER} is not a ticket")))?,
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

/// Reads a body. One that is too large is read on and dropped, up to a bound:
/// a caller that is still sending would see a broken connection and not the
/// refusal.
async fn read_body(daemon: &Daemon, body: Body) -> Result<Bytes, Refusal> {
    const MAX_DROPPED_BYTES: usize = 64 * 1024 * 1024;
    let limit = usize::try_from(daemon.settings.limits.max_body_bytes).unwrap_or(usize::MAX);
    let mut pieces = pin!(body.into_bytes_stream());
    let (mut read, mut len) = (BytesMut::new(), 0);
    while let Some(piece) = pieces.next().await {
        let piece = piece.map_err(|error| bad_request(&error.to_string()))?;
        len += piece.len();
        if len <= limit {
            read.extend_from_slice(&piece);
        } else if len > limit.saturating_add(MAX_DROPPED_BYTES) {
            break;
        }
    }
    if len > limit {
        let message = format!("the body has more than {limit} bytes");
        return Err(Refusal::new(ErrorKind::BodyTooLarge, message));
    }
    Ok(read.freeze())
}

fn bad_request(message: &str) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, message)
}

async fn wait_for(mut awaited: PendingOutcome, deadline_ms: u64) -> Outcome {
    /// The run sees the same deadline itself; this is only for a resend that
    /// joins a run with a later one.
    const GRACE_MS: u64 = 100;
    let left_ms = (deadline_ms + GRACE_MS).saturating_sub(now_ms());
    let waiting = awaited.outcome.wait_for(Option::is_some);
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

fn whole_completion(id: &Arc<str>, model: &Name, generated: &Generated) -> CompleteResponse {
    let text = generated.tokens.concat();
    let reason = Some(generated.finish_reason.clone());
    let completion = piece(id, model, text, reason, generated.spans.clone());
    CompleteResponse {
        status: 200,
        content_type: "application/json".into(),
        body: serde_json::to_vec(&completion).unwrap_or_default().into(),
    }
}

fn whole_response(answer: CompleteResponse) -> Response {
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
    awaited: PendingOutcome,
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
    // Counted until the last piece has been taken to be written.
    let in_progress = InProgressGuard::new(daemon.clone());
    let last = stream::once(async move {
        let _in_progress = in_progress;
        let outcome = wait_for(awaited, u64::MAX / 2).await;
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
