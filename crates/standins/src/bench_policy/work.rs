//! Requests and samples on their way through a daemon.

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
    workload::TIMEOUT_MS,
    world::{DaemonSim, Event, MAX_IN_FLIGHT, World},
};

pub(super) const MAX_ATTEMPTS: u32 = 4;
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 1_000;
/// When a refused caller comes back that was not told when.
const DEFAULT_RETRY_MS: u64 = 1_000;
const NETWORK_MS: u64 = 1;

#[derive(Clone, Copy, Debug)]
pub(super) enum Kind {
    Caller { is_idempotent: bool },
    Poison,
    Sample { trainer: usize, slot: Slot },
}

#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) kind: Kind,
    pub(super) service: usize,
    pub(super) daemon: usize,
    pub(super) units: u32,
    /// Units that earlier attempts have done.
    pub(super) done: u32,
    pub(super) priority: Priority,
    pub(super) arrived_ms: u64,
    pub(super) admitted_ms: Option<u64>,
    pub(super) deadline_ms: u64,
    pub(super) avoid: BTreeSet<Name>,
    pub(super) tries: u32,
    pub(super) was_sent: bool,
    pub(super) has_run: bool,
    pub(super) oldest_version: u64,
    pub(super) min_version: u64,
    pub(super) attempt: Option<u64>,
    pub(super) waiting: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) work: u64,
    pub(super) endpoint: usize,
    pub(super) sent_ms: u64,
    pub(super) started_ms: Option<u64>,
    pub(super) done_units: u32,
}

impl Work {
    pub(super) const fn is_caller(&self) -> bool {
        !matches!(self.kind, Kind::Sample { .. })
    }

    const fn is_idempotent(&self) -> bool {
        !matches!(
            self.kind,
            Kind::Caller {
                is_idempotent: false
            }
        )
    }

    pub(super) fn job(&self, attempt: u64) -> Job {
        let prefix = match self.kind {
            Kind::Sample { trainer, slot } => {
                Some((trainer as u64) << 60 | slot.step << 32 | u64::from(slot.group))
            }
            _ => None,
        };
        Job {
            attempt,
            priority: self.priority as u8,
            units: self.units - self.done.min(self.units),
            prefix,
        }
    }
}

