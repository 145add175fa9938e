//! Serves callers: address lists, completions and plain calls.

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

const DEFAULT_REQUEST_TIMEOUT_MS: u64 = 30_000;
const MAX_COMPLETION_ATTEMPTS: u32 = 4;

/// The parsed headers of a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallerHeaders {
    pub(crate) id: Arc<str>,
    pub(crate) deadline_ms: u64,
    pub(crate) priority: Priority,
    pub(crate) is_idempotent: bool,
    pub(crate) ticket: Option<Ticket>,
}

/// Counts a request as in progress until it is dropped, so that a shutdown can
/// wait for it.
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

/// Handles `GET /v1/addresses`: returns the VMs that callers may use, and how
/// long the list is valid.
#[expect(
    clippy::needless_pass_by_value,
    reason = "poem passes extractors by value"
)]
#[handler]
pub(crate) fn addresses(daemon: Data<&Arc<Daemon>>, query: Query<AddressQuery>) -> Response {
    // A daemon that may be partitioned could return VMs that no longer exist.
    if let Err(refusal) = config::check_fresh(&daemon) {
        return refusal_response(&daemon, &refusal);
    }
    let issued_ms = daemon.ticket_clock.unix_ms_at(now_ms());
    let near_data_centre = query
        .data_centre
        .as_ref()
        .unwrap_or(&daemon.settings.data_centre);
    let members = lock(&daemon.membership);
    let drawn = members.draw_members_for_caller(near_data_centre, &mut *lock(&daemon.rng));
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

/// Handles `POST /v1/completions`: a request to a model service.
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

/// Handles any method on `/services/{service}/{path}`: a call of a plain service.
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
    let completion: CompletionRequest = serde_json::from_slice(&body)
        .map_err(|error| bad_request(&format!("the body of the request is invalid: {error}")))?;
    let service = daemon.service(&completion.model)?;
    if service.kind != ServiceKind::Model {
        return Err(bad_request(&format!(
            "'{}' is not a model service",
            completion.model
        )));
    }
    let fingerprint = fingerprint(&completion.model, &body);
    let content = endpoints::content_fingerprint(&completion.model, &completion.prompt);
    crash::refuse_quarantined(daemon, &content)?;
    let run_number = daemon.next_run_number.fetch_add(1, Ordering::Relaxed);
    let own_record = &daemon.own_record;
    let spec = GenerationSpec {
        // A request id may run again; the run number keeps the ids of its
        // attempts unique.
        id: format!(
            "{}.{}.{run_number}.{}",
            own_record.vm, own_record.incarnation, headers.id
        )
        .into(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        seed: completion.seed,
        priority: headers.priority as u8,
        deadline_ms: headers.deadline_ms,
        is_idempotent: headers.is_idempotent,
        max_attempts: MAX_COMPLETION_ATTEMPTS,
        continue_elsewhere: service.continue_elsewhere,
    };
    let (part_sender, part_receiver) = mpsc::unbounded_channel();
    let part_sender = completion.stream.then_some(part_sender);
    let run_daemon = daemon.clone();
    let (id, model) = (headers.id.clone(), completion.model.clone());
    let priority = headers.priority;
    let run = move |waiters| async move {
        let caller_gone =
            at_most_once::wait_until_abandoned(run_daemon.clone(), id.clone(), waiters);
        let on_tokens = |tokens: &[Arc<str>], span: VersionSpan| {
            if let Some(part_sender) = &part_sender {
                // An error means that the caller has disconnected; it gets the
                // response by a resend.
                let _ = part_sender.send((tokens.concat(), span));
            }
        };
        let permit =
            gate::wait_for_admission(&run_daemon, &model, priority, spec.deadline_ms).await?;
        let route = dispatch::RouteOptions::default();
        let generated =
            endpoints::generate(&run_daemon, &model, spec, route, on_tokens, caller_gone).await;
        permit.record_outcome(&generated);
        let generated = generated?;
        Ok(complete_response(&id, &model, &generated))
    };
    let may_abandon = headers.is_idempotent;
    let pending = at_most_once::start_once(daemon, &headers, &fingerprint, may_abandon, run)?;
    if completion.stream {
        return Ok(stream_response(
            daemon.clone(),
            headers.id,
            completion.model,
            part_receiver,
            pending,
        ));
    }
    wait_for_outcome(pending, headers.deadline_ms)
        .await
        .map(http_response)
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
    crash::refuse_quarantined(daemon, &fingerprint)?;
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
        let outcome = endpoints::run_plain_call(&run_daemon, &service, &call).await;
        permit.record_outcome(&outcome);
        outcome
    };
    let pending = at_most_once::start_once(daemon, &headers, &fingerprint, false, run)?;
    wait_for_outcome(pending, headers.deadline_ms)
        .await
        .map(http_response)
}

