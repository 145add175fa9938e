//! Runs one sample until it can be listed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::rngs::SmallRng;

use super::{
    content_runs::{self, StartOutcome},
    failures::{self, FailedCall, PERMANENT_FAILURE_COUNT, SampleFailures},
    metrics::elapsed_seconds,
    progress::UnsavedTexts,
    run_once::run_once,
    scaling::SlotUse,
    score,
    shortage::{TrainingTurn, sample_entry},
    state::{InFlight, Server, lock},
    text_share::TextShare,
};
use crate::{
    core::{
        Name,
        batch::{
            ListedSample, ListedState, RunInProgress, RunPace, RunVerdict, SampleSpec, SampleText,
            SavedText,
        },
        pool::{EndpointRequirements, EndpointSlice, Pool},
        rate_limit::Purpose,
        retry::RetryReason,
        routes::Route,
        streams::StreamOrigin,
    },
    daemon::now_ms,
};

/// How often the pool is searched again while no endpoint can take a sample, in
/// milliseconds.
const ENDPOINT_SEARCH_INTERVAL_MS: u64 = 25;
/// The delay between two runs of a sample, in milliseconds. It doubles with each
/// run in a row that added nothing to the text.
const RUN_RETRY_DELAY_MS: u64 = 10;
/// How often the delay is doubled at most: to a third of a second, within which
/// weights are usually loaded.
const MAX_RUN_RETRY_DOUBLINGS: u32 = 5;
/// The occupancy below which an endpoint is sent a run. A run that is queued at
/// one endpoint cannot start at another that becomes free sooner.
pub(super) const MAX_RUN_OCCUPANCY: f64 = 1.0;
/// The time between two events of a run until a pace is known, in milliseconds.
const DEFAULT_EVENT_MS: f64 = 20.0;
/// How often the quarantine is asked again whether a sample may run, in
/// milliseconds.
pub(super) const HELD_CHECK_INTERVAL_MS: u64 = 250;
/// How often one sample may move to a faster endpoint.
const MAX_MOVES: u32 = 4;
/// The occupancy below which a sample may move to an endpoint.
const MAX_MOVE_OCCUPANCY: f64 = 0.75;

/// One sample to run.
pub(crate) struct SampleJob {
    pub(crate) server: Arc<Server>,
    pub(crate) batch: Name,
    /// The host that the trainer's request named.
    pub(crate) host: Name,
    /// The account whose caller submitted the batch.
    pub(crate) account: Option<Name>,
    pub(crate) model: Name,
    pub(crate) min_weights_version: u64,
    /// When the sample expires, by the platform's clock.
    pub(crate) expires_platform_ms: u64,
    pub(crate) sample: SampleSpec,
    /// The fingerprint of the sample's content.
    pub(crate) content: Name,
    /// When the sample is due, by the platform's clock.
    pub(crate) due_platform_ms: u64,
    /// How likely the sample is among the longest of its batch.
    pub(crate) length_weight: f64,
    /// The multiple of the usual silence that its runs may take to start.
    pub(crate) start_wait_factor: u64,
    /// The endpoints that its share prefers.
    pub(crate) slice: EndpointSlice,
    /// How often it has failed under earlier owners of its share.
    pub(crate) failures: SampleFailures,
    /// The memory that the sample's text takes.
    pub(crate) text_share: TextShare,
    /// The text that earlier runs generated, if it was saved.
    pub(crate) saved_text: Option<SavedText>,
    /// The texts of its share that are still to be saved.
    pub(crate) unsaved_texts: Arc<UnsavedTexts>,
}

/// A slot at an endpoint, counted in the endpoint's load until it is dropped.
pub(crate) struct Reservation {
    pub(crate) route: Arc<Route>,
    pub(crate) in_flight: InFlight,
}

/// Why no slot can be reserved for a sample any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReservationError {
    RouteGone,
    TimeOver,
    /// The sample's content may crash endpoints and must not run now.
    Held,
}

/// How one run ended.
pub(crate) enum RunEnd {
    Complete,
    /// The answer broke off; another run can resume after the last event.
    Broken(RetryReason, String),
    /// The endpoint did not run it: it had no room or other weights.
    Refused(String),
    /// The endpoint ran it and answered with an error.
    Failed,
    /// No endpoint can run it successfully.
    PermanentFailure,
    /// It was stopped, to resume at an endpoint that is expected to be faster.
    Moved(RunVerdict),
    /// The text of all runs so far has to be discarded.
    TextUnusable(RetryReason, String),
}

