//! Running one sample until it can be listed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use hyper::{HeaderMap, Method, StatusCode, header::HeaderName};

use super::{
    fleet::on_weights_seen,
    forward::note_answer,
    metrics::seconds,
    score,
    state::{InFlight, Server, lock},
    upstream::{ExchangeError, Reply},
};
use crate::{
    core::{
        Name,
        batch::{
            EventParser, ListedSample, ListedState, RunPace, RunVerdict, SampleSpec, SampleText,
        },
        pool::Wanted,
        retry::RetryReason,
        routes::Route,
    },
    daemon::now_ms,
    platform::{EVENT_VERSION_FIELD, RunHeaders, answer_head, run_request},
};

/// How long a run may bring nothing before it is continued elsewhere, in
/// milliseconds: loading weights holds a run up for about a second.
const STALL_MS: u64 = 2_000;
/// How long to wait for a place at an endpoint before looking again, in
/// milliseconds.
const LOOK_MS: u64 = 25;
/// How long to wait after an endpoint had no room, in milliseconds.
const AFTER_REFUSAL_MS: u64 = 20;
/// How much of its slots an endpoint may have taken: a run that waits at an
/// endpoint can no longer go to the one that is free first.
const MAX_OCCUPANCY: f64 = 1.0;
/// How often the run of one sample may move to a faster endpoint.
pub(crate) const MAX_MOVES: u32 = 4;
/// How much of its slots an endpoint may have taken to be moved to.
const MOVE_OCCUPANCY: f64 = 0.75;
/// The status of a run that can never succeed.
const NEVER: StatusCode = StatusCode::UNPROCESSABLE_ENTITY;

/// One sample to run.
pub(crate) struct SampleJob {
    pub(crate) server: Arc<Server>,
    pub(crate) batch: Name,
    /// The host that the trainer named.
    pub(crate) host: Name,
    pub(crate) model: Name,
    pub(crate) min_weights_version: u64,
    /// When the sample may be given up, by the platform's clock.
    pub(crate) limit_platform_ms: u64,
    pub(crate) sample: SampleSpec,
    /// How often its run may still move to a faster endpoint.
    pub(crate) moves_left: u32,
}

/// A place at an endpoint.
pub(crate) struct Place {
    route: Arc<Route>,
    in_flight: InFlight,
}

/// Why no place is to be had any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoPlace {
    RouteGone,
    TimeOver,
}

/// How one run ended.
enum RunEnd {
    Complete,
    /// Another may go on after the last event.
    Broken(RetryReason, String),
    /// The endpoint had no room or other weights.
    Refused(String),
    /// The endpoint ran it and failed.
    Failed,
    /// It can never succeed.
    Never,
    /// It goes on at an endpoint that is faster.
    Moved(RunVerdict),
    /// What was gathered cannot be used.
    Unusable(String),
}

impl SampleJob {
    /// Waits for a place at an endpoint.
    pub(crate) async fn first_endpoint(&self) -> Result<Place, NoPlace> {
        self.place(&BTreeSet::new()).await
    }

    async fn place(&self, avoid: &BTreeSet<Name>) -> Result<Place, NoPlace> {
        let mut avoid = avoid;
        let nothing = BTreeSet::new();
        loop {
            let route = self
                .server
                .routes()
                .find(&self.host, &self.sample.path)
                .cloned();
            let route = route.ok_or(NoPlace::RouteGone)?;
            if self.is_time_over() {
                return Err(NoPlace::TimeOver);
            }
            if let Some(endpoint) = self.choose(&route, avoid) {
                let in_flight = self.server.enter(&endpoint);
                return Ok(Place { route, in_flight });
            }
            // Whoever failed before is better than nobody.
            avoid = &nothing;
            let changed = self.server.pool_changed.notified();
            let _ = tokio::time::timeout(Duration::from_millis(LOOK_MS), changed).await;
        }
    }

    fn choose(&self, route: &Route, avoid: &BTreeSet<Name>) -> Option<Name> {
        let draw = rand::Rng::random(&mut *lock(&self.server.rng));
        let wanted = Wanted {
            service: route.service(draw)?,
            data_centre: &self.server.settings.data_centre,
            avoid,
            weights: Some((&self.model, self.min_weights_version)),
            max_occupancy: MAX_OCCUPANCY,
        };
        lock(&self.server.pool).choose(now_ms(), &wanted, &mut *lock(&self.server.rng))
    }

