//! Forwards a caller's request to endpoints, with retries and hedging.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use hyper::Response;

use super::{
    attempt::{AttemptError, EndpointRequest, send_to_endpoint},
    content_runs::{self, StartOutcome},
    duties::{AttemptUsage, RequestUsage},
    endpoint_exchange::SendProgress,
    front::CallerRequest,
    response::Body,
    shortage::{Waiter, caller_entry},
    state::{InFlight, Server, lock},
    streams,
};
use crate::{
    core::{
        Name,
        pool::EndpointRequirements,
        quarantine::content_fingerprint,
        rate_limit::Purpose,
        retry::RetryReason,
        routes::{Route, RouteKind},
        streams::StreamOrigin,
    },
    daemon::{now_ms, sleep_until},
    error::{ErrorKind, Refusal},
    platform::forwardable_headers,
};

/// The share of the latency objective, in percent, after which an idempotent
/// request is hedged by a second one to another endpoint.
///
/// Later, the hedged request would miss the objective too; earlier, most
/// hedged requests would be wasted.
const HEDGE_PERCENT: u64 = 40;
/// The share of the latency objective, in percent, for which a request may wait for a
/// permit.
const PERMIT_WAIT_PERCENT: u64 = 50;
/// The shortest time after which a caller may retry whose request got no permit, in
/// milliseconds.
const MIN_LIMIT_RETRY_MS: u64 = 100;
/// The most endpoints without a permit that a request tries before it is refused.
const MAX_DENIED_PERMITS: u32 = 4;
/// How long before its caller's deadline a request is answered, in
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 10;
/// The share of its caller's time, in percent, after which a request is refused of which
/// no endpoint may have received a part: its caller has time to go elsewhere.
const UNSENT_PERCENT: u64 = 50;
/// The number of requests per slot below which an endpoint is chosen for a
/// first attempt or a retry: endpoints queue some requests beyond their slots,
/// and refuse at once what they cannot queue.
pub(super) const ATTEMPT_MAX_OCCUPANCY: f64 = 4.0;
/// The number of requests per slot below which an endpoint is chosen for a
/// hedged request.
const HEDGE_MAX_OCCUPANCY: f64 = 1.0;

type Attempt = BoxFuture<'static, (Name, Result<Response<Body>, AttemptError>)>;

/// What all attempts of a request have in common.
struct Forwarding<'a> {
    server: &'a Arc<Server>,
    route: &'a Arc<Route>,
    request: &'a CallerRequest,
    service: Name,
    /// The software version that a stream that is taken up again has to stay at.
    software: Option<Name>,
    content: Name,
    caller_deadline_ms: u64,
    /// How the request is counted for its account, if it is.
    usage: Option<Arc<RequestUsage>>,
}

/// The state of a request across its attempts.
struct ForwardState {
    /// The number of attempts that were started.
    attempts_started: u32,
    /// The number of attempts, also of those that were not sent.
    tried_attempts: u32,
    /// The attempts that were not sent, since their endpoints had reached their limits.
    denied_permits: u32,
    /// The endpoints that were tried.
    tried: BTreeSet<Name>,
    /// The attempts in progress, by their endpoints.
    running: BTreeMap<Name, SendProgress>,
    /// Whether an endpoint may have run the request.
    may_have_run: bool,
    /// The last error response of an endpoint.
    error_response: Option<Response<Body>>,
    /// Why the last attempt failed.
    message: String,
    /// Whether it waited for room before its first attempt.
    has_waited: bool,
    /// Until when the content is held, if it is.
    held_until_ms: Option<u64>,
}

impl ForwardState {
    /// Returns whether an endpoint may have received a part of the request.
    fn may_be_sent(&self) -> bool {
        self.may_have_run || self.running.values().any(SendProgress::may_be_sent)
    }
}