/// A sample that can be listed; its text takes memory until it is.
pub(crate) struct FinishedSample {
    pub(crate) listed: ListedSample,
    pub(crate) _text_share: TextShare,
}

impl SampleJob {
    /// Returns whether a slow run is expected to end earlier at another endpoint.
    pub(crate) fn gains_by_move(
        &self,
        in_flight: &InFlight,
        text: &SampleText,
        pace: &RunPace,
    ) -> bool {
        let Some(here_ms) = pace.endpoint_ms_per_event() else {
            return false;
        };
        let run = self.run_in_progress(text);
        let there_ms = self.search_elsewhere(in_flight, |pool, requirements, rng| {
            pool.pace_elsewhere(now_ms(), requirements, rng)
        });
        there_ms.is_some_and(|there_ms| run.gains_by_move(here_ms, there_ms))
    }

    fn run_in_progress(&self, text: &SampleText) -> RunInProgress {
        RunInProgress {
            events: text.last_event().unwrap_or(0),
            hinted_events: lock(&self.server.sample_lengths)
                .hinted_events(&self.model, self.sample.length_hint),
            due_ms: self.due_platform_ms,
        }
    }

    /// Returns whether a run is expected to do better at another endpoint.
    pub(crate) fn has_better_endpoint(&self, in_flight: &InFlight, pace: &RunPace) -> bool {
        let event_ms = pace.ms_per_event();
        self.search_elsewhere(in_flight, |pool, requirements, rng| {
            pool.has_better_endpoint(now_ms(), requirements, event_ms, rng)
        })
    }

    /// Returns whether a run that may be late is expected to end earlier elsewhere.
    pub(crate) fn should_move_to_be_in_time(
        &self,
        in_flight: &InFlight,
        text: &SampleText,
        pace: &RunPace,
    ) -> bool {
        let endpoint_ms = lock(&self.server.pool)
            .get(&in_flight.endpoint)
            .and_then(|known| known.pace);
        let clock = self.server.store.clock_bounds_ms();
        let (Some(run_ms), Some(endpoint_ms), Some((platform_ms, _))) =
            (pace.endpoint_ms_per_event(), endpoint_ms, clock)
        else {
            return false;
        };
        // A run may be slow for a moment, and an endpoint may no longer be slow.
        let here_ms = run_ms.min(endpoint_ms);
        let run = self.run_in_progress(text);
        // No endpoint is expected to need less than nothing: the search is spared for
        // runs that would not move anywhere.
        if !run.should_move(platform_ms, here_ms, 0.0) {
            return false;
        }
        let there_ms = self.search_elsewhere(in_flight, |pool, requirements, rng| {
            pool.pace_elsewhere(now_ms(), requirements, rng)
        });
        there_ms.is_some_and(|there_ms| run.should_move(platform_ms, here_ms, there_ms))
    }