/// Parses the headers of a caller's request.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] for a missing or malformed header, and
/// [`ErrorKind::DeadlinePassed`] for a timeout of 0.
fn read_headers(daemon: &Daemon, headers: &HeaderMap) -> Result<CallerHeaders, Refusal> {
    let header_text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    let id = header_text(REQUEST_ID_HEADER).filter(|id| is_request_id(id));
    let id = id.ok_or_else(|| {
        bad_request(&format!(
            "{REQUEST_ID_HEADER} must be 1 to 128 letters, digits, '-' or '_'"
        ))
    })?;
    let timeout_ms: u64 = match header_text(TIMEOUT_HEADER) {
        None => DEFAULT_REQUEST_TIMEOUT_MS,
        Some(text) => text.parse().map_err(|_| {
            bad_request(&format!("{TIMEOUT_HEADER} '{text}' is not a whole number"))
        })?,
    };
    if timeout_ms == 0 {
        return Err(Refusal::new(
            ErrorKind::DeadlinePassed,
            format!("{TIMEOUT_HEADER} is 0: the deadline has passed"),
        ));
    }
    let priority = match header_text(PRIORITY_HEADER) {
        None => Priority::default(),
        Some(text) => text.parse().map_err(|_| {
            bad_request(&format!(
                "{PRIORITY_HEADER} '{text}' is not interactive, normal or background"
            ))
        })?,
    };
    let is_idempotent = match header_text(IDEMPOTENT_HEADER) {
        None => false,
        Some(text) => text.parse().map_err(|_| {
            bad_request(&format!(
                "{IDEMPOTENT_HEADER} '{text}' is not true or false"
            ))
        })?,
    };
    let ticket = match header_text(TICKET_HEADER) {
        None => None,
        Some(text) => Some(
            Ticket::try_parse(text)
                .ok_or_else(|| bad_request(&format!("{TICKET_HEADER} '{text}' is not a ticket")))?,
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

fn is_request_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=128).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Reads the body of a request.
///
/// The rest of a body that is too large is read and discarded, up to a limit.
/// Otherwise a caller that is still sending would see a closed connection
/// instead of the refusal.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] if the body cannot be read, and
/// [`ErrorKind::BodyTooLarge`] if it exceeds the limit of the settings.
async fn read_body(daemon: &Daemon, body: Body) -> Result<Bytes, Refusal> {
    const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
    let limit = usize::try_from(daemon.settings.limits.max_body_bytes).unwrap_or(usize::MAX);
    let mut chunks = pin!(body.into_bytes_stream());
    let (mut bytes, mut len) = (BytesMut::new(), 0);
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| {
            bad_request(&format!("the body of the request cannot be read: {error}"))
        })?;
        len += chunk.len();
        if len <= limit {
            bytes.extend_from_slice(&chunk);
        } else if len > limit.saturating_add(MAX_DISCARDED_BYTES) {
            break;
        }
    }
    if len > limit {
        let message = format!("the body exceeds the limit of {limit} bytes");
        return Err(Refusal::new(ErrorKind::BodyTooLarge, message));
    }
    Ok(bytes.freeze())
}

fn bad_request(message: &str) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, message)
}