    /// Returns whether a run should move to another endpoint.
    fn may_move(&self, in_flight: &InFlight, pace: &RunPace) -> bool {
        if self.moves_left == 0 {
            return false;
        }
        let avoid = BTreeSet::from([in_flight.endpoint.clone()]);
        let wanted = Wanted {
            service: &in_flight.service,
            data_centre: &self.server.settings.data_centre,
            avoid: &avoid,
            weights: Some((&self.model, self.min_weights_version)),
            max_occupancy: MOVE_OCCUPANCY,
        };
        let event_ms = pace.event_ms();
        let pool = lock(&self.server.pool);
        pool.has_better(now_ms(), &wanted, event_ms, &mut *lock(&self.server.rng))
    }

    fn is_time_over(&self) -> bool {
        let clock = self.server.store.clock_ms();
        clock.is_some_and(|(earliest_ms, _)| earliest_ms > self.limit_platform_ms)
    }

    fn listed(&self, state: ListedState, text: &SampleText, score: Option<Name>) -> ListedSample {
        ListedSample {
            id: self.sample.id.clone(),
            state,
            text: text.text(),
            weights_versions: text.weights_versions().to_vec(),
            score,
        }
    }
}

/// Runs a sample until it can be listed.
pub(crate) async fn run(job: SampleJob, first: Result<Place, NoPlace>) -> ListedSample {
    let started_ms = now_ms();
    let mut runs = 0;
    let mut moves = 0;
    let mut job = job;
    let mut place = first;
    let mut is_single = false;
    if let Ok(place) = &place {
        is_single = place.route.is_single_version;
    }
    let mut text = SampleText::new(job.min_weights_version, is_single);
    let mut failures = 0;
    let mut avoid = BTreeSet::new();
    loop {
        let taken = match place {
            Ok(taken) => taken,
            Err(reason) => {
                tracing::info!(batch = %job.batch, sample = %job.sample.id, ?reason, "given up");
                return job.listed(ListedState::Dead, &text, None);
            }
        };
        let max_attempts = taken.route.max_attempts;
        let endpoint = taken.in_flight.endpoint.clone();
        runs += 1;
        match run_once(&job, taken, &mut text).await {
            RunEnd::Complete => break,
            RunEnd::Never => return job.listed(ListedState::Dead, &text, None),
            RunEnd::Failed => {
                failures += 1;
                avoid.insert(endpoint.clone());
                note_retry(&job, &endpoint, RetryReason::AnswerInvalid, "failed", &text);
                if failures >= max_attempts {
                    return job.listed(ListedState::Dead, &text, None);
                }
            }
            RunEnd::Broken(reason, message) => {
                avoid.insert(endpoint.clone());
                note_retry(&job, &endpoint, reason, &message, &text);
            }
            RunEnd::Moved(verdict) => {
                moves += 1;
                job.moves_left = MAX_MOVES.saturating_sub(moves);
                avoid = BTreeSet::from([endpoint.clone()]);
                let detail = format!("{verdict:?}");
                note_retry(&job, &endpoint, RetryReason::Straggler, &detail, &text);
            }
            RunEnd::Refused(message) => {
                avoid = BTreeSet::from([endpoint.clone()]);
                note_retry(
                    &job,
                    &endpoint,
                    RetryReason::EndpointRefused,
                    &message,
                    &text,
                );
                tokio::time::sleep(Duration::from_millis(AFTER_REFUSAL_MS)).await;
            }
            RunEnd::Unusable(message) => {
                avoid.insert(endpoint.clone());
                note_retry(&job, &endpoint, RetryReason::AnswerInvalid, &message, &text);
                text = SampleText::new(job.min_weights_version, is_single);
            }
        }
        place = job.place(&avoid).await;
    }
    let text_ms = now_ms();
    let metrics = &job.server.metrics;
    metrics
        .sample_seconds
        .observe(seconds(started_ms, now_ms()));
    let Some(call) = &job.sample.score else {
        return job.listed(ListedState::Done, &text, None);
    };
    let score = score::score(&job, call).await;
    tracing::info!(batch = %job.batch, sample = %job.sample.id, runs,
        events = text.last_event(), hint = job.sample.length_hint,
        run_ms = text_ms - started_ms, score_ms = now_ms() - text_ms,
        is_scored = score.is_some(), "sample finished");
    let state = if score.is_some() {
        ListedState::Done
    } else {
        ListedState::Dead
    };
    job.listed(state, &text, score)
}