    fn search_elsewhere<F, T>(&self, in_flight: &InFlight, search: F) -> T
    where
        F: FnOnce(&Pool, &EndpointRequirements<'_>, &mut SmallRng) -> T,
    {
        let avoid = BTreeSet::from([in_flight.endpoint.clone()]);
        let requirements = EndpointRequirements {
            service: &in_flight.origin.service,
            data_centre: &self.server.settings.data_centre,
            avoid: &avoid,
            weights: Some((&self.model, self.min_weights_version)),
            software: Some(&in_flight.origin.software),
            max_occupancy: MAX_MOVE_OCCUPANCY,
            connected: &self.server.http.connected_addresses(),
            purpose: Purpose::Hedge,
            length_weight: self.length_weight,
            slice: Some(self.slice),
        };
        let pool = lock(&self.server.pool);
        search(&pool, &requirements, &mut lock(&self.server.rng))
    }

    /// Returns the time until the sample expires, in milliseconds, or the timeout of a
    /// route if the platform's clock is not known.
    pub(crate) fn remaining_ms(&self, route: &Route) -> u64 {
        match self.server.store.clock_bounds_ms() {
            Some((_, latest_ms)) => self.expires_platform_ms.saturating_sub(latest_ms),
            None => route.timeout_ms,
        }
    }

    fn is_expired(&self) -> bool {
        let clock = self.server.store.clock_bounds_ms();
        clock.is_some_and(|(earliest_ms, _)| earliest_ms > self.expires_platform_ms)
    }

    fn to_listed(
        &self,
        state: ListedState,
        text: &SampleText,
        score: Option<Name>,
    ) -> ListedSample {
        ListedSample {
            id: self.sample.id.clone(),
            state,
            text: text.text(),
            weights_versions: text.weights_versions().to_vec(),
            score,
        }
    }

    fn into_finished(self, listed: ListedSample) -> FinishedSample {
        FinishedSample {
            listed,
            _text_share: self.text_share,
        }
    }
}

/// The runs of one sample so far, and the text that they generated.
pub(crate) struct SampleRuns {
    job: SampleJob,
    text: SampleText,
    is_complete: bool,
    is_single_version: bool,
    run_count: u32,
    moves: u32,
    failures: u32,
    /// Runs in a row that added nothing to the text.
    runs_without_progress: u32,
    avoid: BTreeSet<Name>,
}

impl SampleRuns {
    /// Starts from the text that earlier runs generated, if it was saved and may go on.
    pub(crate) fn new(job: SampleJob) -> Self {
        let routes = job.server.routes();
        let route = routes.find(&job.host, &job.sample.path);
        let is_single_version = route.is_some_and(|route| route.is_single_version);
        let min_version = job.min_weights_version;
        let restored = job.saved_text.as_ref();
        let restored = restored.and_then(|saved| {
            let text = SampleText::restore(saved, min_version, is_single_version)?;
            Some((text, saved.is_complete))
        });
        let (text, is_complete): (SampleText, bool) =
            restored.unwrap_or_else(|| (SampleText::new(min_version, is_single_version), false));
        // A text that takes too much memory is discarded with its next event.
        job.text_share.resize(text.bytes());
        Self {
            failures: job.failures.runs,
            job,
            text,
            is_complete,
            is_single_version,
            run_count: 0,
            moves: 0,
            runs_without_progress: 0,
            avoid: BTreeSet::new(),
        }
    }

    /// Waits for a slot at an endpoint that can run the sample, and add to its text.
    ///
    /// A text is discarded if its software version serves no more, or if no endpoint of
    /// this version becomes free while others could have generated the text again.
    ///
    /// # Errors
    ///
    /// `RouteGone` if no route leads to the sample's host and path, `TimeOver` if
    /// the sample has expired, and `Held` if it has to wait for longer than other
    /// samples.
    pub(crate) async fn reserve_endpoint(&mut self) -> Result<Reservation, ReservationError> {
        let server = self.job.server.clone();
        let mut avoid = self.avoid.clone();
        let discard_at_ms = now_ms() + self.regeneration_ms();
        let mut turn = TrainingTurn::default();
        loop {
            let route = server
                .routes()
                .find(&self.job.host, &self.job.sample.path)
                .cloned();
            let route = route.ok_or(ReservationError::RouteGone)?;
            if self.job.is_expired() {
                return Err(ReservationError::TimeOver);
            }
            self.discard_text_if_stuck(&route, discard_at_ms);
            let job = &self.job;
            let origin = self.text.origin();
            let picked = self.pick_service(&route, origin);
            let service = match (origin, turn.service()) {
                (None, Some(service)) => Some(service.clone()),
                _ => picked,
            };
            let entry = |service: &Name| sample_entry(job, &route, service);
            let Some(max_occupancy) = turn
                .wait(&server, service.as_ref(), MAX_RUN_OCCUPANCY, entry)
                .await
            else {
                continue;
            };
            let choose = |suspects: &BTreeSet<Name>| {
                self.choose_endpoint(
                    service.as_ref()?,
                    &(&avoid | suspects),
                    origin,
                    max_occupancy,
                )
            };
            let content = &self.job.content;
            let started = content_runs::try_start(&server, content, Purpose::Sample, choose);
            let in_flight = match started {
                StartOutcome::Started(in_flight) => Some(in_flight),
                StartOutcome::NoEndpoint => None,
                StartOutcome::Wait | StartOutcome::Unclaimed(_) | StartOutcome::Held { .. } => {
                    return Err(ReservationError::Held);
                }
            };
            if let Some(in_flight) = in_flight {
                turn.on_started();
                return Ok(Reservation { route, in_flight });
            }
            turn.on_not_placed();
            // With no other endpoint free, those that failed before are tried.
            avoid.clear();
            let changed = server.pool_changed.notified();
            let _ =
                tokio::time::timeout(Duration::from_millis(ENDPOINT_SEARCH_INTERVAL_MS), changed)
                    .await;
        }
    }

