//! One run of a sample at one endpoint.

use std::{
    pin::{Pin, pin},
    time::Duration,
};

use hyper::{HeaderMap, Method, StatusCode, header::HeaderName};

use super::{
    fleet::record_weights_version,
    forward::record_answer_head,
    http_client::{ExchangeError, Reply},
    metrics::elapsed_seconds,
    sample::{Place, RunEnd, SampleJob},
    state::{InFlight, Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{EventParser, RunPace, RunVerdict, SampleSpec, SampleText, TextError},
        retry::RetryReason,
    },
    daemon::now_ms,
    platform::{EVENT_VERSION_FIELD, RequestHeaders, build_request, parse_answer_head},
};

/// How long a run may bring nothing before it is continued elsewhere, in
/// milliseconds: loading weights holds a run up for about a second.
const STALL_MS: u64 = 2_000;
/// How long to wait for more before the pace of a run is looked at again, in
/// milliseconds.
const LOOK_MS: u64 = 25;
/// The status of a run that can never succeed.
const NEVER: StatusCode = StatusCode::UNPROCESSABLE_ENTITY;

/// Runs a sample at one endpoint, after the last event of its text.
pub(crate) async fn run_once(
    job: &SampleJob,
    place: Place,
    text: &mut SampleText,
    may_move: bool,
) -> RunEnd {
    let server = &job.server;
    let endpoint = place.in_flight.endpoint.clone();
    let known = lock(&server.pool)
        .get(&endpoint)
        .map(|known| known.record.address);
    let Some(address) = known else {
        return RunEnd::Refused("no longer listed".to_owned());
    };
    let left_ms = match server.store.clock_bounds_ms() {
        Some((_, latest_ms)) => job.limit_platform_ms.saturating_sub(latest_ms),
        None => place.route.timeout_ms,
    };
    let run_headers = RequestHeaders {
        request_id: &job.sample.id,
        endpoint: &endpoint,
        host: &job.host,
        remaining_ms: left_ms,
        after_event: text.last_event(),
        priority: None,
    };
    let request = build_request(
        Method::POST,
        &job.sample.path,
        sample_headers(&job.sample),
        &run_headers,
        job.sample.body.clone(),
    );
    let request = match request {
        Ok(request) => request,
        Err(message) => return RunEnd::Refused(message),
    };
    let sent = pin!(server.http.send(address, request));
    let reply = match wait_for_head(job, sent, &place.in_flight, may_move).await {
        Head::Came(result) => match *result {
            Ok(reply) => reply,
            Err(error) => return broken(server, &endpoint, &error),
        },
        Head::Late => return RunEnd::Moved(RunVerdict::Silent),
        Head::Missing => return stalled(server, &endpoint, address),
    };
    let head = parse_answer_head(&job.sample.id, reply.status, &reply.headers);
    record_answer_head(server, &endpoint, &head);
    if head.is_not_run {
        let message = format!("refused with {}", reply.status);
        reply.drain_refusal().await;
        return RunEnd::Refused(message);
    }
    if !head.is_for_request || head.is_encoded || head.stamp.is_none() {
        return RunEnd::Broken(
            RetryReason::AnswerInvalid,
            "not an answer to this".to_owned(),
        );
    }
    match reply.status {
        status if status.is_success() => {}
        NEVER => return RunEnd::Never,
        StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::Failed,
        status => return RunEnd::Broken(RetryReason::AnswerInvalid, format!("answered {status}")),
    }
    if let Some(version) = head.weights_version {
        record_weights_version(server, &endpoint, &job.model, version);
    }
    if let Err(error) = text.on_run_start(head.weights_version) {
        return on_text_error(&error);
    }
    let end = read_events(job, reply, &place.in_flight, text, may_move).await;
    if matches!(end, RunEnd::Complete) {
        job.progress.forget(&job.sample.id);
    }
    end
}

/// What came of waiting for the head of an answer.
enum Head {
    Came(Box<Result<Reply, ExchangeError>>),
    /// The run waits at the endpoint, and would begin sooner elsewhere.
    Late,
    Missing,
}

async fn wait_for_head<F>(
    job: &SampleJob,
    mut sent: Pin<&mut F>,
    in_flight: &InFlight,
    may_move: bool,
) -> Head
where
    F: Future<Output = Result<Reply, ExchangeError>>,
{
    let pace = RunPace::new(now_ms());
    let stalled_ms = pace.last_progress_ms() + STALL_MS;
    while now_ms() < stalled_ms {
        let typical_ms = lock(&job.server.pool).typical_pace_ms(&in_flight.service);
        let silent_ms = pace.silent_at_ms(typical_ms) - pace.last_progress_ms();
        let patient_ms = pace.last_progress_ms() + silent_ms * job.start_wait_factor;
        let look_ms = patient_ms.max(now_ms() + LOOK_MS);
        let wait_ms = look_ms.min(stalled_ms).saturating_sub(now_ms());
        let waiting = tokio::time::timeout(Duration::from_millis(wait_ms), sent.as_mut());
        if let Ok(result) = waiting.await {
            return Head::Came(Box::new(result));
        }
        if let Some(known) = lock(&job.server.pool).get_mut(&in_flight.endpoint) {
            known.on_stalled(now_ms());
        }
        if may_move && job.may_move(in_flight, &pace) {
            return Head::Late;
        }
    }
    Head::Missing
}

