//! Admission of callers' requests, separately for each service.

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng;
use tokio::sync::oneshot;

use super::{
    clock::{now_ms, sleep_until},
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        admission::{Admission, Decision, Dequeued, Priority, RequestEnd, caller_cap},
        config::ServiceKind,
        routing,
    },
    error::{ErrorKind, Refusal},
    wire::peers::MemberState,
};

const MIN_SERVICE_LIMIT: u32 = 2;

/// Notifies a queued request that it may run or is refused.
type Waiter = oneshot::Sender<Result<(), Refusal>>;

/// The admission of one service, and its queued requests by number.
#[derive(Debug)]
pub(crate) struct Gate {
    admission: Admission,
    waiting: BTreeMap<u64, Waiter>,
}

/// Permission to run a request. Dropping it ends the request for the admission
/// of its service, which then admits the next one.
pub(crate) struct AdmissionPermit {
    daemon: Arc<Daemon>,
    service: Name,
    started_ms: u64,
    has_failed: bool,
}

impl AdmissionPermit {
    /// Ends the request with its outcome.
    pub(crate) fn record_outcome<T>(mut self, outcome: &Result<T, Refusal>) {
        self.has_failed = outcome.is_err();
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now_ms = now_ms();
        let request_end = RequestEnd {
            elapsed_ms: now_ms.saturating_sub(self.started_ms),
            has_failed: self.has_failed,
        };
        let mut rng = lock(&self.daemon.rng);
        let mut gates = lock(&self.daemon.gates);
        if let Some(gate) = gates.get_mut(&self.service) {
            gate.admission.on_end(now_ms, request_end);
            gate.notify_waiters(now_ms, &mut *rng);
        }
    }
}

/// Waits until a caller's request may run.
///
/// # Errors
///
/// The refusal of the admission, in which case the request has not run,
/// [`ErrorKind::UnknownService`] if there is no such service, and
/// [`ErrorKind::Internal`] if the queue was dropped.
pub(crate) async fn wait_for_admission(
    daemon: &Arc<Daemon>,
    service: &str,
    priority: Priority,
    deadline_ms: u64,
) -> Result<AdmissionPermit, Refusal> {
    let permit = |daemon: &Arc<Daemon>| AdmissionPermit {
        daemon: daemon.clone(),
        service: service.into(),
        started_ms: now_ms(),
        has_failed: false,
    };
    let (sender, mut receiver) = oneshot::channel();
    match offer(daemon, service, priority, deadline_ms, sender)? {
        Decision::Start => return Ok(permit(daemon)),
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Wait(_) => {}
    }
    loop {
        let next_check_ms = next_deadline_ms(daemon, service).unwrap_or(deadline_ms);
        tokio::select! {
            result = &mut receiver => {
                let dropped = |_| {
                    let message = format!("the admission queue of '{service}' was dropped");
                    Err(Refusal::new(ErrorKind::Internal, message))
                };
                return result.unwrap_or_else(dropped).map(|()| permit(daemon));
            }
            () = sleep_until(next_check_ms) => notify_waiters(daemon, service),
        }
    }
}

/// Offers a request to the admission of its service, and queues its `sender` if
/// the request has to wait.
fn offer(
    daemon: &Daemon,
    service: &str,
    priority: Priority,
    deadline_ms: u64,
    sender: Waiter,
) -> Result<Decision, Refusal> {
    let (min_limit, max_limit) = limit_bounds(daemon, service)?;
    let mut rng = lock(&daemon.rng);
    let mut gates = lock(&daemon.gates);
    let gate = gates.entry(service.into()).or_insert_with(|| Gate {
        admission: Admission::new(min_limit, max_limit),
        waiting: BTreeMap::new(),
    });
    gate.admission.set_bounds(min_limit, max_limit);
    let decision = gate
        .admission
        .offer(now_ms(), priority, deadline_ms, &mut *rng);
    if let Decision::Wait(number) = decision {
        gate.waiting.insert(number, sender);
    }
    Ok(decision)
}

fn next_deadline_ms(daemon: &Daemon, service: &str) -> Option<u64> {
    lock(&daemon.gates)
        .get(service)?
        .admission
        .next_deadline_ms()
}

fn notify_waiters(daemon: &Daemon, service: &str) {
    let mut rng = lock(&daemon.rng);
    if let Some(gate) = lock(&daemon.gates).get_mut(service) {
        gate.notify_waiters(now_ms(), &mut *rng);
    }
}

impl Gate {
    /// Notifies the queued requests that may start, and those that are refused.
    fn notify_waiters<R>(&mut self, now_ms: u64, rng: &mut R)
    where
        R: Rng,
    {
        while let Some(next) = self.admission.dequeue(now_ms, rng) {
            let (number, result) = match next {
                Dequeued::Start(number) => (number, Ok(())),
                Dequeued::Refuse(number, refusal) => (number, Err(refusal)),
            };
            let is_started = result.is_ok();
            let waiter = self.waiting.remove(&number);
            let is_notified = waiter.is_some_and(|waiter| waiter.send(result).is_ok());
            if is_started && !is_notified {
                let request_end = RequestEnd {
                    elapsed_ms: 0,
                    has_failed: true,
                };
                self.admission.on_end(now_ms, request_end);
            }
        }
    }
}

/// Returns the minimum and maximum of the learned limit of a service.
///
/// A model service reports its number of slots, and callers get their share of
/// them. Its latency is no measure of the load by callers, as it is also caused
/// by trainers' samples, which yield to callers. Of a plain service, only the
/// latency is known.
fn limit_bounds(daemon: &Daemon, service: &str) -> Result<(u32, u32), Refusal> {
    let settings = daemon.service(service)?;
    let endpoints = u32::try_from(settings.endpoints.len()).unwrap_or(u32::MAX);
    let max_in_flight = settings
        .max_in_flight_per_endpoint
        .saturating_mul(endpoints);
    let table = lock(&daemon.endpoints);
    let slots: u32 = table
        .of_service(service)
        .map(|endpoint| endpoint.load.slots)
        .sum();
    if settings.kind == ServiceKind::Plain || slots == 0 {
        return Ok((MIN_SERVICE_LIMIT, max_in_flight.max(MIN_SERVICE_LIMIT)));
    }
    let free_slots = routing::free_slots(&table, now_ms(), service, 0);
    drop(table);
    let alive = lock(&daemon.membership)
        .records()
        .filter(|record| record.state == MemberState::Alive)
        .count();
    let daemons = u32::try_from(alive).unwrap_or(u32::MAX);
    let has_trainers = daemon.trainers_of(service) > 0;
    let cap = caller_cap(slots, free_slots, daemons, has_trainers);
    Ok((cap, cap))
}
