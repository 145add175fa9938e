//! The admission of callers' requests, service by service.

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

const LEAST_LIMIT: u32 = 2;

/// What waits for its turn, and is told when it comes.
type Waiter = oneshot::Sender<Result<(), Refusal>>;

/// The admission of one service, and those who wait at it.
#[derive(Debug)]
pub(crate) struct Gate {
    admission: Admission,
    waiting: BTreeMap<u64, Waiter>,
}

/// A request's right to run; dropping it gives the place to the next.
pub(crate) struct AdmissionPermit {
    daemon: Arc<Daemon>,
    service: Name,
    started_ms: u64,
    has_failed: bool,
}

impl AdmissionPermit {
    /// Notes how the request ended.
    pub(crate) fn record_outcome<T>(mut self, outcome: &Result<T, Refusal>) {
        self.has_failed = outcome.is_err();
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now_ms = now_ms();
        let ended = RequestEnd {
            elapsed_ms: now_ms.saturating_sub(self.started_ms),
            has_failed: self.has_failed,
        };
        let mut rng = lock(&self.daemon.rng);
        let mut gates = lock(&self.daemon.gates);
        if let Some(gate) = gates.get_mut(&self.service) {
            gate.admission.on_end(now_ms, ended);
            gate.drain(now_ms, &mut *rng);
        }
    }
}

/// Waits until a caller's request may run, or refuses it as not run.
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
    let (sender, mut turn) = oneshot::channel();
    match offer(daemon, service, priority, deadline_ms, sender)? {
        Decision::Start => return Ok(permit(daemon)),
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Wait(_) => {}
    }
    loop {
        let look_at_ms = next_deadline_ms(daemon, service).unwrap_or(deadline_ms);
        tokio::select! {
            told = &mut turn => {
                let lost = |_| Err(Refusal::new(ErrorKind::Internal, "the queue was dropped"));
                return told.unwrap_or_else(lost).map(|()| permit(daemon));
            }
            () = sleep_until(look_at_ms) => drain(daemon, service),
        }
    }
}

fn offer(
    daemon: &Daemon,
    service: &str,
    priority: Priority,
    deadline_ms: u64,
    sender: Waiter,
) -> Result<Decision, Refusal> {
    let (least, most) = bounds(daemon, service)?;
    let mut rng = lock(&daemon.rng);
    let mut gates = lock(&daemon.gates);
    let gate = gates.entry(service.into()).or_insert_with(|| Gate {
        admission: Admission::new(least, most),
        waiting: BTreeMap::new(),
    });
    gate.admission.set_bounds(least, most);
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

fn drain(daemon: &Daemon, service: &str) {
    let mut rng = lock(&daemon.rng);
    if let Some(gate) = lock(&daemon.gates).get_mut(service) {
        gate.drain(now_ms(), &mut *rng);
    }
}

impl Gate {
    /// Tells those whose turn has come, and those who have no hope any more.
    fn drain<R>(&mut self, now_ms: u64, rng: &mut R)
    where
        R: Rng,
    {
        while let Some(next) = self.admission.dequeue(now_ms, rng) {
            let (number, told) = match next {
                Dequeued::Start(number) => (number, Ok(())),
                Dequeued::Refuse(number, refusal) => (number, Err(refusal)),
            };
            let is_started = told.is_ok();
            let waiter = self.waiting.remove(&number);
            let is_told = waiter.is_some_and(|waiter| waiter.send(told).is_ok());
            if is_started && !is_told {
                let ended = RequestEnd {
                    elapsed_ms: 0,
                    has_failed: true,
                };
                self.admission.on_end(now_ms, ended);
            }
        }
    }
}

/// Returns between which bounds the limit of a service is learned.
///
/// A model service says how many slots there are, and its latency comes from
/// rollouts too, which give way to callers: callers get their share of the
/// slots. Of a plain service nothing is known but how long its answers take.
fn bounds(daemon: &Daemon, service: &str) -> Result<(u32, u32), Refusal> {
    let settings = daemon.service(service)?;
    let endpoints = u32::try_from(settings.endpoints.len()).unwrap_or(u32::MAX);
    let most = settings
        .max_in_flight_per_endpoint
        .saturating_mul(endpoints);
    let table = lock(&daemon.endpoints);
    let slots: u32 = table
        .of_service(service)
        .map(|endpoint| endpoint.load.slots)
        .sum();
    if settings.kind == ServiceKind::Plain || slots == 0 {
        return Ok((LEAST_LIMIT, most.max(LEAST_LIMIT)));
    }
    let free = routing::free_slots(&table, now_ms(), service, 0);
    drop(table);
    let alive = lock(&daemon.membership)
        .records()
        .filter(|record| record.state == MemberState::Alive)
        .count();
    let daemons = u32::try_from(alive).unwrap_or(u32::MAX);
    let has_trainers = daemon.trainers_of(service) > 0;
    let cap = caller_cap(slots, free, daemons, has_trainers);
    Ok((cap, cap))
}
