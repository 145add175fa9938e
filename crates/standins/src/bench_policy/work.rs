//! The path of requests and samples through a daemon.

use std::collections::BTreeSet;

use chicoryreach::{
    core::{
        Name,
        admission::{Decision, Dequeued, Priority, RequestEnd},
        endpoint::{Endpoint, EndpointState},
        request::AttemptFailure,
        retry::{RetryReason, backoff_ms},
        routing,
    },
    error::{ErrorKind, Refusal},
    wire::trainers::Slot,
};
use rand::Rng;

use super::{
    endpoint::Job,
    policy::Routing,
    workload::CALLER_TIMEOUT_MS,
    world::{DaemonSim, Event, MAX_IN_FLIGHT_PER_ENDPOINT, World},
};

pub(super) const MAX_ATTEMPTS: u32 = 4;
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 1_000;
/// The retry delay of a caller whose refusal carries no retry time.
const DEFAULT_RETRY_DELAY_MS: u64 = 1_000;
const NETWORK_DELAY_MS: u64 = 1;

/// The origin of a work item.
#[derive(Clone, Copy, Debug)]
pub(super) enum WorkKind {
    Caller {
        is_idempotent: bool,
    },
    /// A caller's request that crashes each endpoint that runs it.
    Poison,
    Sample {
        trainer: usize,
        slot: Slot,
    },
}

/// A caller's request or a sample.
#[derive(Clone, Debug)]
pub(super) struct WorkItem {
    pub(super) kind: WorkKind,
    pub(super) service: usize,
    pub(super) daemon: usize,
    pub(super) units: u32,
    /// Units done by earlier attempts.
    pub(super) done_units: u32,
    pub(super) priority: Priority,
    pub(super) arrived_ms: u64,
    pub(super) admitted_ms: Option<u64>,
    pub(super) deadline_ms: u64,
    pub(super) avoid: BTreeSet<Name>,
    /// Attempts since the last admission.
    pub(super) attempt_count: u32,
    pub(super) was_sent: bool,
    pub(super) has_run: bool,
    pub(super) oldest_version: u64,
    pub(super) min_version: u64,
    pub(super) attempt_id: Option<u64>,
    /// The number in the admission queue, while the request waits there.
    pub(super) queue_number: Option<u64>,
}

/// An attempt at a work item, sent to one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) work_id: u64,
    pub(super) endpoint: usize,
    pub(super) sent_ms: u64,
    pub(super) started_ms: Option<u64>,
    /// Units done by this attempt; set when it is aborted or cancelled.
    pub(super) done_units: u32,
}

impl WorkItem {
    pub(super) const fn is_caller(&self) -> bool {
        !matches!(self.kind, WorkKind::Sample { .. })
    }

    const fn is_idempotent(&self) -> bool {
        !matches!(
            self.kind,
            WorkKind::Caller {
                is_idempotent: false
            }
        )
    }

    pub(super) fn job(&self, attempt: u64) -> Job {
        let prefix = match self.kind {
            WorkKind::Sample { trainer, slot } => {
                Some((trainer as u64) << 60 | slot.step << 32 | u64::from(slot.group))
            }
            _ => None,
        };
        Job {
            attempt,
            priority: self.priority as u8,
            units: self.units - self.done_units.min(self.units),
            prefix,
        }
    }
}