/// Forwards a caller's request and returns the response of an endpoint.
///
/// An idempotent request is hedged, and retried after any failure; another
/// request is retried only while no endpoint may have run it. If all attempts
/// failed, the last error response of an endpoint is returned, if there is one.
///
/// # Errors
///
/// Returns `Draining` if this VM may exit before the request ends,
/// `NoEndpoint` if the route has no service or its service no endpoint
/// that accepts requests, `Overloaded` if all endpoints are full or no attempt
/// ran the request, `ContentHeld` if its content has crashed endpoints,
/// `NoEndpoint` as well if no endpoint could be sent the request in half of its time,
/// `AttemptsExhausted` if all attempts failed without an error
/// response and one may have run the request, and `TimedOut` if no endpoint
/// answers before the deadline.
pub(crate) async fn forward_request(
    server: &Arc<Server>,
    route: &Arc<Route>,
    request: &CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let patience_ms = request.head.patience_ms.unwrap_or(route.timeout_ms);
    let wait_ms = patience_ms.min(route.timeout_ms);
    let answer_by_ms = (request.started_ms + wait_ms).saturating_sub(ANSWER_MARGIN_MS);
    let caller_deadline_ms = request.started_ms + patience_ms;
    check_ends_before_exit(server, route, answer_by_ms, caller_deadline_ms)?;
    let draw = rand::Rng::random(&mut *lock(&server.rng));
    let picked = route.pick_service(draw).cloned().ok_or_else(|| {
        Refusal::new(
            ErrorKind::NoEndpoint,
            format!("route {} has no service", route.name),
        )
    })?;
    let (service, software) = match resumed_origin(server, route, request).await? {
        Some(origin) => (origin.service, Some(origin.software)),
        None => (picked, None),
    };
    let forwarding = Forwarding {
        server,
        route,
        request,
        service,
        software,
        content: content_fingerprint(&request.head.host, &request.head.target, &request.body),
        caller_deadline_ms,
        usage: RequestUsage::of(server, request.account.as_ref()),
    };
    let mut state = ForwardState {
        attempts_started: 0,
        tried_attempts: 0,
        denied_permits: 0,
        tried: BTreeSet::new(),
        running: BTreeMap::new(),
        may_have_run: false,
        error_response: None,
        message: String::new(),
        has_waited: false,
        held_until_ms: None,
    };
    let first = forwarding.start_first(&mut state, answer_by_ms).await?;
    let mut running: FuturesUnordered<Attempt> = FuturesUnordered::new();
    running.push(first);
    let is_idempotent = route.kind == RouteKind::Idempotent;
    let mut unsent_until_ms = request.started_ms + wait_ms * UNSENT_PERCENT / 100;
    if state.has_waited {
        // Its turn has just come, so that the time before it does not count.
        let left_ms = answer_by_ms.saturating_sub(now_ms());
        unsent_until_ms = unsent_until_ms.max(now_ms() + left_ms * UNSENT_PERCENT / 100);
    }
    let mut hedge_at_ms = now_ms() + route.target_latency_ms * HEDGE_PERCENT / 100;
    loop {
        let may_hedge = is_idempotent && state.attempts_started < route.max_attempts;
        tokio::select! {
            Some((endpoint, result)) = running.next() => {
                match result {
                    Ok(response) => return Ok(response),
                    Err(error) => forwarding.record_failure(&endpoint, error, &mut state),
                }
                let may_retry = is_idempotent || !state.may_have_run;
                if may_retry && now_ms() < answer_by_ms
                    && let Some(next) = forwarding.start_next(&mut state, Purpose::Caller) {
                    running.push(next);
                }
                if running.is_empty() {
                    return forwarding.outcome_of_failed_attempts(state);
                }
            }
            () = sleep_until(hedge_at_ms), if may_hedge => {
                // A request is hedged at most once.
                hedge_at_ms = u64::MAX / 2;
                if let Some(hedge) = forwarding.start_next(&mut state, Purpose::Hedge) {
                    server.metrics.on_retry(RetryReason::AnswerStalled);
                    running.push(hedge);
                }
            }
            () = sleep_until(unsent_until_ms) => {
                if !state.may_be_sent() {
                    return Err(unsent_refusal(&forwarding.service));
                }
                unsent_until_ms = u64::MAX / 2;
            }
            () = sleep_until(answer_by_ms) => {
                if !state.may_be_sent() {
                    return Err(unsent_refusal(&forwarding.service));
                }
                let service = &forwarding.service;
                let message =
                    format!("no endpoint of service {service} answered before the deadline");
                return Err(Refusal::new(ErrorKind::TimedOut, message));
            }
        }
    }
}

/// Refuses a request that may still be in progress when this VM exits.
fn check_ends_before_exit(
    server: &Server,
    route: &Route,
    answer_by_ms: u64,
    caller_deadline_ms: u64,
) -> Result<(), Refusal> {
    let ends_by_ms = if route.kind.is_stream() {
        caller_deadline_ms
    } else {
        answer_by_ms
    };
    if server.admits(ends_by_ms) {
        return Ok(());
    }
    let may_take_ms = ends_by_ms.saturating_sub(now_ms());
    let message =
        format!("this VM shuts down, and the request may take up to {may_take_ms} ms more");
    Err(Refusal::new(ErrorKind::Draining, message))
}

