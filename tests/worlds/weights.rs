//! Samplers, a weight store with a rate, and holders that order new versions.

use std::collections::BTreeMap;

use chicoryreach::{
    core::{
        Name,
        guard::{self, Guard},
        weights::{Sampler, WeightsRollout},
    },
    wire::engine::{Action, Order},
};
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

use crate::sim::{Network, Sim};

const TURN_MS: u64 = 250;
const REPORT_MS: u64 = 1_000;
/// How soon new weights have to be on every sampler.
const EVERYWHERE_MS: u64 = 26_000;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// How many samplers stand in each data centre.
    data_centres: Vec<usize>,
    checks_fence: bool,
    end_ms: u64,
    network: Network,
    /// How long a sampler loads, once the weight store gives.
    load_ms: u64,
    /// How many loads the weight store gives a second.
    loads_per_s: u64,
    /// How many of a thousand swaps fail partway.
    failing_permille: u32,
    /// Who holds the lease when.
    holders: Vec<Holder>,
    targets: Vec<Target>,
    faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Holder {
    fence: u64,
    from_ms: u64,
    to_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Target {
    at_ms: u64,
    version: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Fault {
    /// A sampler starts anew, with its first weights.
    Crash { sampler: usize, at_ms: u64 },
    /// An order of an earlier holder arrives at last.
    LateOrder {
        sampler: usize,
        at_ms: u64,
        fence: u64,
        version: u64,
    },
}

#[derive(Clone, Debug)]
enum Event {
    Turn(usize),
    Report(usize),
    Reported(usize, u64, u64),
    Order(usize, Order),
    Loaded { sampler: usize, load: u64 },
    Crash(usize),
    Probe,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    version: u64,
    incarnation: u64,
    fence: u64,
    /// The load under way: its number, its version, and whether it fails.
    loading: Option<(u64, u64, bool)>,
}

/// Plays a rollout, and returns the promises that were broken.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.broken
}

struct World {
    body: Body,
    sim: Sim<Event>,
    engines: Vec<Engine>,
    places: Vec<Name>,
    /// What the holders know of the samplers, from reports.
    reports: Vec<Sampler>,
    rollouts: Vec<WeightsRollout>,
    store_free_ms: u64,
    loads: u64,
    broken: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        let counts = body.data_centres.iter().enumerate();
        let places: Vec<Name> = counts
            .flat_map(|(index, count)| std::iter::repeat_n(format!("dc-{index}").into(), *count))
            .collect();
        for sampler in 0..places.len() {
            let at_ms = sim.rng.random_range(0..REPORT_MS);
            sim.at(at_ms, Event::Report(sampler));
        }
        for (index, holder) in body.holders.iter().enumerate() {
            sim.at(holder.from_ms, Event::Turn(index));
        }
        for fault in &body.faults {
            match *fault {
                Fault::Crash { sampler, at_ms } => sim.at(at_ms, Event::Crash(sampler)),
                Fault::LateOrder {
                    sampler,
                    at_ms,
                    fence,
                    version,
                } => {
                    let action = Action::LoadVersion(version);
                    sim.at(at_ms, Event::Order(sampler, Order { fence, action }));
                }
            }
        }
        sim.at(0, Event::Probe);
        Self {
            engines: vec![Engine::default(); places.len()],
            reports: Vec::new(),
            rollouts: vec![WeightsRollout::default(); body.holders.len()],
            places,
            body,
            sim,
            store_free_ms: 0,
            loads: 0,
            broken: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Turn(holder) => self.turn(holder),
            Event::Report(sampler) => self.report(sampler),
            Event::Reported(sampler, version, incarnation) => {
                self.on_report(sampler, version, incarnation);
            }
            Event::Order(sampler, order) => self.on_order(sampler, &order),
            Event::Loaded { sampler, load } => self.on_loaded(sampler, load),
            Event::Crash(sampler) => {
                let engine = &mut self.engines[sampler];
                *engine = Engine {
                    incarnation: engine.incarnation + 1,
                    ..Engine::default()
                };
            }
            Event::Probe => self.probe(),
        }
    }

    fn target(&self) -> Option<Target> {
        let now_ms = self.sim.now_ms;
        let mut due = self.body.targets.iter().copied();
        due.rfind(|target| target.at_ms <= now_ms)
    }

    fn turn(&mut self, index: usize) {
        let now_ms = self.sim.now_ms;
        let holder = self.body.holders[index];
        if now_ms >= holder.to_ms {
            return;
        }
        self.sim.at(now_ms + TURN_MS, Event::Turn(index));
        let Some(target) = self.target() else { return };
        let orders = self.rollouts[index].take_due_orders(
            now_ms,
            target.version,
            holder.fence,
            &self.reports,
        );
        for (name, order) in orders {
            let sampler = name.parse().expect("the name is a number");
            self.sim
                .send(self.body.network, &Event::Order(sampler, order));
        }
    }

    fn report(&mut self, sampler: usize) {
        let engine = &self.engines[sampler];
        let report = Event::Reported(sampler, engine.version, engine.incarnation);
        self.sim.send(self.body.network, &report);
        self.sim
            .at(self.sim.now_ms + REPORT_MS, Event::Report(sampler));
    }

    fn on_report(&mut self, sampler: usize, weights_version: u64, incarnation: u64) {
        let name: Name = format!("{sampler:05}").into();
        let report = Sampler {
            name: name.clone(),
            data_centre: self.places[sampler].clone(),
            weights_version,
            incarnation,
        };
        match self.reports.binary_search_by(|known| known.name.cmp(&name)) {
            Ok(index) => self.reports[index] = report,
            Err(index) => self.reports.insert(index, report),
        }
    }

    fn on_order(&mut self, sampler: usize, order: &Order) {
        let checks = self.body.checks_fence && guard::is_on(Guard::Fencing);
        let engine = &mut self.engines[sampler];
        if checks && order.fence < engine.fence {
            return;
        }
        if self.body.checks_fence && order.fence < engine.fence {
            let fence = engine.fence;
            self.broken
                .push(format!("{sampler} obeyed {} after {fence}", order.fence));
        }
        engine.fence = engine.fence.max(order.fence);
        let Action::LoadVersion(version) = order.action else {
            return;
        };
        let is_loading = engine.loading.is_some_and(|loading| loading.1 == version);
        if is_loading || engine.version == version {
            return;
        }
        self.loads += 1;
        let load = self.loads;
        let fails = self.sim.rng.random_ratio(self.body.failing_permille, 1_000);
        self.engines[sampler].loading = Some((load, version, fails));
        let now_us = self.sim.now_ms * 1_000;
        self.store_free_ms = self.store_free_ms.max(now_us) + 1_000_000 / self.body.loads_per_s;
        let at_ms = self.store_free_ms / 1_000 + self.body.load_ms;
        self.sim.at(at_ms, Event::Loaded { sampler, load });
    }

    fn on_loaded(&mut self, sampler: usize, number: u64) {
        let engine = &mut self.engines[sampler];
        if let Some((load, version, fails)) = engine.loading
            && load == number
        {
            engine.loading = None;
            if !fails {
                engine.version = version;
            }
        }
    }

    fn probe(&mut self) {
        let now_ms = self.sim.now_ms;
        self.sim.at(now_ms + TURN_MS, Event::Probe);
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for (place, engine) in self.places.iter().zip(&self.engines) {
            let (all, swapping) = counts.entry(place).or_default();
            *all += 1;
            *swapping += usize::from(engine.loading.is_some());
        }
        for (place, (all, swapping)) in counts {
            if all > 1 && swapping == all {
                self.broken
                    .push(format!("nobody serves in {place} at {now_ms} ms"));
            }
        }
        self.check_target(now_ms);
    }

    /// After a fault, the weights have to be right again as soon as after a new target.
    fn check_target(&mut self, now_ms: u64) {
        let Some(target) = self.target() else { return };
        let faults = self.body.faults.iter().map(|fault| match *fault {
            Fault::Crash { at_ms, .. } | Fault::LateOrder { at_ms, .. } => at_ms,
        });
        let since_ms = faults
            .filter(|at_ms| *at_ms <= now_ms)
            .fold(target.at_ms, u64::max);
        if now_ms < since_ms + EVERYWHERE_MS {
            return;
        }
        let behind = self.engines.iter();
        let behind = behind.filter(|engine| engine.version != target.version);
        let behind = behind.count();
        if behind > 0 {
            let version = target.version;
            self.broken
                .push(format!("{behind} samplers lack {version} at {now_ms} ms"));
        }
    }
}