impl World<'_> {
    pub(super) fn on_request_arrived(&mut self, service: usize) {
        let load = self.workload.services[service];
        let is_doubled = self.fault == super::fault::Fault::TwiceTheLoad && self.is_fault_on();
        let rate_per_s = load.requests_per_s * if is_doubled { 2.0 } else { 1.0 };
        let uniform: f64 = self.arrival_rng.random_range(f64::MIN_POSITIVE..1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times between arrivals"
        )]
        let wait_ms = (-uniform.ln() / rate_per_s * 1_000.0) as u64;
        self.schedule_after(wait_ms, Event::RequestArrived(service));
        let units = if load.is_model {
            self.arrival_rng.random_range(20..=100)
        } else {
            1
        };
        let is_idempotent = load.is_model || self.arrival_rng.random_ratio(7, 10);
        let kind = WorkKind::Caller { is_idempotent };
        self.add_caller_request(kind, service, units);
    }

    pub(super) fn on_poison_arrived(&mut self) {
        const POISON_INTERVAL_MS: u64 = 10_000;
        if self.is_fault_on() {
            self.add_caller_request(WorkKind::Poison, 0, 100);
            self.schedule_after(POISON_INTERVAL_MS, Event::PoisonArrived);
        }
    }

    fn add_caller_request(&mut self, kind: WorkKind, service: usize, units: u32) {
        let daemon = self.arrival_rng.random_range(0..self.daemons.len());
        let priority = self.draw_priority();
        let work = WorkItem {
            kind,
            service,
            daemon,
            units,
            done_units: 0,
            priority,
            arrived_ms: self.now_ms,
            admitted_ms: None,
            deadline_ms: self.now_ms + CALLER_TIMEOUT_MS,
            avoid: BTreeSet::new(),
            attempt_count: 0,
            was_sent: false,
            has_run: false,
            oldest_version: u64::MAX,
            min_version: 0,
            attempt_id: None,
            queue_number: None,
        };
        let id = self.add_work_item(work);
        self.schedule_after(CALLER_TIMEOUT_MS, Event::DeadlineReached(id));
        self.offer_request(id);
    }

    pub(super) fn add_work_item(&mut self, work: WorkItem) -> u64 {
        self.next_id += 1;
        self.work_items.insert(self.next_id, work);
        self.next_id
    }

    pub(super) fn offer_request(&mut self, id: u64) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let (service, index) = (work.service, work.daemon);
        let daemon = &mut self.daemons[index];
        if !self.policy.has_admission {
            self.admit_work(id);
            return;
        }
        let admission = &mut daemon.admissions[service];
        let decision = admission.offer(
            self.now_ms,
            work.priority,
            work.deadline_ms,
            &mut daemon.rng,
        );
        match decision {
            Decision::Start => self.admit_work(id),
            Decision::Wait(number) => {
                work.queue_number = Some(number);
                daemon.waiting_requests.insert((service, number), id);
            }
            Decision::Refuse(refusal) => self.refuse_work(id, &refusal),
        }
    }

    fn admit_work(&mut self, id: u64) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        work.queue_number = None;
        work.admitted_ms = Some(self.now_ms);
        work.attempt_count = 0;
        work.avoid.clear();
        let (daemon, service) = (work.daemon, work.service);
        self.daemons[daemon].budgets[service].on_first_attempt();
        if work.is_caller() {
            self.measures.first_attempts += 1;
        }
        self.dispatch_attempt(id);
    }

    /// Takes requests from the admission queue: admits those that fit within
    /// the limit and refuses those that can no longer meet their deadline.
    pub(super) fn dequeue_waiting(&mut self, index: usize, service: usize) {
        loop {
            let daemon = &mut self.daemons[index];
            let Some(dequeued) = daemon.admissions[service].dequeue(self.now_ms, &mut daemon.rng)
            else {
                return;
            };
            match dequeued {
                Dequeued::Start(number) => {
                    if let Some(id) = daemon.waiting_requests.remove(&(service, number)) {
                        self.admit_work(id);
                    }
                }
                Dequeued::Refuse(number, refusal) => {
                    if let Some(id) = daemon.waiting_requests.remove(&(service, number)) {
                        self.refuse_work(id, &refusal);
                    }
                }
            }
        }
    }

    /// Tells admission that an admitted request has ended or has been refused.
    fn record_request_end(&mut self, id: u64, has_failed: bool) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let Some(admitted_ms) = work.admitted_ms.take() else {
            return;
        };
        let (index, service) = (work.daemon, work.service);
        if !work.is_caller() || !self.policy.has_admission {
            return;
        }
        let request_end = RequestEnd {
            elapsed_ms: self.now_ms - admitted_ms,
            has_failed,
        };
        self.daemons[index].admissions[service].on_end(self.now_ms, request_end);
        self.dequeue_waiting(index, service);
    }

    /// Refuses a work item.
    ///
    /// A caller retries at the time that the refusal gives, or after
    /// `DEFAULT_RETRY_DELAY_MS` if it gives none. If that is not before its
    /// deadline, the request ends at the deadline. A request whose outcome is
    /// unknown ends immediately. A sample fails.
    fn refuse_work(&mut self, id: u64, refusal: &Refusal) {
        *self
            .measures
            .refusals
            .entry(refusal.kind().into())
            .or_default() += 1;
        self.record_request_end(id, refusal.kind() != ErrorKind::Overloaded);
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        if let WorkKind::Sample { trainer, slot } = work.kind {
            self.measures.wasted_tokens += u64::from(work.done_units);
            self.work_items.remove(&id);
            self.on_sample_failed(trainer, slot, id);
            return;
        }
        work.queue_number = None;
        let default_ms = self.now_ms + DEFAULT_RETRY_DELAY_MS;
        let at_ms = refusal.detail().retry_at_ms.unwrap_or(default_ms);
        let is_final = refusal.kind() == ErrorKind::OutcomeUnknown;
        if !is_final && at_ms < work.deadline_ms {
            self.schedule_at(at_ms, Event::OfferRequest(id));
        } else if is_final {
            self.finish_caller_request(id, None);
        }
    }

    fn finish_caller_request(&mut self, id: u64, latency_ms: Option<u64>) {
        let Some(work) = self.work_items.remove(&id) else {
            return;
        };
        if self.workload.services[work.service].is_model && latency_ms.is_none() {
            self.measures.wasted_tokens += u64::from(work.done_units);
        }
        if !matches!(work.kind, WorkKind::Poison) {
            self.measures.on_caller_end(work.service, latency_ms);
        }
    }

    pub(super) fn dispatch_attempt(&mut self, id: u64) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let affinity = match work.kind {
            WorkKind::Sample { trainer, slot } => {
                Some(format!("{trainer}/{}/{}", slot.step, slot.group))
            }
            _ => None,
        };
        let daemon = &mut self.daemons[work.daemon];
        let service = self.workload.services[work.service].name;
        let request = routing::Request {
            service,
            data_centre: &daemon.data_centre.clone(),
            max_in_flight_per_endpoint: MAX_IN_FLIGHT_PER_ENDPOINT,
            avoid: &work.avoid,
            affinity: affinity.as_deref(),
            min_weights_version: work.min_version,
        };
        let chosen = choose_endpoint(self.policy.routing, daemon, self.now_ms, &request);
        let Some(endpoint) = chosen else {
            let kind = if work.was_sent && work.is_idempotent() {
                ErrorKind::AttemptsExhausted
            } else {
                ErrorKind::NoEndpoint
            };
            self.refuse_work(id, &Refusal::new(kind, "no endpoint"));
            return;
        };
        daemon.table.on_start(service, &endpoint);
        work.attempt_count += 1;
        self.next_id += 1;
        let attempt = Attempt {
            work_id: id,
            endpoint: self.endpoint_indexes[&endpoint],
            sent_ms: self.now_ms,
            started_ms: None,
            done_units: 0,
        };
        work.attempt_id = Some(self.next_id);
        if work.is_caller() {
            self.measures.attempts += 1;
        }
        self.attempts.insert(self.next_id, attempt);
        self.schedule_after(NETWORK_DELAY_MS, Event::AttemptArrived(self.next_id));
    }

    pub(super) fn on_run_started(&mut self, id: u64, endpoint: usize) {
        const POISON_CRASH_DELAY_MS: u64 = 500;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.started_ms = Some(self.now_ms);
        let Some(work) = self.work_items.get_mut(&attempt.work_id) else {
            return;
        };
        if !work.is_idempotent() && work.has_run {
            self.measures.doubled += 1;
        }
        work.has_run = true;
        match work.kind {
            WorkKind::Sample { trainer, .. } => {
                let version = self.endpoints[endpoint].versions[trainer];
                work.oldest_version = work.oldest_version.min(version);
            }
            WorkKind::Poison => {
                self.schedule_after(
                    POISON_CRASH_DELAY_MS,
                    Event::AttemptFailed(id, RetryReason::AnswerCut, true),
                );
            }
            WorkKind::Caller { .. } => {}
        }
    }

    pub(super) fn on_run_finished(&mut self, id: u64, epoch: u64) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let endpoint = &mut self.endpoints[attempt.endpoint];
        if endpoint.finish(id, epoch).is_none() {
            return;
        }
        self.start_jobs(attempt.endpoint);
        self.attempts.remove(&id);
        let Some(work) = self.work_items.get(&attempt.work_id) else {
            return;
        };
        let units = work.units - work.done_units.min(work.units);
        let (index, service) = (work.daemon, work.service);
        let name = self.workload.services[service].name;
        let daemon = &mut self.daemons[index];
        let endpoint = self.endpoints[attempt.endpoint].name.clone();
        daemon.table.on_end(self.now_ms, name, &endpoint, false);
        if self.policy.routing.uses_health()
            && let Some(health) = daemon.table.health_mut(name, &endpoint)
        {
            // The wait for a slot does not reflect the endpoint's speed.
            let is_model = self.workload.services[service].is_model;
            let from_ms = attempt.started_ms.filter(|_| is_model);
            health.on_ok(
                self.now_ms,
                units,
                self.now_ms - from_ms.unwrap_or(attempt.sent_ms),
            );
        }
        if self.workload.services[service].is_model {
            self.measures.tokens += u64::from(units);
        }
        let (kind, arrived_ms) = (work.kind, work.arrived_ms);
        self.record_request_end(attempt.work_id, false);
        match kind {
            WorkKind::Sample { trainer, slot } => self.on_sample(trainer, slot, attempt.work_id),
            _ => self.finish_caller_request(attempt.work_id, Some(self.now_ms - arrived_ms)),
        }
    }

    pub(super) fn on_attempt_failed(&mut self, id: u64, reason: RetryReason, was_sent: bool) {
        const ENDPOINT_RESTART_MS: u64 = 8_000;
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let is_poison = self
            .work_items
            .get(&attempt.work_id)
            .is_some_and(|work| matches!(work.kind, WorkKind::Poison) && was_sent);
        if is_poison && self.endpoints[attempt.endpoint].is_up {
            self.endpoints[attempt.endpoint].is_up = false;
            self.abort_jobs(attempt.endpoint, 1);
            self.schedule_after(
                ENDPOINT_RESTART_MS,
                Event::RestartEndpoint(attempt.endpoint),
            );
        }
        let Some(work) = self.work_items.get_mut(&attempt.work_id) else {
            return;
        };
        work.attempt_id = None;
        work.was_sent |= was_sent;
        let is_model = self.workload.services[work.service].is_model;
        if is_model {
            work.done_units = (work.done_units + attempt.done_units).min(work.units - 1);
            self.measures.tokens += u64::from(attempt.done_units);
        }
        let name = self.workload.services[work.service].name;
        let daemon = &mut self.daemons[work.daemon];
        let endpoint = &self.endpoints[attempt.endpoint].name;
        let is_down = !matches!(
            reason,
            RetryReason::EndpointRefused | RetryReason::Straggler
        );
        daemon.table.on_end(self.now_ms, name, endpoint, is_down);
        if self.policy.routing.uses_health()
            && reason != RetryReason::Straggler
            && let Some(health) = daemon.table.health_mut(name, endpoint)
        {
            health.on_failed(self.now_ms, &mut daemon.rng);
        }
        work.avoid.insert(endpoint.clone());
        let failure = AttemptFailure { reason, was_sent };
        self.retry_or_refuse(attempt.work_id, failure);
    }

    fn retry_or_refuse(&mut self, id: u64, failure: AttemptFailure) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let daemon = &mut self.daemons[work.daemon];
        let is_retry_safe = work.is_idempotent() || !work.was_sent;
        let has_attempts_left = work.attempt_count < MAX_ATTEMPTS;
        let needs_no_budget = !self.policy.has_budget || !failure.was_sent;
        let has_budget = needs_no_budget || daemon.budgets[work.service].try_spend();
        if is_retry_safe && has_attempts_left && has_budget {
            let reason = failure.reason.into();
            *self.measures.retries.entry(reason).or_default() += 1;
            // The first retry goes to another endpoint without backoff.
            let wait_ms = match work.attempt_count.checked_sub(2) {
                Some(failures) if self.policy.has_budget => {
                    backoff_ms(failures, FIRST_BACKOFF_MS, MAX_BACKOFF_MS, &mut daemon.rng)
                }
                _ => 0,
            };
            self.schedule_after(wait_ms, Event::DispatchAttempt(id));
            return;
        }
        let kind = match (work.was_sent, is_retry_safe) {
            (false, _) => ErrorKind::NoEndpoint,
            (true, true) => ErrorKind::AttemptsExhausted,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        self.refuse_work(id, &Refusal::new(kind, "the attempts have failed"));
    }

    pub(super) fn on_deadline(&mut self, id: u64) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let (index, service) = (work.daemon, work.service);
        if let Some(number) = work.queue_number.take() {
            self.daemons[index]
                .waiting_requests
                .remove(&(service, number));
            self.daemons[index].admissions[service].cancel(number);
        }
        let kind = if work.has_run {
            ErrorKind::TimedOut
        } else {
            ErrorKind::DeadlinePassed
        };
        *self.measures.refusals.entry(kind.into()).or_default() += 1;
        if let Some(attempt) = work.attempt_id {
            self.cancel_attempt(attempt);
        }
        self.record_request_end(id, true);
        if let WorkKind::Sample { trainer, slot } = self.work_items[&id].kind {
            self.measures.wasted_tokens += u64::from(self.work_items[&id].done_units);
            self.work_items.remove(&id);
            self.on_sample_failed(trainer, slot, id);
        } else {
            self.finish_caller_request(id, None);
        }
    }

    /// Cancels an attempt, counts its units as wasted, and returns it.
    pub(super) fn cancel_attempt(&mut self, id: u64) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let now_ms = self.now_ms;
        let work = &self.work_items[&attempt.work_id];
        let name = self.workload.services[work.service].name;
        let endpoint = &mut self.endpoints[attempt.endpoint];
        let done_units = endpoint.done_units(now_ms, id);
        endpoint.cancel(id);
        let (daemon, endpoint) = (work.daemon, endpoint.name.clone());
        let table = &mut self.daemons[daemon].table;
        table.on_end(now_ms, name, &endpoint, false);
        if self.workload.services[work.service].is_model {
            self.measures.tokens += u64::from(done_units);
            self.measures.wasted_tokens += u64::from(done_units);
        }
        self.start_jobs(attempt.endpoint);
        Some(Attempt {
            done_units,
            ..attempt
        })
    }
}

