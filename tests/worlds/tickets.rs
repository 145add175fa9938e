//! Non-idempotent requests that callers send again, here and at other VMs.

use std::{collections::BTreeSet, sync::Arc};

use chicoryreach::core::request::{
    DaemonIncarnation, Deduplication, ReportedOutcome, StartOutcome, Ticket, TicketClock,
    TicketWindow,
};
use serde::Deserialize;
use serde_json::Value;

use crate::sim::{Network, Sim};

const ASK_TIMEOUT_MS: u64 = 1_000;
const EXPIRE_MS: u64 = 1_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// How far each VM's clock is off, in milliseconds.
    skews_ms: Vec<i64>,
    requests: usize,
    end_ms: u64,
    network: Network,
    /// How long the service works on a call, in milliseconds.
    work_ms: u64,
    /// When each request is sent and where: VM 0 is that of its ticket.
    sends: Vec<Send>,
    /// Daemons that die and start anew at once.
    #[serde(default)]
    restarts: Vec<Restart>,
    /// Whether every request has to run.
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

/// A VM in one incarnation; what is meant for an earlier one is lost.
type Place = (usize, u64);

#[derive(Clone, Debug)]
enum Event {
    Request(usize, usize),
    Ended(Place, usize),
    Asked(Place, usize),
    Told(Place, usize, ReportedOutcome<u32>),
    NotTold(Place, usize),
    Restart(usize),
    Expire,
}

struct Vm {
    incarnation: u64,
    clock: TicketClock,
    ids: Deduplication<u32>,
    /// Requests for which the VM of the ticket is being asked.
    asking: BTreeSet<usize>,
}

struct World {
    body: Body,
    sim: Sim<Event>,
    vms: Vec<Vm>,
    tickets: Vec<Ticket>,
    runs: Vec<u32>,
    broken: Vec<String>,
}

/// Plays requests; one that runs twice breaks the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.judge();
    world.broken
}

fn name(vm: usize) -> Arc<str> {
    format!("vm-{vm}").into()
}

fn id(request: usize) -> Arc<str> {
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
            ids: Deduplication::default(),
            asking: BTreeSet::new(),
        });
        let vms: Vec<Vm> = vms.collect();
        // Another member hands the ticket out, by its own clock.
        let issuer = vms.last().expect("there is a VM");
        let ticket = Ticket {
            vm: name(0),
            incarnation: 1,
            issued_ms: issuer.clock.unix_ms_at(0),
        };
        for request in 0..body.requests {
            for send in &body.sends {
                let way_ms = rand::Rng::random_range(
                    &mut sim.rng,
                    body.network.min_delay_ms..=body.network.max_delay_ms,
                );
                sim.at(send.at_ms + way_ms, Event::Request(send.vm, request));
            }
        }
        for restart in &body.restarts {
            sim.at(restart.at_ms, Event::Restart(restart.vm));
        }
        sim.at(EXPIRE_MS, Event::Expire);
        Self {
            tickets: vec![ticket; body.requests],
            runs: vec![0; body.requests],
            body,
            sim,
            vms,
            broken: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(vm, request) => self.take(vm, request),
            Event::Ended(place, request) => {
                if let Some(vm) = self.at(place) {
                    let now_ms = self.sim.now_ms;
                    self.vms[vm].ids.finish(now_ms, &id(request), 200);
                }
            }
            Event::Asked(from, request) => self.answer(from, request),
            Event::Told(place, request, settled) => self.told(place, request, &settled),
            Event::NotTold(place, request) => self.told(place, request, &ReportedOutcome::Unknown),
            Event::Restart(vm) => {
                self.vms[vm].incarnation += 1;
                self.vms[vm].ids = Deduplication::default();
                self.vms[vm].asking.clear();
            }
            Event::Expire => {
                let now_ms = self.sim.now_ms;
                self.vms.iter_mut().for_each(|vm| vm.ids.expire(now_ms));
                self.sim.at(now_ms + EXPIRE_MS, Event::Expire);
            }
        }
    }

    fn at(&self, (vm, incarnation): Place) -> Option<usize> {
        (self.vms[vm].incarnation == incarnation).then_some(vm)
    }

    fn take(&mut self, vm: usize, request: usize) {
        let now_ms = self.sim.now_ms;
        let ticket = &self.tickets[request];
        let at = &mut self.vms[vm];
        let place = (vm, at.incarnation);
        let is_own = ticket.is_issued_for(&name(vm), at.incarnation);
        let window = ticket.window(at.clock.unix_ms_at(now_ms));
        if is_own && window == TicketWindow::Before {
            return;
        }
        let may_start = !is_own || window == TicketWindow::Open;
        let seen = at.ids.start(&id(request), &"body".into(), may_start);
        match (seen, is_own) {
            (StartOutcome::New, true) => self.run(place, request),
            (StartOutcome::New, false) => {
                at.asking.insert(request);
                self.ask(place, request);
            }
            _ => {}
        }
    }

    fn ask(&mut self, place: Place, request: usize) {
        let network = self.body.network;
        self.sim.send(network, &Event::Asked(place, request));
        let timeout_at_ms = self.sim.now_ms + ASK_TIMEOUT_MS;
        self.sim.at(timeout_at_ms, Event::NotTold(place, request));
    }

    fn answer(&mut self, from: Place, request: usize) {
        let now_ms = self.sim.now_ms;
        let ticket = &self.tickets[request];
        let issuer = &mut self.vms[0];
        if issuer.incarnation != ticket.incarnation {
            return;
        }
        let may_seal = ticket.window(issuer.clock.unix_ms_at(now_ms)) == TicketWindow::Open;
        let asker = DaemonIncarnation {
            vm: name(from.0),
            incarnation: from.1,
        };
        let settled =
            issuer
                .ids
                .report_outcome(now_ms, &id(request), &"body".into(), &asker, may_seal);
        let network = self.body.network;
        self.sim.send(network, &Event::Told(from, request, settled));
    }

    /// Only the first answer to a question counts, as over HTTP.
    fn told(&mut self, place: Place, request: usize, settled: &ReportedOutcome<u32>) {
        let Some(vm) = self.at(place) else { return };
        if !self.vms[vm].asking.remove(&request) {
            return;
        }
        if *settled == ReportedOutcome::NeverRan {
            self.run(place, request);
        } else {
            self.vms[vm].ids.remove(&id(request));
        }
    }

    fn run(&mut self, place: Place, request: usize) {
        self.runs[request] += 1;
        let ends_at_ms = self.sim.now_ms + self.body.work_ms;
        self.sim.at(ends_at_ms, Event::Ended(place, request));
    }

    fn judge(&mut self) {
        for (request, runs) in self.runs.iter().enumerate() {
            if *runs > 1 {
                let line = format!("{} ran {runs} times", id(request));
                self.broken.push(line);
            }
            if *runs == 0 && self.body.must_run {
                self.broken.push(format!("{} never ran", id(request)));
            }
        }
    }
}
