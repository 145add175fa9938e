//! The simulation of one run in virtual time, with daemons that use the
//! decision code of the core and fake endpoints.

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
    endpoint::{FakeEndpoint, RunFinish},
    fault::{self, Fault},
    measure::{Figures, Measures},
    policy::Policy,
    trainer::TrainerSim,
    work::{Attempt, WorkItem},
    workload::Workload,
};

/// The time until a daemon detects that a data centre does not answer.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The time until a daemon detects that a started answer has stopped.
const CHUNK_TIMEOUT_MS: u64 = 5_000;
const LOAD_PUBLISH_INTERVAL_MS: u64 = 300;
const FAULT_UPDATE_INTERVAL_MS: u64 = 1_000;
pub(super) const MAX_IN_FLIGHT_PER_ENDPOINT: u32 = 64;
const MIN_ADMISSION_LIMIT: u32 = 2;

/// A scheduled event of the simulation.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A caller sends a request to the service of this index.
    RequestArrived(usize),
    /// A caller sends a refused request to its daemon again.
    OfferRequest(u64),
    /// A daemon makes another attempt at a work item.
    DispatchAttempt(u64),
    /// An attempt reaches its endpoint.
    AttemptArrived(u64),
    /// The run of an attempt finishes, unless its epoch has changed.
    RunFinished(u64, u64),
    /// An attempt failed. The flag tells whether the request was sent.
    AttemptFailed(u64, RetryReason, bool),
    /// The deadline of a request or sample is reached.
    DeadlineReached(u64),
    /// The daemon of this index reads the load reports.
    ReadLoadReports(usize),
    /// All endpoints publish their load.
    PublishLoads,
    /// A trainer's ledger is committed, and its samples are fetched and started.
    RunTrainer(usize),
    /// A trainer has finished training a step.
    StepTrained(usize),
    /// A wave, half of the samplers, loads new weights: trainer, version, wave.
    SwapWeights(usize, u64, usize),
    /// A sampler has loaded new weights: endpoint, trainer, version.
    WeightsSwapped(usize, usize, u64),
    /// The state of the fault is applied to all endpoints.
    UpdateFault,
    /// A crashed endpoint restarts.
    RestartEndpoint(usize),
    /// A request that crashes endpoints arrives.
    PoisonArrived,
    /// A slot without a usable sample is opened again.
    ReopenSlot(usize, chicoryreach::wire::trainers::Slot),
}

/// The decision state of one daemon.
pub(super) struct DaemonSim {
    pub(super) data_centre: Name,
    pub(super) table: EndpointTable,
    pub(super) admissions: Vec<Admission>,
    pub(super) budgets: Vec<RetryBudget>,
    /// The work item for each service and number in its admission queue.
    pub(super) waiting_requests: BTreeMap<(usize, u64), u64>,
    pub(super) rng: SmallRng,
    pub(super) round_robin_position: usize,
}

/// The state of one simulated run.
pub(super) struct World<'a> {
    pub(super) workload: &'a Workload,
    pub(super) policy: &'a Policy,
    pub(super) fault: Fault,
    pub(super) now_ms: u64,
    /// Pending events by time, then in the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    scheduled_events: u64,
    pub(super) arrival_rng: SmallRng,
    pub(super) failure_rng: SmallRng,
    pub(super) endpoints: Vec<FakeEndpoint>,
    pub(super) endpoint_indexes: BTreeMap<Name, usize>,
    pub(super) daemons: Vec<DaemonSim>,
    pub(super) trainers: Vec<TrainerSim>,
    pub(super) work_items: BTreeMap<u64, WorkItem>,
    pub(super) attempts: BTreeMap<u64, Attempt>,
    pub(super) next_id: u64,
    pub(super) seed: u64,
    pub(super) measures: Measures,
}

pub(super) fn data_centre_name(index: usize) -> Name {
    format!("dc-{index}").into()
}

/// Simulates one run and returns its figures.
pub(super) fn simulate(workload: &Workload, policy: &Policy, fault: Fault, seed: u64) -> Figures {
    let mut world = World::new(workload, policy, fault, seed);
    while let Some(((at_ms, _), event)) = world.events.pop_first() {
        if at_ms >= workload.end_ms {
            break;
        }
        world.now_ms = at_ms;
        world.handle_event(event);
    }
    world.record_unfinished_work();
    world.measures.figures()
}

