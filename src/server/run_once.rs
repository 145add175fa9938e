//! Runs a sample once, at one endpoint.

use std::{
    pin::{Pin, pin},
    time::Duration,
};

use hyper::{HeaderMap, Method, StatusCode, header::HeaderName};

use super::{
    accounts,
    attempt::record_answer_head,
    crash,
    endpoint_exchange::{self, Outgoing},
    fleet::record_weights_version,
    http_client::{ExchangeError, Reply},
    permits,
    sample::{Reservation, RunEnd, SampleJob},
    state::{InFlight, Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{EventParser, RunPace, RunVerdict, SampleText, TextError},
        rate_limit::Purpose,
        retry::RetryReason,
    },
    daemon::now_ms,
    platform::{
        EVENT_VERSION_FIELD, RequestHeaders, build_request, parse_answer_head, set_account,
    },
};

/// How long a run may send nothing before it is resumed elsewhere, in
/// milliseconds. Loading weights delays a run by about a second.
const RUN_STALL_TIMEOUT_MS: u64 = 2_000;
/// The shortest wait for data before the pace of a run is judged again, in
/// milliseconds.
const MIN_PACE_CHECK_INTERVAL_MS: u64 = 25;
/// The status of a request that no endpoint can run successfully.
const PERMANENT_FAILURE_STATUS: StatusCode = StatusCode::UNPROCESSABLE_ENTITY;

/// Runs a sample at one endpoint, resuming after the last event of its text.
pub(crate) async fn run_once(
    job: &SampleJob,
    reservation: Reservation,
    text: &mut SampleText,
    may_move: bool,
) -> RunEnd {
    let server = &job.server;
    let endpoint = reservation.in_flight.endpoint.clone();
    let listed_address = lock(&server.pool)
        .get(&endpoint)
        .map(|known| known.record.address);
    let in_flight = &reservation.in_flight;
    let Some(address) = listed_address else {
        in_flight.mark_incomplete();
        return RunEnd::Refused("endpoint is no longer listed".to_owned());
    };
    let permit = match permits::obtain(server, &endpoint, &job.sample.id, Purpose::Sample, 0).await
    {
        Ok(permit) => permit,
        Err(error) => {
            in_flight.mark_incomplete();
            return RunEnd::Refused(error.to_string());
        }
    };
    let request_headers = RequestHeaders {
        request_id: &job.sample.id,
        endpoint: &endpoint,
        host: &job.host,
        remaining_ms: job.remaining_ms(&reservation.route),
        after_event: text.last_event(),
        priority: None,
    };
    let request = build_request(
        Method::POST,
        &job.sample.path,
        sample_headers(job),
        &request_headers,
        job.sample.body.clone(),
    );
    let request = match request {
        Ok(request) => request,
        Err(message) => {
            in_flight.mark_incomplete();
            return RunEnd::Refused(message);
        }
    };
    let until_ms = now_ms() + request_headers.remaining_ms;
    let outgoing = Outgoing::of_background(Purpose::Sample, request, permit, until_ms);
    let sent = endpoint_exchange::send(server, &endpoint, address, outgoing);
    let sent = pin!(sent);
    let reply = match wait_for_head(job, sent, in_flight, may_move).await {
        HeadWait::Received(result) => match *result {
            Ok(reply) => reply,
            Err(error) => return on_exchange_error(job, in_flight, &error).await,
        },
        HeadWait::SlowStart => return RunEnd::Moved(RunVerdict::Silent),
        HeadWait::TimedOut => return on_head_timeout(server, &endpoint, address),
    };
    let head = parse_answer_head(reply.status, &reply.headers);
    record_answer_head(server, in_flight, &head);
    if head.is_not_run {
        in_flight.mark_incomplete();
        let message = format!("endpoint refused with {}", reply.status);
        reply.drain_refusal().await;
        return RunEnd::Refused(message);
    }
    if !head.is_own_answer() {
        return RunEnd::Broken(
            RetryReason::AnswerInvalid,
            "answer is encoded or unsigned".to_owned(),
        );
    }
    if !reply.status.is_success() {
        in_flight.mark_incomplete();
    }
    match reply.status {
        status if status.is_success() => {}
        PERMANENT_FAILURE_STATUS => return RunEnd::PermanentFailure,
        StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::Failed,
        status => {
            return RunEnd::Broken(
                RetryReason::AnswerInvalid,
                format!("endpoint answered {status}"),
            );
        }
    }
    if let Some(version) = head.weights_version {
        record_weights_version(server, &endpoint, &job.model, version);
    }
    if let Some(after_event) = text.last_event() {
        tracing::info!(batch = %job.batch, sample = %job.sample.id, %endpoint, after_event,
            software = %in_flight.origin.software, "text goes on");
    }
    if let Err(error) = text.on_run_start(head.weights_version, &in_flight.origin) {
        return on_text_error(&error);
    }
    let end = read_events(job, reply, in_flight, text, may_move).await;
    if matches!(end, RunEnd::Complete) {
        in_flight.mark_complete();
        job.unsaved_texts.remove(&job.sample.id);
    }
    end
}