    /// Waits for a slot until the sample expires, even if it is held.
    async fn reserve_when_permitted(&mut self) -> Result<Reservation, ReservationError> {
        let mut is_logged = false;
        loop {
            let reserved = self.reserve_endpoint().await;
            if !matches!(reserved, Err(ReservationError::Held)) {
                return reserved;
            }
            if !is_logged {
                let job = &self.job;
                let crashes = lock(&job.server.quarantine).crash_count(&job.content);
                tracing::info!(batch = %job.batch, sample = %job.sample.id,
                    content = %job.content, crashes, "sample held: endpoints crashed under it");
                is_logged = true;
            }
            tokio::time::sleep(Duration::from_millis(HELD_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Returns the service that runs the sample next.
    fn pick_service(&self, route: &Route, origin: Option<&StreamOrigin>) -> Option<Name> {
        let draw = rand::Rng::random(&mut *lock(&self.job.server.rng));
        match origin {
            Some(origin) => Some(origin.service.clone()),
            None => route.pick_service(draw).cloned(),
        }
    }

    fn choose_endpoint(
        &self,
        service: &Name,
        avoid: &BTreeSet<Name>,
        origin: Option<&StreamOrigin>,
        max_occupancy: f64,
    ) -> Option<Name> {
        let job = &self.job;
        let server = &job.server;
        let requirements = EndpointRequirements {
            service,
            data_centre: &server.settings.data_centre,
            avoid,
            weights: Some((&job.model, job.min_weights_version)),
            software: origin.map(|origin| &*origin.software),
            max_occupancy,
            connected: &server.http.connected_addresses(),
            purpose: Purpose::Sample,
            length_weight: job.length_weight,
            slice: Some(job.slice),
        };
        lock(&server.pool).choose(now_ms(), &requirements, &mut *lock(&server.rng))
    }

    /// Returns about how long it takes to generate the text again, in milliseconds.
    fn regeneration_ms(&self) -> u64 {
        let events = self.text.last_event().unwrap_or(0);
        let job = &self.job;
        let pool = lock(&job.server.pool);
        let origin = self.text.origin();
        let pace = origin.and_then(|origin| pool.typical_pace(&origin.service));
        let event_ms = pace.unwrap_or(DEFAULT_EVENT_MS);
        Duration::from_secs_f64(event_ms.max(0.0) / 1_000.0)
            .saturating_mul(u32::try_from(events).unwrap_or(u32::MAX))
            .as_millis()
            .try_into()
            .unwrap_or(u64::MAX)
    }

    /// Discards the text if no endpoint of its software version can add to it, or if
    /// none was free until a time and an endpoint of another version is.
    fn discard_text_if_stuck(&mut self, route: &Route, discard_at_ms: u64) {
        let Some(origin) = self.text.origin().cloned() else {
            return;
        };
        let is_routed = route
            .services
            .iter()
            .any(|entry| entry.service == origin.service);
        let is_served = is_routed && lock(&self.job.server.pool).has_ready(&origin);
        let is_late = now_ms() >= discard_at_ms;
        let no_endpoints = BTreeSet::new();
        let is_free = |origin| {
            let service = self.pick_service(route, origin);
            service.is_some_and(|service| {
                self.choose_endpoint(&service, &no_endpoints, origin, MAX_RUN_OCCUPANCY)
                    .is_some()
            })
        };
        if is_served && !(is_late && is_free(None) && !is_free(Some(&origin))) {
            return;
        }
        tracing::info!(batch = %self.job.batch, sample = %self.job.sample.id, %origin,
            is_served, events = self.text.last_event(), "text discarded: its software has no room");
        self.discard_text();
    }

    fn discard_text(&mut self) {
        self.text = SampleText::new(self.job.min_weights_version, self.is_single_version);
        self.job.text_share.resize(0);
    }

    /// Records how a run ended; returns whether the sample is abandoned.
    fn on_run_end(&mut self, endpoint: &Name, end: RunEnd, max_failures: u32) -> bool {
        let (reason, detail) = match end {
            RunEnd::Complete => {
                self.is_complete = true;
                return false;
            }
            RunEnd::PermanentFailure => {
                self.failures = PERMANENT_FAILURE_COUNT;
                return true;
            }
            RunEnd::Failed => {
                self.failures += 1;
                (
                    RetryReason::AnswerInvalid,
                    "endpoint answered with an error".to_owned(),
                )
            }
            RunEnd::Broken(reason, detail) => (reason, detail),
            RunEnd::Moved(verdict) => {
                self.moves += 1;
                self.avoid.clear();
                (RetryReason::Straggler, verdict.to_string())
            }
            RunEnd::Refused(detail) => {
                self.avoid.clear();
                (RetryReason::EndpointRefused, detail)
            }
            RunEnd::TextUnusable(reason, detail) => {
                self.discard_text();
                (reason, detail)
            }
        };
        self.avoid.insert(endpoint.clone());
        self.job.server.metrics.on_retry(reason);
        tracing::info!(batch = %self.job.batch, sample = %self.job.sample.id,
            content = %self.job.content, %endpoint, %reason, detail, after_event = self.text.last_event(), "run ended early");
        self.failures >= max_failures
    }
}

/// Runs a sample at one endpoint after another until it can be listed.
pub(crate) async fn run_sample(
    mut runs: SampleRuns,
    first_reservation: Result<Reservation, ReservationError>,
) -> FinishedSample {
    let listed = run_until_listable(&mut runs, first_reservation).await;
    runs.job.into_finished(listed)
}

async fn run_until_listable(
    runs: &mut SampleRuns,
    first_reservation: Result<Reservation, ReservationError>,
) -> ListedSample {
    let started_ms = now_ms();
    let kept_events = runs.text.last_event();
    let mut next_reservation = first_reservation;
    while !runs.is_complete {
        let reservation = match next_reservation {
            Ok(reservation) => reservation,
            Err(ReservationError::Held) => {
                next_reservation = runs.reserve_when_permitted().await;
                continue;
            }
            Err(reason) => {
                tracing::info!(batch = %runs.job.batch, sample = %runs.job.sample.id, ?reason,
                    "given up");
                return runs.job.to_listed(ListedState::Dead, &runs.text, None);
            }
        };
        let max_failures = reservation.route.max_attempts;
        if runs.failures >= max_failures {
            reservation.in_flight.mark_incomplete();
            return runs.job.to_listed(ListedState::Dead, &runs.text, None);
        }
        let endpoint = reservation.in_flight.endpoint.clone();
        runs.run_count += 1;
        let may_move = runs.moves < MAX_MOVES;
        let event_before = runs.text.last_event();
        let slot_use = SlotUse::begin(&runs.job.server, &reservation.in_flight.origin.service);
        let end = run_once(&runs.job, reservation, &mut runs.text, may_move).await;
        let service = slot_use.end();
        let failures_before = runs.failures;
        let is_abandoned = runs.on_run_end(&endpoint, end, max_failures);
        if runs.failures > failures_before {
            let (job, count) = (&runs.job, runs.failures);
            let sample = &job.sample.id;
            failures::write_failures(&job.server, &job.batch, sample, FailedCall::Run, count).await;
        }
        if is_abandoned {
            return runs.job.to_listed(ListedState::Dead, &runs.text, None);
        }
        if runs.is_complete {
            let tokens = runs.job.sample.length_hint;
            let mut signals = lock(&runs.job.server.load_signals);
            signals.on_sample_complete(&service, tokens);
            break;
        }
        runs.runs_without_progress = if runs.text.last_event() > event_before {
            0
        } else {
            runs.runs_without_progress + 1
        };
        let wait_ms = RUN_RETRY_DELAY_MS << runs.runs_without_progress.min(MAX_RUN_RETRY_DOUBLINGS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        next_reservation = runs.reserve_endpoint().await;
    }
    finish_sample(runs, started_ms, kept_events).await
}

/// Scores a sample whose text is complete, if it asks for a score.
async fn finish_sample(
    runs: &SampleRuns,
    started_ms: u64,
    kept_events: Option<u64>,
) -> ListedSample {
    let job = &runs.job;
    let text_ms = now_ms();
    let sample_s = elapsed_seconds(started_ms, text_ms);
    job.server.metrics.sample_seconds.observe(sample_s);
    lock(&job.server.sample_lengths).on_complete(
        &job.model,
        job.sample.length_hint,
        runs.text.last_event().unwrap_or(0),
    );
    let score = match &job.sample.score {
        Some(call) => score::score_sample(job, call).await,
        None => None,
    };
    let is_scored = score.is_some();
    tracing::info!(batch = %job.batch, sample = %job.sample.id, runs = runs.run_count,
        events = runs.text.last_event(), kept_events, hint = job.sample.length_hint,
        run_ms = text_ms - started_ms, score_ms = now_ms() - text_ms, is_scored,
        "sample finished");
    let state = if is_scored || job.sample.score.is_none() {
        ListedState::Done
    } else {
        ListedState::Dead
    };
    job.to_listed(state, &runs.text, score)
}