impl<'a> World<'a> {
    fn new(workload: &'a Workload, policy: &'a Policy, fault: Fault, seed: u64) -> Self {
        let mut endpoints = Vec::new();
        for (service, load) in workload.services.iter().enumerate() {
            for index in 0..load.endpoints {
                let name: Name = format!("{}-{index}", load.name).into();
                let data_centre = index % workload.data_centres;
                let endpoint =
                    FakeEndpoint::new(name, service, data_centre, *load, workload.trainers);
                endpoints.push(endpoint);
            }
        }
        let endpoint_indexes = endpoints.iter().enumerate();
        let endpoint_indexes =
            endpoint_indexes.map(|(index, endpoint)| (endpoint.name.clone(), index));
        let document = config_document(workload, &endpoints);
        let daemons = (0..workload.daemons).map(|index| {
            let mut table = EndpointTable::default();
            table.configure(&document);
            DaemonSim {
                data_centre: data_centre_name(index % workload.data_centres),
                table,
                admissions: workload
                    .services
                    .iter()
                    .map(|load| {
                        let endpoints = u32::try_from(load.endpoints).unwrap_or(u32::MAX);
                        Admission::new(MIN_ADMISSION_LIMIT, MAX_IN_FLIGHT_PER_ENDPOINT * endpoints)
                    })
                    .collect(),
                budgets: vec![RetryBudget::new(200, 20_000); workload.services.len()],
                waiting_requests: BTreeMap::new(),
                rng: SmallRng::seed_from_u64(seed * 1_000 + index as u64),
                round_robin_position: index,
            }
        });
        let trainers = (0..workload.trainers).map(|index| TrainerSim::new(index, workload));
        let mut world = Self {
            workload,
            policy,
            fault,
            now_ms: 0,
            events: BTreeMap::new(),
            scheduled_events: 0,
            arrival_rng: SmallRng::seed_from_u64(seed ^ 0xA),
            failure_rng: SmallRng::seed_from_u64(seed ^ 0xC),
            endpoint_indexes: endpoint_indexes.collect(),
            endpoints,
            daemons: daemons.collect(),
            trainers: trainers.collect(),
            work_items: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_id: 0,
            seed,
            measures: Measures::new(),
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        self.schedule_at(0, Event::PublishLoads);
        self.schedule_at(0, Event::UpdateFault);
        for daemon in 0..self.daemons.len() {
            self.schedule_at(1 + 40 * daemon as u64, Event::ReadLoadReports(daemon));
        }
        for service in 0..self.workload.services.len() {
            self.schedule_at(1_000, Event::RequestArrived(service));
        }
        for trainer in 0..self.trainers.len() {
            // Trainers start at staggered times.
            let offset_ms = self.workload.train_ms * trainer as u64 / self.trainers.len() as u64;
            self.schedule_at(1_000 + offset_ms, Event::RunTrainer(trainer));
        }
        if self.fault == Fault::CrashLoop {
            let (from_ms, _) = fault::window(self.fault, self.workload);
            self.schedule_at(from_ms, Event::PoisonArrived);
        }
    }

    pub(super) fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.scheduled_events += 1;
        self.events.insert((at_ms, self.scheduled_events), event);
    }

    pub(super) fn schedule_after(&mut self, wait_ms: u64, event: Event) {
        self.schedule_at(self.now_ms + wait_ms, event);
    }