/// How the wait for the head of an answer ended.
enum HeadWait {
    Received(Box<Result<Reply, ExchangeError>>),
    /// The run has not started, and is expected to start sooner elsewhere.
    SlowStart,
    TimedOut,
}

/// Waits for the head of an answer until the run stalls or should move.
async fn wait_for_head<F>(
    job: &SampleJob,
    mut sent: Pin<&mut F>,
    in_flight: &InFlight,
    may_move: bool,
) -> HeadWait
where
    F: Future<Output = Result<Reply, ExchangeError>>,
{
    let pace = RunPace::new(now_ms());
    let stalled_at_ms = pace.last_progress_ms() + RUN_STALL_TIMEOUT_MS;
    while now_ms() < stalled_at_ms {
        let typical_ms = lock(&job.server.pool).typical_pace(&in_flight.origin.service);
        let silence_ms = pace.silent_at_ms(typical_ms) - pace.last_progress_ms();
        let slow_start_at_ms = pace.last_progress_ms() + silence_ms * job.start_wait_factor;
        let check_at_ms = slow_start_at_ms.max(now_ms() + MIN_PACE_CHECK_INTERVAL_MS);
        let wait_ms = check_at_ms.min(stalled_at_ms).saturating_sub(now_ms());
        let waiting = tokio::time::timeout(Duration::from_millis(wait_ms), sent.as_mut());
        if let Ok(result) = waiting.await {
            return HeadWait::Received(Box::new(result));
        }
        if let Some(known) = lock(&job.server.pool).get_mut(&in_flight.endpoint) {
            known.on_stalled(now_ms());
        }
        if may_move && job.has_better_endpoint(in_flight, &pace) {
            return HeadWait::SlowStart;
        }
    }
    HeadWait::TimedOut
}

/// Ends a run whose answer does not fit the text.
///
/// The text so far is kept, unless it is too long or the run would continue it with
/// another software version, or with another weights version although the sample allows
/// a single one.
fn on_text_error(error: &TextError) -> RunEnd {
    match error {
        TextError::Mixed(..) | TextError::OtherSoftware(..) => {
            RunEnd::TextUnusable(RetryReason::AnswerInvalid, error.to_string())
        }
        TextError::TooLong => RunEnd::TextUnusable(RetryReason::AnswerTooLong, error.to_string()),
        TextError::OutOfOrder(..) | TextError::TooOld(..) | TextError::NoVersion => {
            RunEnd::Broken(RetryReason::AnswerInvalid, error.to_string())
        }
    }
}

