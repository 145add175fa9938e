//! Running one sample until it can be listed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    metrics::elapsed_seconds,
    progress::Progress,
    run_once::run_once,
    score,
    state::{InFlight, Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{
            ListedSample, ListedState, RunPace, RunVerdict, SampleSpec, SampleText, SavedText,
        },
        pool::{EndpointRequirements, EndpointSlice},
        retry::RetryReason,
        routes::Route,
    },
    daemon::now_ms,
};

/// How long to wait for a place at an endpoint before looking again, in
/// milliseconds.
const LOOK_MS: u64 = 25;
/// How long to wait after a run that added nothing, in milliseconds; doubled
/// with each further one.
const AFTER_REFUSAL_MS: u64 = 10;
/// How often that wait is doubled: to a third of a second, in which weights
/// are loaded for the most part.
const MAX_DOUBLINGS: u32 = 5;
/// How much of its slots an endpoint may have taken: a run that waits at an
/// endpoint can no longer go to the one that is free first.
const MAX_OCCUPANCY: f64 = 1.0;
/// How often the run of one sample may move to a faster endpoint.
const MAX_MOVES: u32 = 4;
/// How much of its slots an endpoint may have taken to be moved to.
const MOVE_OCCUPANCY: f64 = 0.75;

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
    /// How many times the usual silence its runs wait to begin.
    pub(crate) start_wait_factor: u64,
    /// The endpoints that its share fills first.
    pub(crate) slice: EndpointSlice,
    /// What is kept of its text.
    pub(crate) kept: Option<SavedText>,
    /// Where its text is kept while it grows.
    pub(crate) progress: Arc<Progress>,
}

/// A place at an endpoint.
pub(crate) struct Place {
    pub(crate) route: Arc<Route>,
    pub(crate) in_flight: InFlight,
}

/// Why no place is to be had any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoPlace {
    RouteGone,
    TimeOver,
}

