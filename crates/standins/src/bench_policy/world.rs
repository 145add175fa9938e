//! One run in virtual time: daemons that decide with the real code, before
//! fakes of the endpoints.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::core::{
    Name,
    admission::{Admission, Priority, caller_cap},
    config::{Document, EndpointSettings, Service, ServiceKind},
    endpoint::EndpointTable,
    retry::{RetryBudget, RetryReason},
    routing,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    endpoint::{Due, FakeEndpoint},
    fault::{self, Fault},
    measure::{Figures, Measures},
    policy::Policy,
    trainer::TrainerSim,
    work::{Attempt, Work},
    workload::Workload,
};

/// How long a daemon takes to see that a data centre does not answer.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
const CHUNK_TIMEOUT_MS: u64 = 5_000;
const PUBLISH_MS: u64 = 300;
const FAULT_TURN_MS: u64 = 1_000;
pub(super) const MAX_IN_FLIGHT: u32 = 64;
const LEAST_LIMIT: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A caller sends a request to a service.
    Arrive(usize),
    /// A request comes to its daemon, for the first time or again.
    Offer(u64),
    /// An attempt of a request is to be made.
    Dispatch(u64),
    /// An attempt reaches its endpoint.
    Reach(u64),
    /// A run may be done.
    Done(u64, u64),
    /// An attempt has failed; the flag says whether it was sent.
    Failed(u64, RetryReason, bool),
    /// A request's deadline has come.
    Deadline(u64),
    /// A daemon reads the load reports.
    Report(usize),
    /// Endpoints publish their load.
    Publish,
    /// A trainer's daemon works its ledger.
    TrainerTurn(usize),
    /// A trainer has trained a step.
    Trained(usize),
    /// Half of the samplers load a version of a trainer's weights.
    Swap(usize, u64, usize),
    /// A sampler has loaded it.
    SwapDone(usize, usize, u64),
    /// Faults come and go.
    Fault,
    /// A crashed endpoint is up again.
    Restart(usize),
    /// A request that crashes endpoints arrives.
    Poison,
    /// A slot whose generation failed is open again.
    Reopen(usize, chicoryreach::wire::trainers::Slot),
}

/// What one daemon decides with.
pub(super) struct DaemonSim {
    pub(super) data_centre: Name,
    pub(super) table: EndpointTable,
    pub(super) admissions: Vec<Admission>,
    pub(super) budgets: Vec<RetryBudget>,
    pub(super) waiting: BTreeMap<(usize, u64), u64>,
    pub(super) rng: SmallRng,
    pub(super) next_turn: usize,
}

pub(super) struct World<'a> {
    pub(super) workload: &'a Workload,
    pub(super) policy: &'a Policy,
    pub(super) fault: Fault,
    pub(super) now_ms: u64,
    queue: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    pub(super) arrivals: SmallRng,
    pub(super) chance: SmallRng,
    pub(super) endpoints: Vec<FakeEndpoint>,
    pub(super) index_of: BTreeMap<Name, usize>,
    pub(super) daemons: Vec<DaemonSim>,
    pub(super) trainers: Vec<TrainerSim>,
    pub(super) works: BTreeMap<u64, Work>,
    pub(super) attempts: BTreeMap<u64, Attempt>,
    pub(super) next_id: u64,
    pub(super) seed: u64,
    pub(super) measures: Measures,
}

pub(super) fn data_centre(index: usize) -> Name {
    format!("dc-{index}").into()
}

/// Plays one run and returns its figures.
pub(super) fn play(workload: &Workload, policy: &Policy, fault: Fault, seed: u64) -> Figures {
    let mut world = World::new(workload, policy, fault, seed);
    while let Some(((at_ms, _), event)) = world.queue.pop_first() {
        if at_ms >= workload.end_ms {
            break;
        }
        world.now_ms = at_ms;
        world.handle(event);
    }
    world.end();
    world.measures.figures()
}

impl<'a> World<'a> {
    fn new(workload: &'a Workload, policy: &'a Policy, fault: Fault, seed: u64) -> Self {
        let mut endpoints = Vec::new();
        for (service, load) in workload.services.iter().enumerate() {
            for index in 0..load.endpoints {
                let name: Name = format!("{}-{index}", load.name).into();
                let place = index % workload.data_centres;
                let endpoint = FakeEndpoint::new(name, service, place, *load, workload.trainers);
                endpoints.push(endpoint);
            }
        }
        let index_of = endpoints.iter().enumerate();
        let index_of = index_of.map(|(index, endpoint)| (endpoint.name.clone(), index));
        let document = document(workload, &endpoints);
        let daemons = (0..workload.daemons).map(|index| {
            let mut table = EndpointTable::default();
            table.configure(&document);
            DaemonSim {
                data_centre: data_centre(index % workload.data_centres),
                table,
                admissions: workload
                    .services
                    .iter()
                    .map(|load| {
                        let endpoints = u32::try_from(load.endpoints).unwrap_or(u32::MAX);
                        Admission::new(LEAST_LIMIT, MAX_IN_FLIGHT * endpoints)
                    })
                    .collect(),
                budgets: vec![RetryBudget::new(200, 20_000); workload.services.len()],
                waiting: BTreeMap::new(),
                rng: SmallRng::seed_from_u64(seed * 1_000 + index as u64),
                next_turn: index,
            }
        });
        let trainers = (0..workload.trainers).map(|index| TrainerSim::new(index, workload));
        let mut world = Self {
            workload,
            policy,
            fault,
            now_ms: 0,
            queue: BTreeMap::new(),
            scheduled: 0,
            arrivals: SmallRng::seed_from_u64(seed ^ 0xA),
            chance: SmallRng::seed_from_u64(seed ^ 0xC),
            index_of: index_of.collect(),
            endpoints,
            daemons: daemons.collect(),
            trainers: trainers.collect(),
            works: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_id: 0,
            seed,
            measures: Measures::new(),
        };
        world.schedule_first();
        world
    }