impl World<'_> {
    pub(super) fn arrive(&mut self, service: usize) {
        let load = self.workload.services[service];
        let is_doubled = self.fault == super::fault::Fault::TwiceTheLoad && self.is_fault_on();
        let per_s = load.requests_per_s * if is_doubled { 2.0 } else { 1.0 };
        let uniform: f64 = self.arrivals.random_range(f64::MIN_POSITIVE..1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times between arrivals"
        )]
        let wait_ms = (-uniform.ln() / per_s * 1_000.0) as u64;
        self.after(wait_ms, Event::Arrive(service));
        let units = if load.is_model {
            self.arrivals.random_range(20..=100)
        } else {
            1
        };
        let is_idempotent = load.is_model || self.arrivals.random_ratio(7, 10);
        let kind = Kind::Caller { is_idempotent };
        self.add_caller(kind, service, units);
    }

    pub(super) fn arrive_poison(&mut self) {
        const EVERY_MS: u64 = 10_000;
        if self.is_fault_on() {
            self.add_caller(Kind::Poison, 0, 100);
            self.after(EVERY_MS, Event::Poison);
        }
    }

    fn add_caller(&mut self, kind: Kind, service: usize, units: u32) {
        let daemon = self.arrivals.random_range(0..self.daemons.len());
        let priority = self.draw_priority();
        let work = Work {
            kind,
            service,
            daemon,
            units,
            done: 0,
            priority,
            arrived_ms: self.now_ms,
            admitted_ms: None,
            deadline_ms: self.now_ms + TIMEOUT_MS,
            avoid: BTreeSet::new(),
            tries: 0,
            was_sent: false,
            has_run: false,
            oldest_version: u64::MAX,
            min_version: 0,
            attempt: None,
            waiting: None,
        };
        let id = self.add_work(work);
        self.after(TIMEOUT_MS, Event::Deadline(id));
        self.offer(id);
    }

    pub(super) fn add_work(&mut self, work: Work) -> u64 {
        self.next_id += 1;
        self.works.insert(self.next_id, work);
        self.next_id
    }

    pub(super) fn offer(&mut self, id: u64) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let (service, index) = (work.service, work.daemon);
        let daemon = &mut self.daemons[index];
        if !self.policy.has_admission {
            self.admit(id);
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
            Decision::Start => self.admit(id),
            Decision::Wait(number) => {
                work.waiting = Some(number);
                daemon.waiting.insert((service, number), id);
            }
            Decision::Refuse(refusal) => self.refuse(id, &refusal),
        }
    }

    fn admit(&mut self, id: u64) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        work.waiting = None;
        work.admitted_ms = Some(self.now_ms);
        work.tries = 0;
        work.avoid.clear();
        let (daemon, service) = (work.daemon, work.service);
        self.daemons[daemon].budgets[service].on_first_attempt();
        if work.is_caller() {
            self.measures.first_tries += 1;
        }
        self.dispatch(id);
    }

    /// Starts what waited and has room now; refuses what has no hope any more.
    pub(super) fn drain(&mut self, index: usize, service: usize) {
        loop {
            let daemon = &mut self.daemons[index];
            let Some(next) = daemon.admissions[service].dequeue(self.now_ms, &mut daemon.rng)
            else {
                return;
            };
            match next {
                Dequeued::Start(number) => {
                    if let Some(id) = daemon.waiting.remove(&(service, number)) {
                        self.admit(id);
                    }
                }
                Dequeued::Refuse(number, refusal) => {
                    if let Some(id) = daemon.waiting.remove(&(service, number)) {
                        self.refuse(id, &refusal);
                    }
                }
            }
        }
    }

    /// A request that was admitted has ended or is given back to its caller.
    fn leave(&mut self, id: u64, has_failed: bool) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let Some(admitted_ms) = work.admitted_ms.take() else {
            return;
        };
        let (index, service) = (work.daemon, work.service);
        if !work.is_caller() || !self.policy.has_admission {
            return;
        }
        let ended = RequestEnd {
            elapsed_ms: self.now_ms - admitted_ms,
            has_failed,
        };
        self.daemons[index].admissions[service].on_end(self.now_ms, ended);
        self.drain(index, service);
    }

    /// A refused caller comes back when it was told to, if it may.
    fn refuse(&mut self, id: u64, refusal: &Refusal) {
        *self
            .measures
            .refusals
            .entry(refusal.kind().into())
            .or_default() += 1;
        self.leave(id, refusal.kind() != ErrorKind::Overloaded);
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        if let Kind::Sample { trainer, slot } = work.kind {
            self.measures.wasted_tokens += u64::from(work.done);
            self.works.remove(&id);
            self.on_sample_failed(trainer, slot, id);
            return;
        }
        work.waiting = None;
        let default_ms = self.now_ms + DEFAULT_RETRY_MS;
        let at_ms = refusal.detail().retry_at_ms.unwrap_or(default_ms);
        let is_final = refusal.kind() == ErrorKind::OutcomeUnknown;
        if !is_final && at_ms < work.deadline_ms {
            self.at(at_ms, Event::Offer(id));
        } else if is_final {
            self.end_caller(id, None);
        }
    }

    fn end_caller(&mut self, id: u64, latency_ms: Option<u64>) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        if self.workload.services[work.service].is_model && latency_ms.is_none() {
            self.measures.wasted_tokens += u64::from(work.done);
        }
        if !matches!(work.kind, Kind::Poison) {
            self.measures.on_caller_end(work.service, latency_ms);
        }
    }

    pub(super) fn dispatch(&mut self, id: u64) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let affinity = match work.kind {
            Kind::Sample { trainer, slot } => {
                Some(format!("{trainer}/{}/{}", slot.step, slot.group))
            }
            _ => None,
        };
        let daemon = &mut self.daemons[work.daemon];
        let service = self.workload.services[work.service].name;
        let request = routing::Request {
            service,
            data_centre: &daemon.data_centre.clone(),
            max_in_flight_per_endpoint: MAX_IN_FLIGHT,
            avoid: &work.avoid,
            affinity: affinity.as_deref(),
            min_weights_version: work.min_version,
        };
        let chosen = choose(self.policy.routing, daemon, self.now_ms, &request);
        let Some(endpoint) = chosen else {
            let kind = if work.was_sent && work.is_idempotent() {
                ErrorKind::AttemptsExhausted
            } else {
                ErrorKind::NoEndpoint
            };
            self.refuse(id, &Refusal::new(kind, "no endpoint"));
            return;
        };
        daemon.table.on_start(service, &endpoint);
        work.tries += 1;
        self.next_id += 1;
        let attempt = Attempt {
            work: id,
            endpoint: self.index_of[&endpoint],
            sent_ms: self.now_ms,
            started_ms: None,
            done_units: 0,
        };
        work.attempt = Some(self.next_id);
        if work.is_caller() {
            self.measures.attempts += 1;
        }
        self.attempts.insert(self.next_id, attempt);
        self.after(NETWORK_MS, Event::Reach(self.next_id));
    }

    pub(super) fn on_started(&mut self, id: u64, endpoint: usize) {
        const CRASH_AFTER_MS: u64 = 500;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.started_ms = Some(self.now_ms);
        let Some(work) = self.works.get_mut(&attempt.work) else {
            return;
        };
        if !work.is_idempotent() && work.has_run {
            self.measures.doubled += 1;
        }
        work.has_run = true;
        match work.kind {
            Kind::Sample { trainer, .. } => {
                let version = self.endpoints[endpoint].versions[trainer];
                work.oldest_version = work.oldest_version.min(version);
            }
            Kind::Poison => {
                self.after(
                    CRASH_AFTER_MS,
                    Event::Failed(id, RetryReason::AnswerCut, true),
                );
            }
            Kind::Caller { .. } => {}
        }
    }

    pub(super) fn done(&mut self, id: u64, epoch: u64) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let endpoint = &mut self.endpoints[attempt.endpoint];
        if endpoint.finish(id, epoch).is_none() {
            return;
        }
        self.start_jobs(attempt.endpoint);
        self.attempts.remove(&id);
        let Some(work) = self.works.get(&attempt.work) else {
            return;
        };
        let units = work.units - work.done.min(work.units);
        let (index, service) = (work.daemon, work.service);
        let name = self.workload.services[service].name;
        let daemon = &mut self.daemons[index];
        let endpoint = self.endpoints[attempt.endpoint].name.clone();
        daemon.table.on_end(self.now_ms, name, &endpoint, false);
        if self.policy.routing.learns()
            && let Some(health) = daemon.table.health_mut(name, &endpoint)
        {
            // The wait for a slot says nothing of the endpoint's pace.
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
        self.leave(attempt.work, false);
        match kind {
            Kind::Sample { trainer, slot } => self.on_sample(trainer, slot, attempt.work),
            _ => self.end_caller(attempt.work, Some(self.now_ms - arrived_ms)),
        }
    }

    pub(super) fn on_failed(&mut self, id: u64, reason: RetryReason, was_sent: bool) {
        const RESTART_MS: u64 = 8_000;
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let is_poison = self
            .works
            .get(&attempt.work)
            .is_some_and(|work| matches!(work.kind, Kind::Poison) && was_sent);
        if is_poison && self.endpoints[attempt.endpoint].is_up {
            self.endpoints[attempt.endpoint].is_up = false;
            self.drop_jobs(attempt.endpoint, 1);
            self.after(RESTART_MS, Event::Restart(attempt.endpoint));
        }
        let Some(work) = self.works.get_mut(&attempt.work) else {
            return;
        };
        work.attempt = None;
        work.was_sent |= was_sent;
        let is_model = self.workload.services[work.service].is_model;
        if is_model {
            work.done = (work.done + attempt.done_units).min(work.units - 1);
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
        if self.policy.routing.learns()
            && reason != RetryReason::Straggler
            && let Some(health) = daemon.table.health_mut(name, endpoint)
        {
            health.on_failed(self.now_ms, &mut daemon.rng);
        }
        work.avoid.insert(endpoint.clone());
        let failure = AttemptFailure { reason, was_sent };
        self.try_again(attempt.work, failure);
    }

    fn try_again(&mut self, id: u64, failure: AttemptFailure) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let daemon = &mut self.daemons[work.daemon];
        let may_repeat = work.is_idempotent() || !work.was_sent;
        let has_tries = work.tries < MAX_ATTEMPTS;
        let is_free = !self.policy.has_budget || !failure.was_sent;
        let has_budget = is_free || daemon.budgets[work.service].try_spend();
        if may_repeat && has_tries && has_budget {
            let reason = failure.reason.into();
            *self.measures.retries.entry(reason).or_default() += 1;
            // The first retry goes to another endpoint at once.
            let wait_ms = match work.tries.checked_sub(2) {
                Some(failures) if self.policy.has_budget => {
                    backoff_ms(failures, FIRST_BACKOFF_MS, MAX_BACKOFF_MS, &mut daemon.rng)
                }
                _ => 0,
            };
            self.after(wait_ms, Event::Dispatch(id));
            return;
        }
        let kind = match (work.was_sent, may_repeat) {
            (false, _) => ErrorKind::NoEndpoint,
            (true, true) => ErrorKind::AttemptsExhausted,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        self.refuse(id, &Refusal::new(kind, "the attempts have failed"));
    }

    pub(super) fn on_deadline(&mut self, id: u64) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let (index, service) = (work.daemon, work.service);
        if let Some(number) = work.waiting.take() {
            self.daemons[index].waiting.remove(&(service, number));
            self.daemons[index].admissions[service].cancel(number);
        }
        let kind = if work.has_run {
            ErrorKind::TimedOut
        } else {
            ErrorKind::DeadlinePassed
        };
        *self.measures.refusals.entry(kind.into()).or_default() += 1;
        if let Some(attempt) = work.attempt {
            self.cancel(attempt);
        }
        self.leave(id, true);
        if let Kind::Sample { trainer, slot } = self.works[&id].kind {
            self.measures.wasted_tokens += u64::from(self.works[&id].done);
            self.works.remove(&id);
            self.on_sample_failed(trainer, slot, id);
        } else {
            self.end_caller(id, None);
        }
    }

    /// Drops an attempt; what it has done is wasted.
    pub(super) fn cancel(&mut self, id: u64) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let now_ms = self.now_ms;
        let work = &self.works[&attempt.work];
        let name = self.workload.services[work.service].name;
        let endpoint = &mut self.endpoints[attempt.endpoint];
        let done_units = endpoint.progress(now_ms, id);
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
    const fn learns(self) -> bool {
        matches!(self, Self::Core | Self::CoreWithoutAffinity)
    }
}

fn choose(
    routing: Routing,
    daemon: &mut DaemonSim,
    now_ms: u64,
    request: &routing::Request<'_>,
) -> Option<Name> {
    let takes_work = |endpoint: &&Endpoint| {
        endpoint.state(now_ms) == EndpointState::Serving
            && endpoint.in_flight < MAX_IN_FLIGHT
            && !request.avoid.contains(&endpoint.name)
    };
    let pool: Vec<&Endpoint> = daemon
        .table
        .of_service(request.service)
        .filter(takes_work)
        .collect();
    if pool.is_empty() {
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
        Routing::Random => pool[daemon.rng.random_range(0..pool.len())],
        Routing::RoundRobin => {
            daemon.next_turn += 1;
            pool[daemon.next_turn % pool.len()]
        }
        Routing::LeastReported => {
            let first = daemon.rng.random_range(0..pool.len());
            let in_turn = (0..pool.len()).map(|index| pool[(first + index) % pool.len()]);
            let load = |endpoint: &&Endpoint| endpoint.load.running + endpoint.load.queued;
            in_turn.min_by_key(load)?
        }
    };
    Some(chosen.name.clone())
}