/// Returns where a stream has to go on, if the request takes one up again.
async fn resumed_origin(
    server: &Server,
    route: &Route,
    request: &CallerRequest,
) -> Result<Option<StreamOrigin>, Refusal> {
    let head = &request.head;
    if !route.kind.is_stream() || !head.is_resumed {
        return Ok(None);
    }
    let origin = streams::origin_of(server, head).await?;
    let is_routed = route
        .services
        .iter()
        .any(|entry| entry.service == origin.service);
    if is_routed && lock(&server.pool).has_ready(&origin) {
        return Ok(Some(origin));
    }
    if !lock(&server.pool).has_been_read() {
        let message = format!("this VM has not read yet whether {origin} serves");
        return Err(Refusal::new(ErrorKind::StreamUnknown, message));
    }
    let message = format!("{origin} serves no more");
    Err(Refusal::new(ErrorKind::StreamLost, message))
}

/// Returns the refusal of a request whose service has reached its request limits, with
/// a time to retry that is spread, so that callers do not return together.
fn limit_refusal(server: &Server, service: &Name, message: String) -> Refusal {
    let now_ms = now_ms();
    let allowed_at_ms = lock(&server.pool).limits_allow_at_ms(service, now_ms);
    let wait_ms = allowed_at_ms.map_or(MIN_LIMIT_RETRY_MS, |at_ms| at_ms - now_ms);
    let wait_ms = wait_ms.max(MIN_LIMIT_RETRY_MS);
    let spread_ms = rand::Rng::random_range(&mut *lock(&server.rng), 0..=wait_ms);
    Refusal::new(ErrorKind::Overloaded, message).with_retry_at(now_ms + wait_ms + spread_ms)
}

fn unsent_refusal(service: &Name) -> Refusal {
    let message = format!("no endpoint of service {service} could be sent the request in time");
    Refusal::new(ErrorKind::NoEndpoint, message)
}

fn no_endpoint_refusal(server: &Server, service: &Name) -> Refusal {
    let has_reached_limits = lock(&server.pool)
        .limits_allow_at_ms(service, now_ms())
        .is_some();
    if has_reached_limits {
        let message = format!("all endpoints of service {service} have reached their limits");
        limit_refusal(server, service, message)
    } else if lock(&server.pool).has_ready_endpoint(service) {
        lock(&server.load_signals).on_refused(service);
        let message = format!("all endpoints of service {service} are full");
        Refusal::new(ErrorKind::Overloaded, message)
    } else {
        lock(&server.load_signals).on_refused(service);
        let message = format!("service {service} has no endpoint that accepts requests");
        Refusal::new(ErrorKind::NoEndpoint, message)
    }
}