    fn schedule_first(&mut self) {
        self.at(0, Event::Publish);
        self.at(0, Event::Fault);
        for daemon in 0..self.daemons.len() {
            self.at(1 + 40 * daemon as u64, Event::Report(daemon));
        }
        for service in 0..self.workload.services.len() {
            self.at(1_000, Event::Arrive(service));
        }
        for trainer in 0..self.trainers.len() {
            // Trainers do not start together.
            let offset_ms = self.workload.train_ms * trainer as u64 / self.trainers.len() as u64;
            self.at(1_000 + offset_ms, Event::TrainerTurn(trainer));
        }
        if self.fault == Fault::CrashLoop {
            let (from_ms, _) = fault::window(self.fault, self.workload);
            self.at(from_ms, Event::Poison);
        }
    }

    pub(super) fn at(&mut self, at_ms: u64, event: Event) {
        self.scheduled += 1;
        self.queue.insert((at_ms, self.scheduled), event);
    }

    pub(super) fn after(&mut self, wait_ms: u64, event: Event) {
        self.at(self.now_ms + wait_ms, event);
    }

    pub(super) fn is_fault_on(&self) -> bool {
        let (from_ms, to_ms) = fault::window(self.fault, self.workload);
        self.fault != Fault::None && (from_ms..to_ms).contains(&self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(service) => self.arrive(service),
            Event::Offer(work) => self.offer(work),
            Event::Dispatch(work) => self.dispatch(work),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Done(attempt, epoch) => self.done(attempt, epoch),
            Event::Failed(attempt, reason, was_sent) => self.on_failed(attempt, reason, was_sent),
            Event::Deadline(work) => self.on_deadline(work),
            Event::Report(daemon) => self.report(daemon),
            Event::Publish => {
                self.endpoints.iter_mut().for_each(FakeEndpoint::publish);
                self.after(PUBLISH_MS, Event::Publish);
            }
            Event::TrainerTurn(trainer) => self.trainer_turn(trainer),
            Event::Trained(trainer) => self.on_trained(trainer),
            Event::Swap(trainer, version, wave) => self.swap(trainer, version, wave),
            Event::SwapDone(endpoint, trainer, version) => {
                let known = &mut self.endpoints[endpoint].versions[trainer];
                *known = version.max(*known);
                self.start_jobs(endpoint);
            }
            Event::Fault => self.apply_fault(),
            Event::Restart(endpoint) => self.endpoints[endpoint].is_up = true,
            Event::Poison => self.arrive_poison(),
            Event::Reopen(trainer, slot) => self.trainers[trainer].reopen(slot),
        }
    }

