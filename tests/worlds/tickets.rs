//! Non-idempotent requests that callers resend to the same VM and to others.

use std::{collections::BTreeSet, sync::Arc};

use chicoryreach::core::request::{
    DaemonIncarnation, Deduplication, ReportedOutcome, StartOutcome, Ticket, TicketClock,
    TicketWindow,
};
use serde::Deserialize;
use serde_json::Value;

use crate::sim::{Network, Sim};

/// How long a VM waits for the outcome of a request at its ticket's VM.
const QUERY_TIMEOUT_MS: u64 = 1_000;
/// The interval at which VMs remove expired request ids.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// The clock skew of each VM, in milliseconds.
    skews_ms: Vec<i64>,
    requests: usize,
    end_ms: u64,
    network: Network,
    /// How long a run of a request takes, in milliseconds.
    work_ms: u64,
    /// When and to which VM each request is sent. Its ticket is issued for VM 0.
    sends: Vec<Send>,
    /// Daemons that crash and restart immediately.
    #[serde(default)]
    restarts: Vec<Restart>,
    /// Whether every request must run.
    must_run: bool,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Send {
    vm: usize,
    at_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Restart {
    vm: usize,
    at_ms: u64,
}

/// A VM and its incarnation. Messages to an earlier incarnation are lost.
type VmIncarnation = (usize, u64);

#[derive(Clone, Debug)]
enum Event {
    Request(usize, usize),
    RunEnded(VmIncarnation, usize),
    OutcomeQuery(VmIncarnation, usize),
    OutcomeReport(VmIncarnation, usize, ReportedOutcome<u32>),
    QueryTimedOut(VmIncarnation, usize),
    Restart(usize),
    Expire,
}

struct Vm {
    incarnation: u64,
    clock: TicketClock,
    deduplication: Deduplication<u32>,
    /// Requests whose outcome is being queried at their ticket's VM.
    querying: BTreeSet<usize>,
}

struct World {
    body: Body,
    sim: Sim<Event>,
    vms: Vec<Vm>,
    tickets: Vec<Ticket>,
    runs: Vec<u32>,
    violations: Vec<String>,
}

/// Plays requests and returns the violations of their promise.
///
/// A request that runs twice breaks the promise, and so does one that never runs if
/// all must run.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.check_runs();
    world.violations
}

fn vm_name(vm: usize) -> Arc<str> {
    format!("vm-{vm}").into()
}

