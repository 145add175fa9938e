//! Scores a sample whose text is complete.

use std::{collections::BTreeSet, time::Duration};

use hyper::{HeaderMap, Method, StatusCode};

use super::{
    attempt::record_answer_head,
    content_runs::{self, StartOutcome},
    crash,
    endpoint_exchange::{self, Outgoing},
    failures::{FailedCall, write_failures},
    metrics::elapsed_seconds,
    permits,
    sample::{HELD_CHECK_INTERVAL_MS, SampleJob},
    shortage::{TrainingTurn, score_entry},
    state::{InFlight, lock},
};
use crate::{
    core::{
        Name, batch::ScoreCall, pool::EndpointRequirements, quarantine::content_fingerprint,
        rate_limit::Purpose, retry::RetryReason, routes::Route,
    },
    daemon::now_ms,
    platform::{RequestHeaders, build_request, parse_answer_head},
};

/// The timeout of a score call, as a multiple of its route's latency objective.
/// A call that times out is retried, since its answer may be lost, and then waits
/// twice as long, since it may only be slow.
const SCORE_TIMEOUT_FACTOR: u64 = 2;
/// How often the timeout is doubled at most; the route's timeout bounds it too.
const MAX_TIMEOUT_DOUBLINGS: u32 = 6;
/// How long to wait before a score call is retried, or before the pool is
/// searched again for an endpoint, in milliseconds.
const SCORE_RETRY_DELAY_MS: u64 = 15;
/// The occupancy below which an endpoint is sent score calls. The rest of its
/// slots stays free for callers, who need them at once.
pub(super) const MAX_SCORE_OCCUPANCY: f64 = 0.84;

/// How one score call ended.
enum CallEnd {
    Scored(Name),
    /// The endpoint ran it and answered with an error.
    Failed,
    /// It brought no usable answer and may be retried.
    Retry(RetryReason, String),
    /// It brought no answer within its timeout.
    TimedOut,
}

/// Returns the score of a sample.
///
/// Returns `None` if the sample expires, its route is gone or the call fails too
/// often.
pub(crate) async fn score_sample(job: &SampleJob, call: &ScoreCall) -> Option<Name> {
    let server = &job.server;
    let started_ms = now_ms();
    let content = content_fingerprint(&call.host, &call.path, &call.body);
    let mut failures = job.failures.score_calls;
    let mut timeouts = 0;
    let mut avoid = BTreeSet::new();
    let mut turn = TrainingTurn::default();
    loop {
        let route = server.routes().find(&call.host, &call.path).cloned();
        let clock = server.store.clock_bounds_ms();
        let is_over = clock.is_some_and(|(earliest_ms, _)| earliest_ms > job.expires_platform_ms);
        let Some(route) = route.filter(|_| !is_over) else {
            tracing::info!(batch = %job.batch, sample = %job.sample.id, is_over,
                "sample not scored");
            return None;
        };
        if failures >= route.max_attempts {
            return None;
        }
        let draw = rand::Rng::random(&mut *lock(&server.rng));
        let service = turn.service().or_else(|| route.pick_service(draw)).cloned();
        let entry = |service: &Name| score_entry(job, &route, service, call);
        let Some(max_occupancy) = turn
            .wait(server, service.as_ref(), MAX_SCORE_OCCUPANCY, entry)
            .await
        else {
            continue;
        };
        let choose = |suspects: &BTreeSet<Name>| {
            choose_endpoint(job, service.as_ref()?, &(&avoid | suspects), max_occupancy)
        };
        let started = content_runs::try_start(server, &content, Purpose::Score, choose);
        let in_flight = match started {
            StartOutcome::Started(in_flight) => {
                turn.on_started();
                Some(in_flight)
            }
            StartOutcome::NoEndpoint | StartOutcome::Wait | StartOutcome::Unclaimed(_) => None,
            StartOutcome::Held { .. } => {
                turn = TrainingTurn::default();
                tokio::time::sleep(Duration::from_millis(HELD_CHECK_INTERVAL_MS)).await;
                continue;
            }
        };
        let Some(in_flight) = in_flight else {
            turn.on_not_placed();
            avoid.clear();
            tokio::time::sleep(Duration::from_millis(SCORE_RETRY_DELAY_MS)).await;
            continue;
        };
        let endpoint = in_flight.endpoint.clone();
        match call_endpoint(job, call, &route, in_flight, timeouts).await {
            CallEnd::Scored(score) => {
                let score_s = elapsed_seconds(started_ms, now_ms());
                server.metrics.score_seconds.observe(score_s);
                return Some(score);
            }
            CallEnd::Failed => {
                failures += 1;
                tracing::info!(sample = %job.sample.id, call = %call.id, %endpoint, failures,
                    "score call failed");
                let sample = &job.sample.id;
                write_failures(server, &job.batch, sample, FailedCall::Score, failures).await;
            }
            CallEnd::TimedOut => {
                timeouts += 1;
                server.metrics.on_retry(RetryReason::AnswerStalled);
                tracing::info!(sample = %job.sample.id, call = %call.id, %content, %endpoint, timeouts,
                    "score call timed out");
            }
            CallEnd::Retry(reason, message) => {
                server.metrics.on_retry(reason);
                tracing::info!(sample = %job.sample.id, call = %call.id, %content, %endpoint, %reason,
                    detail = message, "score call ended early");
                tokio::time::sleep(Duration::from_millis(SCORE_RETRY_DELAY_MS)).await;
            }
        }
        avoid.insert(endpoint);
    }
}