    pub(super) fn is_fault_on(&self) -> bool {
        let (from_ms, to_ms) = fault::window(self.fault, self.workload);
        self.fault != Fault::None && (from_ms..to_ms).contains(&self.now_ms)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrived(service) => self.on_request_arrived(service),
            Event::OfferRequest(work) => self.offer_request(work),
            Event::DispatchAttempt(work) => self.dispatch_attempt(work),
            Event::AttemptArrived(attempt) => self.on_attempt_arrived(attempt),
            Event::RunFinished(attempt, epoch) => self.on_run_finished(attempt, epoch),
            Event::AttemptFailed(attempt, reason, was_sent) => {
                self.on_attempt_failed(attempt, reason, was_sent);
            }
            Event::DeadlineReached(work) => self.on_deadline(work),
            Event::ReadLoadReports(daemon) => self.read_load_reports(daemon),
            Event::PublishLoads => {
                self.endpoints.iter_mut().for_each(FakeEndpoint::publish);
                self.schedule_after(LOAD_PUBLISH_INTERVAL_MS, Event::PublishLoads);
            }
            Event::RunTrainer(trainer) => self.run_trainer(trainer),
            Event::StepTrained(trainer) => self.on_step_trained(trainer),
            Event::SwapWeights(trainer, version, wave) => self.swap_weights(trainer, version, wave),
            Event::WeightsSwapped(endpoint, trainer, version) => {
                let loaded_version = &mut self.endpoints[endpoint].versions[trainer];
                *loaded_version = version.max(*loaded_version);
                self.start_jobs(endpoint);
            }
            Event::UpdateFault => self.update_fault(),
            Event::RestartEndpoint(endpoint) => self.endpoints[endpoint].is_up = true,
            Event::PoisonArrived => self.on_poison_arrived(),
            Event::ReopenSlot(trainer, slot) => self.trainers[trainer].reopen_slot(slot),
        }
    }

    fn read_load_reports(&mut self, daemon: usize) {
        let now_ms = self.now_ms;
        let workload = self.workload;
        let service = workload.services[0].name;
        // Weights versions are those of the trainer whose ledger this daemon holds.
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
            let is_answering = endpoint.is_up && endpoint.is_reachable;
            let mut load = is_answering.then(|| endpoint.published_load.clone());
            if let (Some(load), Some(trainer)) = (&mut load, trainer) {
                load.weights_version = endpoint.published_versions[trainer];
            }
            slots += load.as_ref().map_or(0, |load| load.slots);
            table.on_report(now_ms, service, &endpoint.name, load);
        }
        let daemons = u32::try_from(workload.daemons).unwrap_or(1);
        let free = routing::free_slots(table, now_ms, service, 0);
        let cap = caller_cap(slots, free, daemons, true);
        // Rollouts also slow the answers of a model service, so latency is no
        // measure of the callers' load. The slots determine their limit.
        self.daemons[daemon].admissions[0].set_bounds(cap, cap);
        self.dequeue_waiting(daemon, 0);
        self.dequeue_waiting(daemon, 1);
        let wait_ms = self.daemons[daemon]
            .rng
            .random_range(workload.min_report_ms..=workload.max_report_ms);
        self.schedule_after(wait_ms, Event::ReadLoadReports(daemon));
    }

    fn update_fault(&mut self) {
        let (is_on, now_ms, fault) = (self.is_fault_on(), self.now_ms, self.fault);
        let mut first_of_service = 0;
        for index in 0..self.endpoints.len() {
            if index > 0 && self.endpoints[index].service != self.endpoints[index - 1].service {
                first_of_service = index;
            }
            let is_crash_loop = fault == Fault::CrashLoop;
            let mut finishes = Vec::new();
            let endpoint = &mut self.endpoints[index];
            let was_answering = endpoint.is_up && endpoint.is_reachable;
            if !is_crash_loop {
                let position = index - first_of_service;
                let update = |endpoint: &mut FakeEndpoint| {
                    fault::apply(fault, is_on, now_ms, position, endpoint);
                };
                endpoint.update(now_ms, update, &mut finishes);
            }
            let detection_delay_ms = if endpoint.is_reachable {
                1
            } else {
                CHUNK_TIMEOUT_MS
            };
            let is_answering = endpoint.is_up && endpoint.is_reachable;
            self.schedule_finishes(finishes);
            if was_answering && !is_answering {
                self.abort_jobs(index, detection_delay_ms);
            }
        }
        self.schedule_after(FAULT_UPDATE_INTERVAL_MS, Event::UpdateFault);
    }

    /// Aborts all jobs at an endpoint. Their daemons detect the failure after
    /// `detection_delay_ms`.
    pub(super) fn abort_jobs(&mut self, endpoint: usize, detection_delay_ms: u64) {
        let now_ms = self.now_ms;
        for (id, done_units) in self.endpoints[endpoint].abort_all(now_ms) {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                // Units done before the abort have already been passed on.
                attempt.done_units = done_units;
                let failed = Event::AttemptFailed(id, RetryReason::AnswerCut, true);
                self.schedule_after(detection_delay_ms, failed);
            }
        }
    }

    /// Schedules the finish events of runs that started or changed speed.
    pub(super) fn schedule_finishes(&mut self, finishes: Vec<RunFinish>) {
        for RunFinish {
            attempt,
            at_ms,
            epoch,
        } in finishes
        {
            self.schedule_at(at_ms, Event::RunFinished(attempt, epoch));
        }
    }

    pub(super) fn start_jobs(&mut self, endpoint: usize) {
        let mut finishes = Vec::new();
        self.endpoints[endpoint].start_queued(self.now_ms, &mut finishes);
        for RunFinish { attempt, .. } in &finishes {
            self.on_run_started(*attempt, endpoint);
        }
        self.schedule_finishes(finishes);
    }

    fn on_attempt_arrived(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let index = attempt.endpoint;
        let endpoint = &self.endpoints[index];
        if !endpoint.is_reachable {
            let failed = Event::AttemptFailed(id, RetryReason::ConnectFailed, false);
            self.schedule_after(CONNECT_TIMEOUT_MS, failed);
            return;
        }
        if !endpoint.is_up {
            self.schedule_after(
                1,
                Event::AttemptFailed(id, RetryReason::ConnectFailed, false),
            );
            return;
        }
        let job = self.work_items[&attempt.work_id].job(id);
        if self.failure_rng.random_ratio(endpoint.failure_percent, 100) {
            const REFUSAL_DELAY_MS: u64 = 50;
            let failed = Event::AttemptFailed(id, RetryReason::EndpointRefused, true);
            self.schedule_after(REFUSAL_DELAY_MS, failed);
            return;
        }
        self.endpoints[index].enqueue(job);
        self.start_jobs(index);
    }

    fn swap_weights(&mut self, trainer: usize, version: u64, wave: usize) {
        const WAVES: usize = 2;
        let is_slow = self.fault == Fault::SlowSwaps && self.is_fault_on();
        let swap_ms = self.workload.swap_ms * if is_slow { 10 } else { 1 };
        let samplers = self.workload.services[0].endpoints;
        for index in (wave..samplers).step_by(WAVES) {
            self.endpoints[index].loading_until_ms = self.now_ms + swap_ms;
            self.schedule_after(swap_ms, Event::WeightsSwapped(index, trainer, version));
        }
        if wave + 1 < WAVES {
            self.schedule_after(swap_ms, Event::SwapWeights(trainer, version, wave + 1));
        }
    }

    fn record_unfinished_work(&mut self) {
        let now_ms = self.now_ms;
        let overdue = |work: &&WorkItem| work.is_caller() && work.deadline_ms + 1 < now_ms;
        self.measures.lost += self.work_items.values().filter(overdue).count() as u64;
        for trainer in 0..self.trainers.len() {
            self.record_unfinished_step(trainer);
        }
    }

    pub(super) fn draw_priority(&mut self) -> Priority {
        if self.arrival_rng.random_ratio(7, 10) {
            Priority::Interactive
        } else {
            Priority::Normal
        }
    }
}

fn config_document(workload: &Workload, endpoints: &[FakeEndpoint]) -> Document {
    let mut document = Document::default();
    for (service, load) in workload.services.iter().enumerate() {
        let of_service = endpoints
            .iter()
            .filter(|endpoint| endpoint.service == service);
        let settings = of_service.map(|endpoint| {
            let settings = EndpointSettings {
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: data_centre_name(endpoint.data_centre),
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
            max_in_flight_per_endpoint: MAX_IN_FLIGHT_PER_ENDPOINT,
            ..Service::default()
        };
        document
            .services
            .insert(Arc::from(load.name), Arc::new(service));
    }
    document
}