/// What was gathered before stays good, unless another version would go on
/// with it.
fn on_text_error(error: &TextError) -> RunEnd {
    match error {
        TextError::Mixed(..) => RunEnd::Unusable(error.to_string()),
        TextError::OutOfOrder(..) | TextError::TooOld(..) | TextError::NoVersion => {
            RunEnd::Broken(RetryReason::AnswerInvalid, error.to_string())
        }
    }
}

/// Takes the events of a run as they come.
async fn read_events(
    job: &SampleJob,
    mut reply: Reply,
    in_flight: &InFlight,
    text: &mut SampleText,
    may_move: bool,
) -> RunEnd {
    let server = &job.server;
    let mut saved_at = text.last_event().unwrap_or(0);
    let mut parser = EventParser::new(EVENT_VERSION_FIELD);
    let before = text.last_event().unwrap_or(0);
    let mut pace = RunPace::new(now_ms());
    let stalled_ms = |pace: &RunPace| pace.last_progress_ms() + STALL_MS;
    loop {
        let typical_ms = lock(&server.pool).typical_pace_ms(&in_flight.service);
        let look_ms = pace.silent_at_ms(typical_ms).max(now_ms() + LOOK_MS);
        let wait_ms = look_ms.min(stalled_ms(&pace)).saturating_sub(now_ms());
        let next = tokio::time::timeout(Duration::from_millis(wait_ms), reply.next_bytes());
        let bytes = match next.await {
            Ok(Ok(Some(bytes))) => Some(bytes),
            Ok(Ok(None)) => break,
            Ok(Err(error)) => return broken(server, &in_flight.endpoint, &error),
            Err(_) => None,
        };
        for event in parser.push(&bytes.unwrap_or_default()) {
            pace.on_event(now_ms());
            if let Some(version) = event.weights_version {
                record_weights_version(server, &in_flight.endpoint, &job.model, version);
            }
            if let Err(error) = text.on_event(&event) {
                return on_text_error(&error);
            }
        }
        saved_at = job.progress.note(&job.sample.id, text, saved_at);
        let verdict = pace.verdict(now_ms(), typical_ms);
        if now_ms() >= stalled_ms(&pace) {
            let message = "no event in time".to_owned();
            return RunEnd::Broken(RetryReason::AnswerStalled, message);
        }
        if verdict != RunVerdict::Steady && may_move && job.may_move(in_flight, &pace) {
            if let (Some(known), Some(event_ms)) = (
                lock(&server.pool).get_mut(&in_flight.endpoint),
                pace.ms_per_event(),
            ) {
                known.on_pace(event_ms);
            }
            return RunEnd::Moved(verdict);
        }
    }
    if parser.is_inside_event() {
        let message = "ended inside an event".to_owned();
        return RunEnd::Broken(RetryReason::AnswerCut, message);
    }
    reply.release_connection().await;
    let events = text.last_event().unwrap_or(0).saturating_sub(before);
    let took_s = elapsed_seconds(in_flight.started_ms, now_ms());
    tracing::debug!(sample = %job.sample.id, endpoint = %in_flight.endpoint, events, took_s,
        "run ended");
    if let Some(known) = lock(&server.pool).get_mut(&in_flight.endpoint) {
        known.on_success();
        if let Ok(events) = u32::try_from(events)
            && events > 0
        {
            known.on_pace(took_s * 1_000.0 / f64::from(events));
        }
    }
    RunEnd::Complete
}

fn sample_headers(sample: &SampleSpec) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, text) in &sample.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), text.parse()) {
            headers.insert(name, value);
        } else {
            tracing::warn!(sample = %sample.id, %name, "header left out: not valid");
        }
    }
    headers
}

fn broken(server: &Server, endpoint: &Name, error: &ExchangeError) -> RunEnd {
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_failure(now_ms());
    }
    let reason = match error {
        ExchangeError::NotSent(_) => RetryReason::ConnectFailed,
        ExchangeError::Incomplete(_) => RetryReason::AnswerCut,
    };
    RunEnd::Broken(reason, error.to_string())
}

fn stalled(server: &Server, endpoint: &Name, address: std::net::SocketAddr) -> RunEnd {
    server.http.close_idle(address);
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_failure(now_ms());
    }
    RunEnd::Broken(RetryReason::AnswerStalled, "no answer in time".to_owned())
}