fn choose_endpoint(
    job: &SampleJob,
    service: &Name,
    avoid: &BTreeSet<Name>,
    max_occupancy: f64,
) -> Option<Name> {
    let server = &job.server;
    let requirements = EndpointRequirements {
        service,
        data_centre: &server.settings.data_centre,
        avoid,
        weights: None,
        max_occupancy,
        connected: &server.http.connected_addresses(),
        purpose: Purpose::Score,
        software: None,
        length_weight: 0.0,
        slice: None,
    };
    lock(&server.pool).choose(now_ms(), &requirements, &mut *lock(&server.rng))
}

async fn call_endpoint(
    job: &SampleJob,
    call: &ScoreCall,
    route: &Route,
    in_flight: InFlight,
    timeouts: u32,
) -> CallEnd {
    let server = &job.server;
    let endpoint = &in_flight.endpoint;
    let address = lock(&server.pool)
        .get(endpoint)
        .map(|known| known.record.address);
    let Some(address) = address else {
        in_flight.mark_incomplete();
        return CallEnd::Retry(
            RetryReason::ConnectFailed,
            "endpoint is no longer listed".to_owned(),
        );
    };
    let permit = match permits::obtain(server, endpoint, &call.id, Purpose::Score, 0).await {
        Ok(permit) => permit,
        Err(error) => {
            in_flight.mark_incomplete();
            return CallEnd::Retry(RetryReason::LimitReached, error.to_string());
        }
    };
    let timeout_ms =
        (route.target_latency_ms * SCORE_TIMEOUT_FACTOR) << timeouts.min(MAX_TIMEOUT_DOUBLINGS);
    let timeout_ms = timeout_ms.clamp(1, route.timeout_ms.max(1));
    let request_headers = RequestHeaders {
        request_id: &call.id,
        endpoint,
        host: &call.host,
        // What is left stays the same over all tries: a try that times out closes its
        // connection, which cancels it.
        remaining_ms: job.remaining_ms(route),
        after_event: None,
        priority: None,
    };
    let request = build_request(
        Method::POST,
        &call.path,
        HeaderMap::new(),
        &request_headers,
        call.body.clone(),
    );
    let request = match request {
        Ok(request) => request,
        Err(message) => {
            in_flight.mark_incomplete();
            return CallEnd::Retry(RetryReason::AnswerInvalid, message);
        }
    };
    let deadline_ms = now_ms() + timeout_ms;
    let outgoing = Outgoing::of_background(Purpose::Score, request, permit, deadline_ms);
    let reply =
        endpoint_exchange::exchange_whole(server, endpoint, address, outgoing, deadline_ms).await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            server.http.close_idle(address);
            endpoint_exchange::on_failed(server, endpoint, &error);
            crash::on_broken_run(server, &in_flight, &call.id, &error).await;
            if now_ms() >= deadline_ms {
                return CallEnd::TimedOut;
            }
            let reason = endpoint_exchange::retry_reason(&error);
            return CallEnd::Retry(reason, error.to_string());
        }
    };
    let head = parse_answer_head(reply.status, &reply.headers);
    record_answer_head(server, &in_flight, &head);
    in_flight.record_answer(&head);
    let is_valid = head.is_own_answer() && !head.is_not_run;
    match (reply.status, head.stamp) {
        (status, Some(stamp)) if is_valid && status.is_success() => {
            let took_s = elapsed_seconds(in_flight.started_ms, now_ms());
            let target_s = elapsed_seconds(0, route.target_latency_ms.max(1));
            if let Some(known) = lock(&server.pool).get_mut(endpoint) {
                known.on_success();
                known.on_measured_pace(in_flight.started_ms, now_ms(), took_s / target_s);
            }
            CallEnd::Scored(stamp)
        }
        (StatusCode::INTERNAL_SERVER_ERROR, Some(_)) if is_valid => CallEnd::Failed,
        (status, _) => CallEnd::Retry(
            RetryReason::EndpointRefused,
            format!("endpoint answered {status}"),
        ),
    }
}