/// Adds the events of a run to the text as they arrive.
async fn read_events(
    job: &SampleJob,
    mut reply: Reply,
    in_flight: &InFlight,
    text: &mut SampleText,
    may_move: bool,
) -> RunEnd {
    let server = &job.server;
    let mut saved_event = text.last_event().unwrap_or(0);
    let mut parser = EventParser::new(EVENT_VERSION_FIELD);
    let event_before = text.last_event().unwrap_or(0);
    let mut pace = RunPace::new(now_ms());
    let stalled_at_ms = |pace: &RunPace| pace.last_progress_ms() + RUN_STALL_TIMEOUT_MS;
    loop {
        let typical_ms = lock(&server.pool).typical_pace(&in_flight.origin.service);
        let check_at_ms = pace
            .silent_at_ms(typical_ms)
            .max(now_ms() + MIN_PACE_CHECK_INTERVAL_MS);
        let wait_ms = check_at_ms
            .min(stalled_at_ms(&pace))
            .saturating_sub(now_ms());
        let next = tokio::time::timeout(Duration::from_millis(wait_ms), reply.next_bytes());
        let bytes = match next.await {
            Ok(Ok(Some(bytes))) => Some(bytes),
            Ok(Ok(None)) => break,
            Ok(Err(error)) => return on_exchange_error(job, in_flight, &error).await,
            Err(_) => None,
        };
        if bytes.is_some() {
            endpoint_exchange::on_heard(server, &in_flight.endpoint, &reply);
        }
        for event in parser.push(&bytes.unwrap_or_default()) {
            pace.on_event(now_ms());
            if let Some(version) = event.weights_version {
                record_weights_version(server, &in_flight.endpoint, &job.model, version);
            }
            if event.id.is_some_and(|id| !job.sample.allows_event(id)) {
                if let Some(known) = lock(&server.pool).get_mut(&in_flight.endpoint) {
                    known.on_failure(now_ms());
                }
                let message = "more events than the sample may have tokens".to_owned();
                return RunEnd::TextUnusable(RetryReason::AnswerTooLong, message);
            }
            if let Err(error) = text.on_event(&event) {
                if matches!(error, TextError::TooLong)
                    && let Some(known) = lock(&server.pool).get_mut(&in_flight.endpoint)
                {
                    known.on_failure(now_ms());
                }
                return on_text_error(&error);
            }
            if pace.is_first_measured() {
                record_pace(server, in_flight, &pace);
            }
        }
        if !job.text_share.resize(text.bytes() + parser.pending_bytes()) {
            let message = "the texts of this VM take too much memory".to_owned();
            return RunEnd::TextUnusable(RetryReason::MemoryFull, message);
        }
        if parser.is_event_too_long() {
            let error = ExchangeError::TooLong("an event".to_owned());
            return on_exchange_error(job, in_flight, &error).await;
        }
        saved_event = job
            .unsaved_texts
            .put_if_grown(&job.sample.id, text, saved_event);
        let verdict = pace.verdict(now_ms(), typical_ms);
        if now_ms() >= stalled_at_ms(&pace) {
            let message = format!("no event within {RUN_STALL_TIMEOUT_MS} ms");
            return RunEnd::Broken(RetryReason::AnswerStalled, message);
        }
        let is_better_elsewhere = || match verdict {
            RunVerdict::Steady => false,
            RunVerdict::Slow => job.gains_by_move(in_flight, text, &pace),
            RunVerdict::Silent => job.has_better_endpoint(in_flight, &pace),
        };
        let should_move = may_move
            && (is_better_elsewhere() || job.should_move_to_be_in_time(in_flight, text, &pace));
        if should_move {
            record_pace(server, in_flight, &pace);
            return RunEnd::Moved(verdict);
        }
    }
    if parser.is_inside_event() {
        let error = ExchangeError::Incomplete("answer ended inside an event".to_owned());
        return on_exchange_error(job, in_flight, &error).await;
    }
    reply.release_connection().await;
    let events = text.last_event().unwrap_or(0).saturating_sub(event_before);
    tracing::info!(batch = %job.batch, sample = %job.sample.id, endpoint = %in_flight.endpoint,
        events, took_ms = now_ms() - in_flight.started_ms, event_ms = pace.ms_per_event(),
        first_event_ms = pace.first_event_ms().map(|at_ms| at_ms - in_flight.started_ms),
        "run ended");
    if let Some(known) = lock(&server.pool).get_mut(&in_flight.endpoint) {
        known.on_success();
    }
    record_pace(server, in_flight, &pace);
    RunEnd::Complete
}

/// Records an endpoint's time per event, without the wait for the first event: how long
/// that is depends on what else runs there.
fn record_pace(server: &Server, in_flight: &InFlight, pace: &RunPace) {
    if let (Some(event_ms), Some(from_ms)) = (pace.endpoint_ms_per_event(), pace.first_event_ms())
        && let Some(known) = lock(&server.pool).get_mut(&in_flight.endpoint)
        && known.record.started_unix_ms == in_flight.incarnation
    {
        known.on_measured_pace(from_ms, pace.last_progress_ms(), event_ms);
    }
}

fn sample_headers(job: &SampleJob) -> HeaderMap {
    let sample = &job.sample;
    let mut headers = HeaderMap::new();
    for (name, text) in &sample.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), text.parse()) {
            headers.insert(name, value);
        } else {
            tracing::warn!(sample = %sample.id, %name, "invalid header omitted");
        }
    }
    // A batch that was accepted for an account stays with it, whatever the configuration
    // says later.
    if job.account.is_some() || accounts::sets_account(&job.server.routes()) {
        set_account(&mut headers, job.account.as_ref());
    }
    headers
}

async fn on_exchange_error(job: &SampleJob, in_flight: &InFlight, error: &ExchangeError) -> RunEnd {
    if matches!(error, ExchangeError::NotPermitted(_)) {
        in_flight.mark_incomplete();
        return RunEnd::Refused(error.to_string());
    }
    if !matches!(error, ExchangeError::Misplaced(_)) {
        endpoint_exchange::on_failed(&job.server, &in_flight.endpoint, error);
    }
    crash::on_broken_run(&job.server, in_flight, &job.sample.id, error).await;
    RunEnd::Broken(endpoint_exchange::retry_reason(error), error.to_string())
}

fn on_head_timeout(server: &Server, endpoint: &Name, address: std::net::SocketAddr) -> RunEnd {
    server.http.close_idle(address);
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_failure(now_ms());
    }
    RunEnd::Broken(
        RetryReason::AnswerStalled,
        format!("no answer within {RUN_STALL_TIMEOUT_MS} ms"),
    )
}
