//! Samplers that load weights from a store of limited rate, and lease holders that
//! order them to.

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

/// The interval at which holders send orders and the promise is checked.
const TICK_INTERVAL_MS: u64 = 250;
/// The interval at which a sampler reports its weights.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// How long after a new target or a fault every sampler must have its weights.
const ROLLOUT_TIMEOUT_MS: u64 = 26_000;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// The number of samplers in each data centre.
    data_centres: Vec<usize>,
    /// Whether samplers reject orders with an outdated fencing number.
    checks_fence: bool,
    end_ms: u64,
    network: Network,
    /// How long a load takes after the weight store has admitted it.
    load_ms: u64,
    /// The number of loads that the weight store admits per second.
    loads_per_s: u64,
    /// How many of 1,000 loads fail before the sampler swaps its weights.
    failing_permille: u32,
    /// The consecutive lease holders.
    holders: Vec<Holder>,
    targets: Vec<Target>,
    faults: Vec<Fault>,
}

/// A lease holder, its fencing number and the time for which it sends orders.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Holder {
    fence: u64,
    from_ms: u64,
    to_ms: u64,
}

/// The version that samplers must have from a time on.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Target {
    at_ms: u64,
    version: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Fault {
    /// A sampler restarts with its initial weights.
    Crash { sampler: usize, at_ms: u64 },
    /// A delayed order of an earlier holder arrives.
    LateOrder {
        sampler: usize,
        at_ms: u64,
        fence: u64,
        version: u64,
    },
}

#[derive(Clone, Debug)]
enum Event {
    SendOrders(usize),
    SendReport(usize),
    ReportArrived(usize, u64, u64),
    OrderArrived(usize, Order),
    Loaded { sampler: usize, load: u64 },
    Crash(usize),
    Check,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    version: u64,
    incarnation: u64,
    fence: u64,
    /// The number and the version of the running load, and whether it will fail.
    loading: Option<(u64, u64, bool)>,
}

/// Plays a rollout of weights and returns the violations of its promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.violations
}