impl Routing {
    const fn uses_health(self) -> bool {
        matches!(self, Self::Core | Self::CoreWithoutAffinity)
    }
}

fn choose_endpoint(
    routing: Routing,
    daemon: &mut DaemonSim,
    now_ms: u64,
    request: &routing::Request<'_>,
) -> Option<Name> {
    let is_eligible = |endpoint: &&Endpoint| {
        endpoint.state(now_ms) == EndpointState::Serving
            && endpoint.in_flight < MAX_IN_FLIGHT_PER_ENDPOINT
            && !request.avoid.contains(&endpoint.name)
    };
    let candidates: Vec<&Endpoint> = daemon
        .table
        .of_service(request.service)
        .filter(is_eligible)
        .collect();
    if candidates.is_empty() {
        return None;
    }
    let chosen = match routing {
        Routing::Core | Routing::CoreWithoutHealth | Routing::CoreWithoutAffinity => {
            let has_affinity = routing != Routing::CoreWithoutAffinity;
            let request = routing::Request {
                affinity: request.affinity.filter(|_| has_affinity),
                ..request.clone()
            };
            return routing::choose(&daemon.table, now_ms, &request, &mut daemon.rng);
        }
        Routing::Random => candidates[daemon.rng.random_range(0..candidates.len())],
        Routing::RoundRobin => {
            daemon.round_robin_position += 1;
            candidates[daemon.round_robin_position % candidates.len()]
        }
        Routing::LeastReported => {
            let first = daemon.rng.random_range(0..candidates.len());
            let rotated =
                (0..candidates.len()).map(|index| candidates[(first + index) % candidates.len()]);
            let load = |endpoint: &&Endpoint| endpoint.load.running + endpoint.load.queued;
            rotated.min_by_key(load)?
        }
    };
    Some(chosen.name.clone())
}
