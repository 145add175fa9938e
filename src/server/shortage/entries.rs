use std::time::Duration;

use rand::Rng;

use crate::{
    core::{
        Name,
        batch::ScoreCall,
        routes::{Route, RouteTable},
        shortage::{Entry, WorkKind},
    },
    daemon::now_ms,
    server::{
        front::CallerRequest,
        sample::SampleJob,
        state::{Server, lock},
    },
};

/// The time between two events of a sample until a pace is known, in milliseconds.
const DEFAULT_EVENT_MS: f64 = 20.0;
/// The number of events of a sample until samples of its model have ended.
const DEFAULT_EVENTS: f64 = 100.0;

/// Returns the entry of a caller's request that is answered by a time.
pub(crate) fn caller_entry(
    server: &Server,
    route: &Route,
    service: &str,
    request: &CallerRequest,
    answer_by_ms: u64,
) -> Entry {
    let kind = if route.kind.is_stream() {
        WorkKind::Stream
    } else {
        WorkKind::Request
    };
    // A caller without an id is not recognized when it comes back.
    let id = request.head.request_id.clone().unwrap_or_else(|| {
        let draw: u64 = lock(&server.rng).random();
        format!("without-id-{draw:x}").into()
    });
    let wait_ms = answer_by_ms.saturating_sub(request.started_ms);
    Entry {
        id,
        kind,
        priority: request.priority.unwrap_or(route.priority),
        account: request.account.clone(),
        came_ms: request.started_ms,
        objective_at_ms: request.started_ms + route.target_latency_ms,
        deadline_ms: answer_by_ms,
        work_ms: answer_work_ms(server, route, service).min(wait_ms / 2),
    }
}

/// Returns the entry of a sample.
pub(crate) fn sample_entry(job: &SampleJob, route: &Route, service: &str) -> Entry {
    let server = &job.server;
    let events = lock(&server.sample_lengths).hinted_events(&job.model, job.sample.length_hint);
    let event_ms = lock(&server.pool).typical_pace(service);
    let events = events.unwrap_or(DEFAULT_EVENTS);
    let generation_s = events * event_ms.unwrap_or(DEFAULT_EVENT_MS) / 1_000.0;
    let due_ms = match server.store.clock_bounds_ms() {
        Some((_, latest_ms)) => job.due_platform_ms.saturating_sub(latest_ms),
        None => job.remaining_ms(route),
    };
    let work_ms = millis(generation_s);
    training_entry(
        job,
        route,
        WorkKind::Sample,
        &job.sample.id,
        (due_ms, work_ms),
    )
}

/// Returns the entry of a score call.
pub(crate) fn score_entry(
    job: &SampleJob,
    route: &Route,
    service: &str,
    call: &ScoreCall,
) -> Entry {
    let work_ms = answer_work_ms(&job.server, route, service);
    let terms = (route.target_latency_ms, work_ms);
    training_entry(job, route, WorkKind::ScoreCall, &call.id, terms)
}

/// Its work is bounded by half of its time: an estimate never keeps it from running.
fn training_entry(
    job: &SampleJob,
    route: &Route,
    kind: WorkKind,
    id: &Name,
    (due_ms, work_ms): (u64, u64),
) -> Entry {
    let now_ms = now_ms();
    let remaining_ms = job.remaining_ms(route);
    let routes = job.server.routes();
    Entry {
        id: id.clone(),
        kind,
        priority: account_priority(&routes, job.account.as_ref()).unwrap_or(route.priority),
        account: job.account.clone(),
        came_ms: now_ms,
        objective_at_ms: now_ms + due_ms,
        deadline_ms: now_ms + remaining_ms,
        work_ms: work_ms.min(remaining_ms / 2),
    }
}

fn account_priority(routes: &RouteTable, account: Option<&Name>) -> Option<u8> {
    routes.accounts()?.find_by_name(account?)?.priority
}

/// Returns the estimated work of a request with one answer, or of the begin of a stream, in
/// milliseconds: that of a plain service is measured in multiples of the objective.
fn answer_work_ms(server: &Server, route: &Route, service: &str) -> u64 {
    let routes = server.routes();
    let is_plain = routes
        .pools()
        .get(service)
        .is_some_and(|pool| pool.models.is_empty());
    let pace = lock(&server.pool).typical_pace(service);
    let factor = pace.filter(|_| is_plain).unwrap_or(1.0).clamp(0.0, 1.0);
    let target = Duration::from_millis(route.target_latency_ms);
    millis(target.as_secs_f64() * factor).max(1)
}

fn millis(seconds: f64) -> u64 {
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