/// Waits for the outcome of a request until its deadline.
async fn wait_for_outcome(mut pending: PendingOutcome, deadline_ms: u64) -> Outcome {
    /// A run ends at its own deadline. The wait ends by itself, after this
    /// grace, only for a resend that has joined a run with a later deadline.
    const DEADLINE_GRACE_MS: u64 = 100;
    let remaining_ms = (deadline_ms + DEADLINE_GRACE_MS).saturating_sub(now_ms());
    let outcome = pending.outcome.wait_for(Option::is_some);
    match tokio::time::timeout(Duration::from_millis(remaining_ms), outcome).await {
        Ok(Ok(outcome)) => outcome.clone().unwrap_or_else(|| {
            Err(Refusal::new(
                ErrorKind::Internal,
                "the request ended without an outcome",
            ))
        }),
        Ok(Err(_)) => Err(Refusal::new(
            ErrorKind::Internal,
            "the request's task ended without an outcome",
        )),
        Err(_) => Err(Refusal::new(
            ErrorKind::TimedOut,
            "the deadline passed before the outcome was known",
        )),
    }
}

fn complete_response(id: &Arc<str>, model: &Name, generated: &Generated) -> CompleteResponse {
    let text = generated.tokens.concat();
    let reason = Some(generated.finish_reason.clone());
    let completion = completion_part(id, model, text, reason, generated.spans.clone());
    CompleteResponse {
        status: 200,
        content_type: "application/json".into(),
        body: serde_json::to_vec(&completion).unwrap_or_default().into(),
    }
}

fn http_response(response: CompleteResponse) -> Response {
    let status = poem::http::StatusCode::from_u16(response.status).unwrap_or_default();
    Response::builder()
        .status(status)
        .content_type(&response.content_type)
        .body(response.body)
}

fn completion_part(
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

type PartReceiver = mpsc::UnboundedReceiver<(String, VersionSpan)>;

/// Streams the parts of a completion as they are generated, followed by the last
/// part and `[DONE]`, or by an `error` event.
fn stream_response(
    daemon: Arc<Daemon>,
    id: Arc<str>,
    model: Name,
    parts: PartReceiver,
    pending: PendingOutcome,
) -> Response {
    let (part_id, part_model) = (id.clone(), model.clone());
    let parts = stream::unfold((parts, 0_usize), |(mut parts, part_count)| async move {
        let (text, span) = parts.recv().await?;
        Some(((text, span), (parts, part_count + 1)))
    });
    let has_sent_writer = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let has_sent = has_sent_writer.clone();
    let part_events = parts.map(move |(text, span)| {
        has_sent_writer.store(true, Ordering::Relaxed);
        sse_json(&completion_part(
            &part_id,
            &part_model,
            text,
            None,
            vec![span],
        ))
    });
    // Counts the request as in progress until the last part has been polled for
    // writing.
    let in_progress = InProgressGuard::new(daemon.clone());
    let last_events = stream::once(async move {
        let _in_progress = in_progress;
        let outcome = wait_for_outcome(pending, u64::MAX / 2).await;
        let response = match outcome {
            Ok(response) => response,
            Err(refusal) => {
                let body =
                    serde_json::to_string(&error_body(&daemon, &refusal)).unwrap_or_default();
                return vec![SseEvent::message(body).event_type("error")];
            }
        };
        let completion: Option<Completion> = serde_json::from_slice(&response.body).ok();
        let reason = completion
            .as_ref()
            .and_then(|completion| completion.choices.first()?.finish_reason.clone());
        // A resend has received no parts: it gets the complete text at once.
        let (text, weights) = match completion {
            Some(completion) if !has_sent.load(Ordering::Relaxed) => (
                completion
                    .choices
                    .into_iter()
                    .map(|choice| choice.text)
                    .collect(),
                completion.weights,
            ),
            _ => (String::new(), Vec::new()),
        };
        vec![
            sse_json(&completion_part(&id, &model, text, reason, weights)),
            SseEvent::message("[DONE]"),
        ]
    });
    SSE::new(part_events.chain(last_events.flat_map(stream::iter))).into_response()
}

fn sse_json(completion: &Completion) -> SseEvent {
    SseEvent::message(serde_json::to_string(completion).unwrap_or_default())
}