fn request_id(request: usize) -> Arc<str> {
    format!("slip-{request}").into()
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        const EPOCH_MS: u64 = 1_000_000_000;
        let mut sim = Sim::new(seed);
        let vms = body.skews_ms.iter().map(|skew_ms| Vm {
            incarnation: 1,
            clock: TicketClock {
                unix_ms: EPOCH_MS.saturating_add_signed(*skew_ms),
                monotonic_ms: 0,
            },
            deduplication: Deduplication::default(),
            querying: BTreeSet::new(),
        });
        let vms: Vec<Vm> = vms.collect();
        // Another member issues the ticket according to its own clock.
        let issuer = vms.last().expect("the scenario has at least one VM");
        let ticket = Ticket {
            vm: vm_name(0),
            incarnation: 1,
            issued_ms: issuer.clock.unix_ms_at(0),
        };
        for request in 0..body.requests {
            for send in &body.sends {
                let delay_ms = rand::Rng::random_range(
                    &mut sim.rng,
                    body.network.min_delay_ms..=body.network.max_delay_ms,
                );
                sim.schedule_at(send.at_ms + delay_ms, Event::Request(send.vm, request));
            }
        }
        for restart in &body.restarts {
            sim.schedule_at(restart.at_ms, Event::Restart(restart.vm));
        }
        sim.schedule_at(EXPIRY_INTERVAL_MS, Event::Expire);
        Self {
            tickets: vec![ticket; body.requests],
            runs: vec![0; body.requests],
            body,
            sim,
            vms,
            violations: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(vm, request) => self.receive_request(vm, request),
            Event::RunEnded(vm_incarnation, request) => {
                if let Some(vm) = self.running_vm(vm_incarnation) {
                    let now_ms = self.sim.now_ms;
                    self.vms[vm]
                        .deduplication
                        .finish(now_ms, &request_id(request), 200);
                }
            }
            Event::OutcomeQuery(from, request) => self.report_outcome(from, request),
            Event::OutcomeReport(vm_incarnation, request, outcome) => {
                self.on_outcome(vm_incarnation, request, &outcome);
            }
            Event::QueryTimedOut(vm_incarnation, request) => {
                self.on_outcome(vm_incarnation, request, &ReportedOutcome::Unknown);
            }
            Event::Restart(vm) => {
                self.vms[vm].incarnation += 1;
                self.vms[vm].deduplication = Deduplication::default();
                self.vms[vm].querying.clear();
            }
            Event::Expire => {
                let now_ms = self.sim.now_ms;
                self.vms
                    .iter_mut()
                    .for_each(|vm| vm.deduplication.expire(now_ms));
                self.sim
                    .schedule_at(now_ms + EXPIRY_INTERVAL_MS, Event::Expire);
            }
        }
    }

    fn running_vm(&self, (vm, incarnation): VmIncarnation) -> Option<usize> {
        (self.vms[vm].incarnation == incarnation).then_some(vm)
    }

    fn receive_request(&mut self, vm: usize, request: usize) {
        let now_ms = self.sim.now_ms;
        let ticket = &self.tickets[request];
        let receiver = &mut self.vms[vm];
        let vm_incarnation = (vm, receiver.incarnation);
        let is_own = ticket.is_issued_for(&vm_name(vm), receiver.incarnation);
        let window = ticket.window(receiver.clock.unix_ms_at(now_ms));
        if is_own && window == TicketWindow::Before {
            return;
        }
        let may_start = !is_own || window == TicketWindow::Open;
        let start_outcome =
            receiver
                .deduplication
                .start(&request_id(request), &"body".into(), may_start);
        match (start_outcome, is_own) {
            (StartOutcome::New, true) => self.run(vm_incarnation, request),
            (StartOutcome::New, false) => {
                receiver.querying.insert(request);
                self.query_outcome(vm_incarnation, request);
            }
            _ => {}
        }
    }

    fn query_outcome(&mut self, vm_incarnation: VmIncarnation, request: usize) {
        let network = self.body.network;
        self.sim
            .send(network, &Event::OutcomeQuery(vm_incarnation, request));
        let timeout_at_ms = self.sim.now_ms + QUERY_TIMEOUT_MS;
        self.sim
            .schedule_at(timeout_at_ms, Event::QueryTimedOut(vm_incarnation, request));
    }

    fn report_outcome(&mut self, from: VmIncarnation, request: usize) {
        let now_ms = self.sim.now_ms;
        let ticket = &self.tickets[request];
        let ticket_vm = &mut self.vms[0];
        if ticket_vm.incarnation != ticket.incarnation {
            return;
        }
        let may_seal = ticket.window(ticket_vm.clock.unix_ms_at(now_ms)) == TicketWindow::Open;
        let querying_daemon = DaemonIncarnation {
            vm: vm_name(from.0),
            incarnation: from.1,
        };
        let outcome = ticket_vm.deduplication.report_outcome(
            now_ms,
            &request_id(request),
            &"body".into(),
            &querying_daemon,
            may_seal,
        );
        let network = self.body.network;
        self.sim
            .send(network, &Event::OutcomeReport(from, request, outcome));
    }

    /// Handles a reported outcome or a timeout, whichever comes first. A later one
    /// is ignored, as it would be over HTTP.
    fn on_outcome(
        &mut self,
        vm_incarnation: VmIncarnation,
        request: usize,
        outcome: &ReportedOutcome<u32>,
    ) {
        let Some(vm) = self.running_vm(vm_incarnation) else {
            return;
        };
        if !self.vms[vm].querying.remove(&request) {
            return;
        }
        if *outcome == ReportedOutcome::NeverRan {
            self.run(vm_incarnation, request);
        } else {
            self.vms[vm].deduplication.remove(&request_id(request));
        }
    }

    fn run(&mut self, vm_incarnation: VmIncarnation, request: usize) {
        self.runs[request] += 1;
        let ends_at_ms = self.sim.now_ms + self.body.work_ms;
        self.sim
            .schedule_at(ends_at_ms, Event::RunEnded(vm_incarnation, request));
    }

    fn check_runs(&mut self) {
        for (request, runs) in self.runs.iter().enumerate() {
            if *runs > 1 {
                let message = format!("{} ran {runs} times", request_id(request));
                self.violations.push(message);
            }
            if *runs == 0 && self.body.must_run {
                self.violations
                    .push(format!("{} never ran", request_id(request)));
            }
        }
    }
}