    fn report(&mut self, daemon: usize) {
        let now_ms = self.now_ms;
        let workload = self.workload;
        let service = workload.services[0].name;
        // Versions are reported for the trainer whose ledger the daemon holds.
        let trainer = self
            .trainers
            .iter()
            .position(|trainer| trainer.daemon == daemon);
        let table = &mut self.daemons[daemon].table;
        let mut slots = 0;
        for endpoint in self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.service == 0)
        {
            let answers = endpoint.is_up && endpoint.is_reachable;
            let mut load = answers.then(|| endpoint.published.clone());
            if let (Some(load), Some(trainer)) = (&mut load, trainer) {
                load.weights_version = endpoint.published_versions[trainer];
            }
            slots += load.as_ref().map_or(0, |load| load.slots);
            table.on_report(now_ms, service, &endpoint.name, load);
        }
        let daemons = u32::try_from(workload.daemons).unwrap_or(1);
        let free = routing::free_slots(table, now_ms, service, 0);
        let cap = caller_cap(slots, free, daemons, true);
        // Slow answers of a model service come from rollouts too; what callers
        // may have is known from the slots.
        self.daemons[daemon].admissions[0].set_bounds(cap, cap);
        self.drain(daemon, 0);
        self.drain(daemon, 1);
        let wait_ms = self.daemons[daemon]
            .rng
            .random_range(workload.min_report_ms..=workload.max_report_ms);
        self.after(wait_ms, Event::Report(daemon));
    }

    fn apply_fault(&mut self) {
        let (is_on, now_ms, fault) = (self.is_fault_on(), self.now_ms, self.fault);
        let mut first_of_service = 0;
        for index in 0..self.endpoints.len() {
            if index > 0 && self.endpoints[index].service != self.endpoints[index - 1].service {
                first_of_service = index;
            }
            let is_crash_loop = fault == Fault::CrashLoop;
            let mut due = Vec::new();
            let endpoint = &mut self.endpoints[index];
            let was_answering = endpoint.is_up && endpoint.is_reachable;
            if !is_crash_loop {
                let place = index - first_of_service;
                let change = |endpoint: &mut FakeEndpoint| {
                    fault::apply(fault, is_on, now_ms, place, endpoint);
                };
                endpoint.change(now_ms, change, &mut due);
            }
            let wait_ms = if endpoint.is_reachable {
                1
            } else {
                CHUNK_TIMEOUT_MS
            };
            let is_answering = endpoint.is_up && endpoint.is_reachable;
            self.schedule(due);
            if was_answering && !is_answering {
                self.drop_jobs(index, wait_ms);
            }
        }
        self.after(FAULT_TURN_MS, Event::Fault);
    }

    /// Everything at an endpoint is cut, which its daemons see later.
    pub(super) fn drop_jobs(&mut self, endpoint: usize, seen_after_ms: u64) {
        let now_ms = self.now_ms;
        for (id, done_units) in self.endpoints[endpoint].drop_all(now_ms) {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                // What came before the cut has been handed on.
                attempt.done_units = done_units;
                let failed = Event::Failed(id, RetryReason::AnswerCut, true);
                self.after(seen_after_ms, failed);
            }
        }
    }

    /// Notes runs that started or changed their pace.
    pub(super) fn schedule(&mut self, due: Vec<Due>) {
        for Due {
            attempt,
            at_ms,
            epoch,
        } in due
        {
            self.at(at_ms, Event::Done(attempt, epoch));
        }
    }

    pub(super) fn start_jobs(&mut self, endpoint: usize) {
        let mut due = Vec::new();
        self.endpoints[endpoint].start(self.now_ms, &mut due);
        for Due { attempt, .. } in &due {
            self.on_started(*attempt, endpoint);
        }
        self.schedule(due);
    }

    fn reach(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let index = attempt.endpoint;
        let endpoint = &self.endpoints[index];
        if !endpoint.is_reachable {
            let failed = Event::Failed(id, RetryReason::ConnectFailed, false);
            self.after(CONNECT_TIMEOUT_MS, failed);
            return;
        }
        if !endpoint.is_up {
            self.after(1, Event::Failed(id, RetryReason::ConnectFailed, false));
            return;
        }
        let job = self.works[&attempt.work].job(id);
        if self.chance.random_ratio(endpoint.fails_percent, 100) {
            const REFUSED_AFTER_MS: u64 = 50;
            let failed = Event::Failed(id, RetryReason::EndpointRefused, true);
            self.after(REFUSED_AFTER_MS, failed);
            return;
        }
        self.endpoints[index].enqueue(job);
        self.start_jobs(index);
    }

    fn swap(&mut self, trainer: usize, version: u64, wave: usize) {
        const WAVES: usize = 2;
        let is_slow = self.fault == Fault::SlowSwaps && self.is_fault_on();
        let swap_ms = self.workload.swap_ms * if is_slow { 10 } else { 1 };
        let samplers = self.workload.services[0].endpoints;
        for index in (wave..samplers).step_by(WAVES) {
            self.endpoints[index].loading_until_ms = self.now_ms + swap_ms;
            self.after(swap_ms, Event::SwapDone(index, trainer, version));
        }
        if wave + 1 < WAVES {
            self.after(swap_ms, Event::Swap(trainer, version, wave + 1));
        }
    }

    fn end(&mut self) {
        let now_ms = self.now_ms;
        let overdue = |work: &&Work| work.is_caller() && work.deadline_ms + 1 < now_ms;
        self.measures.lost += self.works.values().filter(overdue).count() as u64;
        for trainer in 0..self.trainers.len() {
            self.end_trainer(trainer);
        }
    }

    pub(super) fn draw_priority(&mut self) -> Priority {
        if self.arrivals.random_ratio(7, 10) {
            Priority::Interactive
        } else {
            Priority::Normal
        }
    }
}

fn document(workload: &Workload, endpoints: &[FakeEndpoint]) -> Document {
    let mut document = Document::default();
    for (service, load) in workload.services.iter().enumerate() {
        let of_service = endpoints
            .iter()
            .filter(|endpoint| endpoint.service == service);
        let settings = of_service.map(|endpoint| {
            let settings = EndpointSettings {
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: data_centre(endpoint.data_centre),
                checks_fence: true,
                leaving: false,
            };
            (endpoint.name.clone(), settings)
        });
        let kind = if load.is_model {
            ServiceKind::Model
        } else {
            ServiceKind::Plain
        };
        let service = Service {
            kind,
            endpoints: settings.collect(),
            max_in_flight_per_endpoint: MAX_IN_FLIGHT,
            ..Service::default()
        };
        document
            .services
            .insert(Arc::from(load.name), Arc::new(service));
    }
    document
}