fn note_retry(
    job: &SampleJob,
    endpoint: &Name,
    reason: RetryReason,
    message: &str,
    text: &SampleText,
) {
    job.server.metrics.on_retry(reason);
    tracing::info!(batch = %job.batch, sample = %job.sample.id, %endpoint, %reason, detail = message,
        after_event = text.last_event(), "run ended early");
}

async fn run_once(job: &SampleJob, place: Place, text: &mut SampleText) -> RunEnd {
    let server = &job.server;
    let endpoint = place.in_flight.endpoint.clone();
    let known = lock(&server.pool)
        .get(&endpoint)
        .map(|known| known.record.address);
    let Some(address) = known else {
        return RunEnd::Refused("no longer listed".to_owned());
    };
    let left_ms = match server.store.clock_ms() {
        Some((_, latest_ms)) => job.limit_platform_ms.saturating_sub(latest_ms),
        None => place.route.timeout_ms,
    };
    let run_headers = RunHeaders {
        request_id: &job.sample.id,
        endpoint: &endpoint,
        host: &job.host,
        left_ms,
        after_event: text.last_event(),
        urgency: None,
    };
    let request = run_request(
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
    let sent = server.http.send(address, request);
    let reply = match tokio::time::timeout(Duration::from_millis(STALL_MS), sent).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => return broken(server, &endpoint, &error),
        Err(_) => return stalled(server, &endpoint, address),
    };
    let head = answer_head(&job.sample.id, reply.status, &reply.headers);
    note_answer(server, &endpoint, &head);
    if head.is_not_run {
        let message = format!("refused with {}", reply.status);
        reply.finish_quietly().await;
        return RunEnd::Refused(message);
    }
    if !head.is_own || head.is_encoded || head.stamp.is_none() {
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
        on_weights_seen(server, &endpoint, &job.model, version);
    }
    if let Err(error) = text.on_run(head.weights_version) {
        return RunEnd::Unusable(error.to_string());
    }
    read_events(job, reply, &place.in_flight, text).await
}

/// Takes the events of a run as they come.
async fn read_events(
    job: &SampleJob,
    mut reply: Reply,
    in_flight: &InFlight,
    text: &mut SampleText,
) -> RunEnd {
    let server = &job.server;
    let mut parser = EventParser::new(EVENT_VERSION_FIELD);
    let before = text.last_event().unwrap_or(0);
    let mut pace = RunPace::new(now_ms());
    let stalled_ms = |pace: &RunPace| pace.last_ms() + STALL_MS;
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
                on_weights_seen(server, &in_flight.endpoint, &job.model, version);
            }
            if let Err(error) = text.on_event(&event) {
                return RunEnd::Unusable(error.to_string());
            }
        }
        let verdict = pace.verdict(now_ms(), typical_ms);
        if now_ms() >= stalled_ms(&pace) {
            let message = "no event in time".to_owned();
            return RunEnd::Broken(RetryReason::AnswerStalled, message);
        }
        if verdict != RunVerdict::Steady && job.may_move(in_flight, &pace) {
            if let (Some(known), Some(event_ms)) = (
                lock(&server.pool).get_mut(&in_flight.endpoint),
                pace.event_ms(),
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
    reply.finish().await;
    let events = text.last_event().unwrap_or(0).saturating_sub(before);
    let took_s = seconds(in_flight.started_ms, now_ms());
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
        ExchangeError::Broken(_) => RetryReason::AnswerCut,
    };
    RunEnd::Broken(reason, error.to_string())
}

fn stalled(server: &Server, endpoint: &Name, address: std::net::SocketAddr) -> RunEnd {
    server.http.forget(address);
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        known.on_failure(now_ms());
    }
    RunEnd::Broken(RetryReason::AnswerStalled, "no answer in time".to_owned())
}