impl Forwarding<'_> {
    fn choose_endpoint(&self, avoid: &BTreeSet<Name>, purpose: Purpose) -> Option<Name> {
        let server = self.server;
        let max_occupancy = match purpose {
            Purpose::Hedge => HEDGE_MAX_OCCUPANCY,
            _ => ATTEMPT_MAX_OCCUPANCY,
        };
        let requirements = EndpointRequirements {
            service: &self.service,
            data_centre: &server.settings.data_centre,
            avoid,
            weights: None,
            software: self.software.as_deref(),
            max_occupancy,
            connected: &server.http.connected_addresses(),
            purpose,
            length_weight: 0.0,
            slice: None,
        };
        lock(&server.pool).choose(now_ms(), &requirements, &mut *lock(&server.rng))
    }

    /// Starts the first attempt.
    async fn start_first(
        &self,
        state: &mut ForwardState,
        answer_by_ms: u64,
    ) -> Result<Attempt, Refusal> {
        let choose = |avoid: &BTreeSet<Name>| self.choose_endpoint(avoid, Purpose::Caller);
        let start = || {
            let wait_until_ms = answer_by_ms.min(now_ms() + self.route.target_latency_ms);
            content_runs::start(self.server, &self.content, wait_until_ms, choose)
        };
        let entry = || {
            caller_entry(
                self.server,
                self.route,
                &self.service,
                self.request,
                answer_by_ms,
            )
        };
        let started = match Waiter::enter(self.server, &self.service, entry) {
            Some(mut waiter) => {
                let started = waiter.start_in_turn(start).await?;
                state.has_waited = waiter.has_waited();
                started
            }
            None => start().await?,
        };
        let in_flight = started.ok_or_else(|| no_endpoint_refusal(self.server, &self.service))?;
        Ok(self.attempt(state, in_flight, Purpose::Caller))
    }

    /// Starts a retry or a hedged request, unless there is no attempt left, no
    /// endpoint accepts it, or the content may crash endpoints.
    fn start_next(&self, state: &mut ForwardState, purpose: Purpose) -> Option<Attempt> {
        let is_given_up = state.denied_permits >= MAX_DENIED_PERMITS;
        if state.attempts_started >= self.route.max_attempts || is_given_up {
            return None;
        }
        let choose = |suspects: &BTreeSet<Name>| {
            let avoid = &state.tried | suspects;
            self.choose_endpoint(&avoid, purpose)
        };
        match content_runs::try_start(self.server, &self.content, purpose, choose) {
            StartOutcome::Started(in_flight) => Some(self.attempt(state, in_flight, purpose)),
            StartOutcome::Held { until_ms } => {
                state.held_until_ms = Some(until_ms);
                None
            }
            StartOutcome::NoEndpoint | StartOutcome::Wait | StartOutcome::Unclaimed(_) => None,
        }
    }

    fn attempt(&self, state: &mut ForwardState, in_flight: InFlight, purpose: Purpose) -> Attempt {
        state.attempts_started += 1;
        state.tried.insert(in_flight.endpoint.clone());
        let usage = self.usage.clone().map(|request| AttemptUsage {
            request,
            attempt: state.tried_attempts,
        });
        state.tried_attempts += 1;
        let progress = SendProgress::of_attempt(usage);
        state
            .running
            .insert(in_flight.endpoint.clone(), progress.clone());
        let (server, route) = (self.server.clone(), self.route.clone());
        let (head, headers, body) = (
            self.request.head.clone(),
            self.request.headers.clone(),
            self.request.body.clone(),
        );
        let (caller_deadline_ms, priority) = (self.caller_deadline_ms, self.request.priority);
        let max_wait_ms = route.target_latency_ms * PERMIT_WAIT_PERCENT / 100;
        Box::pin(async move {
            let id = head.request_id.clone().unwrap_or_default();
            let endpoint = in_flight.endpoint.clone();
            let outgoing = EndpointRequest {
                method: head.method.clone(),
                path: &head.target,
                headers: forwardable_headers(&headers),
                host: &head.host,
                id: &id,
                body,
                caller_deadline_ms,
                purpose,
                priority,
                is_resumed: head.is_resumed,
                resumed_request: head.resumed_request.clone(),
                max_wait_ms,
                progress: progress.clone(),
            };
            let result = send_to_endpoint(&server, &route, in_flight, outgoing).await;
            if let Err(AttemptError::NotPermitted(_) | AttemptError::NotRun(..)) = &result {
                progress.on_not_run();
            }
            (endpoint, result)
        })
    }

    fn record_failure(&self, endpoint: &Name, error: AttemptError, state: &mut ForwardState) {
        state.running.remove(endpoint);
        let (request, content) = (self.request, &self.content);
        let id = request.head.request_id.as_deref().unwrap_or("-");
        let (reason, message, ran) = match error {
            AttemptError::NotPermitted(message) => {
                // The endpoint did not get it, so that it is no attempt.
                state.attempts_started -= 1;
                state.denied_permits += 1;
                (RetryReason::LimitReached, message, false)
            }
            AttemptError::NotRun(reason, message) => (reason, message, false),
            AttemptError::MayHaveRun(reason, message) => (reason, message, true),
            AttemptError::ErrorResponse(response) => {
                let message = format!("endpoint answered {}", response.status());
                state.error_response = Some(*response);
                (RetryReason::AnswerInvalid, message, true)
            }
        };
        self.server.metrics.on_retry(reason);
        let age_ms = now_ms() - request.started_ms;
        tracing::info!(id, %content, %endpoint, %reason, detail = message, ran, age_ms,
            sent = state.attempts_started, "attempt failed");
        state.may_have_run |= ran;
        state.message = message;
    }

    fn outcome_of_failed_attempts(&self, state: ForwardState) -> Result<Response<Body>, Refusal> {
        if let Some(response) = state.error_response {
            return Ok(response);
        }
        if !state.may_have_run && state.held_until_ms.is_none() && state.denied_permits > 0 {
            return Err(limit_refusal(self.server, &self.service, state.message));
        }
        let kind = if state.may_have_run {
            ErrorKind::AttemptsExhausted
        } else {
            lock(&self.server.load_signals).on_refused(&self.service);
            ErrorKind::Overloaded
        };
        let refusal = Refusal::new(kind, state.message);
        Err(match state.held_until_ms {
            Some(until_ms) => refusal.with_retry_at(until_ms),
            None => refusal,
        })
    }
}