/// How one run ended.
pub(crate) enum RunEnd {
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
                let in_flight = self.server.track_request(&endpoint);
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
        let wanted = EndpointRequirements {
            service: route.pick_service(draw)?,
            data_centre: &self.server.settings.data_centre,
            avoid,
            weights: Some((&self.model, self.min_weights_version)),
            max_occupancy: MAX_OCCUPANCY,
            connected: &self.server.http.connected_addresses(),
            slice: Some(self.slice),
        };
        lock(&self.server.pool).choose(now_ms(), &wanted, &mut *lock(&self.server.rng))
    }

    /// Returns whether a run should move to another endpoint.
    pub(crate) fn may_move(&self, in_flight: &InFlight, pace: &RunPace) -> bool {
        let avoid = BTreeSet::from([in_flight.endpoint.clone()]);
        let wanted = EndpointRequirements {
            service: &in_flight.service,
            data_centre: &self.server.settings.data_centre,
            avoid: &avoid,
            weights: Some((&self.model, self.min_weights_version)),
            max_occupancy: MOVE_OCCUPANCY,
            connected: &self.server.http.connected_addresses(),
            slice: Some(self.slice),
        };
        let event_ms = pace.ms_per_event();
        let pool = lock(&self.server.pool);
        pool.has_better_endpoint(now_ms(), &wanted, event_ms, &mut *lock(&self.server.rng))
    }

    fn is_time_over(&self) -> bool {
        let clock = self.server.store.clock_bounds_ms();
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

/// A sample on its way to being listed.
struct SampleRun {
    job: SampleJob,
    text: SampleText,
    is_complete: bool,
    is_single_version: bool,
    runs: u32,
    moves: u32,
    failures: u32,
    /// Runs in a row that added nothing to the text.
    fruitless: u32,
    avoid: BTreeSet<Name>,
}

impl SampleRun {
    fn new(job: SampleJob, is_single_version: bool) -> Self {
        let least = job.min_weights_version;
        let kept = job.kept.as_ref();
        let kept = kept.and_then(|saved| {
            let text = SampleText::restore(saved, least, is_single_version)?;
            Some((text, saved.is_complete))
        });
        let (text, is_complete) =
            kept.unwrap_or_else(|| (SampleText::new(least, is_single_version), false));
        Self {
            job,
            text,
            is_complete,
            is_single_version,
            runs: 0,
            moves: 0,
            failures: 0,
            fruitless: 0,
            avoid: BTreeSet::new(),
        }
    }

    /// Notes how a run ended; returns true where the sample is given up.
    fn on_end(&mut self, endpoint: &Name, end: RunEnd, max_failures: u32) -> bool {
        let (reason, detail) = match end {
            RunEnd::Complete => {
                self.is_complete = true;
                return false;
            }
            RunEnd::Never => return true,
            RunEnd::Failed => {
                self.failures += 1;
                (RetryReason::AnswerInvalid, "failed".to_owned())
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
            RunEnd::Unusable(detail) => {
                let least = self.job.min_weights_version;
                self.text = SampleText::new(least, self.is_single_version);
                (RetryReason::AnswerInvalid, detail)
            }
        };
        self.avoid.insert(endpoint.clone());
        self.job.server.metrics.on_retry(reason);
        tracing::info!(batch = %self.job.batch, sample = %self.job.sample.id, %endpoint, %reason,
            detail, after_event = self.text.last_event(), "run ended early");
        self.failures >= max_failures
    }
}

/// Runs a sample until it can be listed.
pub(crate) async fn run(job: SampleJob, first: Result<Place, NoPlace>) -> ListedSample {
    let started_ms = now_ms();
    let is_single = matches!(&first, Ok(place) if place.route.is_single_version);
    let mut run = SampleRun::new(job, is_single);
    let kept_events = run.text.last_event();
    let mut place = first;
    while !run.is_complete {
        let taken = match place {
            Ok(taken) => taken,
            Err(reason) => {
                tracing::info!(batch = %run.job.batch, sample = %run.job.sample.id, ?reason,
                    "given up");
                return run.job.listed(ListedState::Dead, &run.text, None);
            }
        };
        let max_failures = taken.route.max_attempts;
        let endpoint = taken.in_flight.endpoint.clone();
        run.runs += 1;
        let may_move = run.moves < MAX_MOVES;
        let before = run.text.last_event();
        let end = run_once(&run.job, taken, &mut run.text, may_move).await;
        if run.on_end(&endpoint, end, max_failures) {
            return run.job.listed(ListedState::Dead, &run.text, None);
        }
        if run.is_complete {
            break;
        }
        run.fruitless = if run.text.last_event() > before {
            0
        } else {
            run.fruitless + 1
        };
        let wait_ms = AFTER_REFUSAL_MS << run.fruitless.min(MAX_DOUBLINGS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        place = run.job.place(&run.avoid).await;
    }
    finish(&run, started_ms, kept_events).await
}

/// Has a whole text scored.
async fn finish(run: &SampleRun, started_ms: u64, kept_events: Option<u64>) -> ListedSample {
    let job = &run.job;
    let text_ms = now_ms();
    let sample_s = elapsed_seconds(started_ms, text_ms);
    job.server.metrics.sample_seconds.observe(sample_s);
    let Some(call) = &job.sample.score else {
        return job.listed(ListedState::Done, &run.text, None);
    };
    let score = score::score(job, call).await;
    tracing::info!(batch = %job.batch, sample = %job.sample.id, runs = run.runs,
        events = run.text.last_event(), kept_events, hint = job.sample.length_hint,
        run_ms = text_ms - started_ms, score_ms = now_ms() - text_ms,
        is_scored = score.is_some(), "sample finished");
    let state = if score.is_some() {
        ListedState::Done
    } else {
        ListedState::Dead
    };
    job.listed(state, &run.text, score)
}