struct World {
    body: Body,
    sim: Sim<Event>,
    engines: Vec<Engine>,
    /// The data centre of each sampler.
    sampler_data_centres: Vec<Name>,
    /// The last report of each sampler, ordered by name; all holders share these.
    reports: Vec<Sampler>,
    rollouts: Vec<WeightsRollout>,
    /// When the weight store can admit the next load, in microseconds.
    store_free_us: u64,
    loads: u64,
    violations: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        let counts = body.data_centres.iter().enumerate();
        let sampler_data_centres: Vec<Name> = counts
            .flat_map(|(index, count)| std::iter::repeat_n(format!("dc-{index}").into(), *count))
            .collect();
        for sampler in 0..sampler_data_centres.len() {
            let at_ms = sim.rng.random_range(0..REPORT_INTERVAL_MS);
            sim.schedule_at(at_ms, Event::SendReport(sampler));
        }
        for (index, holder) in body.holders.iter().enumerate() {
            sim.schedule_at(holder.from_ms, Event::SendOrders(index));
        }
        for fault in &body.faults {
            match *fault {
                Fault::Crash { sampler, at_ms } => sim.schedule_at(at_ms, Event::Crash(sampler)),
                Fault::LateOrder {
                    sampler,
                    at_ms,
                    fence,
                    version,
                } => {
                    let action = Action::LoadVersion(version);
                    sim.schedule_at(at_ms, Event::OrderArrived(sampler, Order { fence, action }));
                }
            }
        }
        sim.schedule_at(0, Event::Check);
        Self {
            engines: vec![Engine::default(); sampler_data_centres.len()],
            reports: Vec::new(),
            rollouts: vec![WeightsRollout::default(); body.holders.len()],
            sampler_data_centres,
            body,
            sim,
            store_free_us: 0,
            loads: 0,
            violations: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendOrders(holder) => self.send_orders(holder),
            Event::SendReport(sampler) => self.send_report(sampler),
            Event::ReportArrived(sampler, version, incarnation) => {
                self.on_report(sampler, version, incarnation);
            }
            Event::OrderArrived(sampler, order) => self.on_order(sampler, &order),
            Event::Loaded { sampler, load } => self.on_loaded(sampler, load),
            Event::Crash(sampler) => {
                let engine = &mut self.engines[sampler];
                *engine = Engine {
                    incarnation: engine.incarnation + 1,
                    ..Engine::default()
                };
            }
            Event::Check => self.check(),
        }
    }

    fn current_target(&self) -> Option<Target> {
        let now_ms = self.sim.now_ms;
        let mut targets = self.body.targets.iter().copied();
        targets.rfind(|target| target.at_ms <= now_ms)
    }

    fn send_orders(&mut self, index: usize) {
        let now_ms = self.sim.now_ms;
        let holder = self.body.holders[index];
        if now_ms >= holder.to_ms {
            return;
        }
        self.sim
            .schedule_at(now_ms + TICK_INTERVAL_MS, Event::SendOrders(index));
        let Some(target) = self.current_target() else {
            return;
        };
        let orders = self.rollouts[index].take_due_orders(
            now_ms,
            target.version,
            holder.fence,
            &self.reports,
        );
        for (name, order) in orders {
            let sampler = name.parse().expect("the name is a number");
            self.sim
                .send(self.body.network, &Event::OrderArrived(sampler, order));
        }
    }

    fn send_report(&mut self, sampler: usize) {
        let engine = &self.engines[sampler];
        let report = Event::ReportArrived(sampler, engine.version, engine.incarnation);
        self.sim.send(self.body.network, &report);
        self.sim.schedule_at(
            self.sim.now_ms + REPORT_INTERVAL_MS,
            Event::SendReport(sampler),
        );
    }

    fn on_report(&mut self, sampler: usize, weights_version: u64, incarnation: u64) {
        let name: Name = format!("{sampler:05}").into();
        let report = Sampler {
            name: name.clone(),
            data_centre: self.sampler_data_centres[sampler].clone(),
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
            self.violations.push(format!(
                "sampler {sampler} followed an order with fencing number {} after {fence}",
                order.fence
            ));
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
        self.store_free_us = self.store_free_us.max(now_us) + 1_000_000 / self.body.loads_per_s;
        let at_ms = self.store_free_us / 1_000 + self.body.load_ms;
        self.sim.schedule_at(at_ms, Event::Loaded { sampler, load });
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

    fn check(&mut self) {
        let now_ms = self.sim.now_ms;
        self.sim
            .schedule_at(now_ms + TICK_INTERVAL_MS, Event::Check);
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for (data_centre, engine) in self.sampler_data_centres.iter().zip(&self.engines) {
            let (all, loading) = counts.entry(data_centre).or_default();
            *all += 1;
            *loading += usize::from(engine.loading.is_some());
        }
        for (data_centre, (all, loading)) in counts {
            if all > 1 && loading == all {
                self.violations.push(format!(
                    "all {all} samplers in {data_centre} are loading weights at {now_ms} ms"
                ));
            }
        }
        self.check_target(now_ms);
    }

    /// Checks that every sampler has the target weights in time after the last
    /// change of the target or fault.
    fn check_target(&mut self, now_ms: u64) {
        let Some(target) = self.current_target() else {
            return;
        };
        let faults = self.body.faults.iter().map(|fault| match *fault {
            Fault::Crash { at_ms, .. } | Fault::LateOrder { at_ms, .. } => at_ms,
        });
        let since_ms = faults
            .filter(|at_ms| *at_ms <= now_ms)
            .fold(target.at_ms, u64::max);
        if now_ms < since_ms + ROLLOUT_TIMEOUT_MS {
            return;
        }
        let outdated = self.engines.iter();
        let outdated = outdated.filter(|engine| engine.version != target.version);
        let outdated = outdated.count();
        if outdated > 0 {
            let version = target.version;
            self.violations.push(format!(
                "{outdated} samplers do not have weights version {version} at {now_ms} ms"
            ));
        }
    }
}
