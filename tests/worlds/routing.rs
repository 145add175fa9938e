//! Daemons that choose endpoints by load reports, which all daemons receive at once.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::{
    core::{
        Name,
        config::{Document, EndpointSettings, Service},
        endpoint::EndpointTable,
        routing::{Request, choose},
    },
    wire::engine::Load,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Deserialize;
use serde_json::Value;

use crate::sim::Sim;

const SERVICE: &str = "demand-lm";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    daemons: usize,
    endpoints: usize,
    slots: u32,
    end_ms: u64,
    /// The mean time that a request runs, in milliseconds.
    run_ms: u64,
    requests_per_s: u64,
    report_ms: u64,
    /// When endpoint 0 restarts and loses its running requests.
    restarts_at_ms: Vec<u64>,
    /// How many of 1,000 requests between two reports one endpoint may receive at
    /// most.
    max_share_permille: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    RequestArrived,
    RunEnded {
        daemon: usize,
        endpoint: usize,
        incarnation: u64,
    },
    Report,
    Restart,
}

/// Plays the choice of endpoints and returns the violations of its promise.
///
/// An endpoint that receives too many requests between two reports breaks the
/// promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    if world.total_sent == 0 {
        world.violations.push("no request was sent".to_owned());
    }
    world.violations
}

struct World {
    body: Body,
    sim: Sim<Event>,
    tables: Vec<EndpointTable>,
    rngs: Vec<SmallRng>,
    names: Vec<Name>,
    running: Vec<u32>,
    incarnations: Vec<u64>,
    /// The number of requests sent to each endpoint since the last report.
    sent_since_report: BTreeMap<usize, u64>,
    total_sent: u64,
    violations: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let names: Vec<Name> = (0..body.endpoints)
            .map(|index| format!("sampler-{index}").into())
            .collect();
        let document = build_document(&names);
        let tables = (0..body.daemons).map(|_| {
            let mut table = EndpointTable::default();
            table.configure(&document);
            table
        });
        let rngs =
            (0..body.daemons as u64).map(|index| SmallRng::seed_from_u64(seed * 100 + index));
        let mut sim = Sim::new(seed);
        sim.schedule_at(0, Event::Report);
        sim.schedule_at(0, Event::RequestArrived);
        for at_ms in &body.restarts_at_ms {
            sim.schedule_at(*at_ms, Event::Restart);
        }
        Self {
            tables: tables.collect(),
            rngs: rngs.collect(),
            running: vec![0; body.endpoints],
            incarnations: vec![0; body.endpoints],
            names,
            body,
            sim,
            sent_since_report: BTreeMap::new(),
            total_sent: 0,
            violations: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived => self.on_request(),
            Event::RunEnded {
                daemon,
                endpoint,
                incarnation,
            } => {
                let now_ms = self.sim.now_ms;
                self.tables[daemon].on_end(now_ms, SERVICE, &self.names[endpoint], false);
                if self.incarnations[endpoint] == incarnation {
                    self.running[endpoint] -= 1;
                }
            }
            Event::Report => self.check_and_report(),
            Event::Restart => {
                self.running[0] = 0;
                self.incarnations[0] += 1;
            }
        }
    }

    fn on_request(&mut self) {
        let now_ms = self.sim.now_ms;
        let interval_ms = 1_000 / self.body.requests_per_s;
        self.sim
            .schedule_at(now_ms + interval_ms, Event::RequestArrived);
        let daemon = self.sim.rng.random_range(0..self.body.daemons);
        let request = Request {
            service: SERVICE,
            data_centre: "tarnow",
            max_in_flight_per_endpoint: 64,
            avoid: &BTreeSet::new(),
            affinity: None,
            min_weights_version: 0,
        };
        let chosen = choose(
            &self.tables[daemon],
            now_ms,
            &request,
            &mut self.rngs[daemon],
        );
        let Some(name) = chosen else {
            self.violations
                .push(format!("daemon {daemon} found no endpoint at {now_ms} ms"));
            return;
        };
        let endpoint = self.names.iter().position(|known| *known == name);
        let endpoint = endpoint.expect("the endpoint is known");
        self.tables[daemon].on_start(SERVICE, &name);
        self.running[endpoint] += 1;
        *self.sent_since_report.entry(endpoint).or_default() += 1;
        self.total_sent += 1;
        let run_ms = self.sim.rng.random_range(1..=2 * self.body.run_ms);
        let run_ended = Event::RunEnded {
            daemon,
            endpoint,
            incarnation: self.incarnations[endpoint],
        };
        self.sim.schedule_at(now_ms + run_ms, run_ended);
    }

    fn check_and_report(&mut self) {
        let now_ms = self.sim.now_ms;
        let sent: u64 = self.sent_since_report.values().sum();
        for (endpoint, count) in std::mem::take(&mut self.sent_since_report) {
            if count * 1_000 > sent * self.body.max_share_permille {
                let name = &self.names[endpoint];
                self.violations.push(format!(
                    "{name} received {count} of {sent} requests before {now_ms} ms"
                ));
            }
        }
        for table in &mut self.tables {
            for (name, running) in self.names.iter().zip(&self.running) {
                let load = Load {
                    running: *running,
                    slots: self.body.slots,
                    ..Load::default()
                };
                table.on_report(now_ms, SERVICE, name, Some(load));
            }
        }
        self.sim
            .schedule_at(now_ms + self.body.report_ms, Event::Report);
    }
}

fn build_document(names: &[Name]) -> Document {
    let settings = EndpointSettings {
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "tarnow".into(),
        checks_fence: true,
        leaving: false,
    };
    let endpoints = names.iter().map(|name| (name.clone(), settings.clone()));
    let service = Service {
        endpoints: endpoints.collect(),
        ..Service::default()
    };
    Document {
        services: [(SERVICE.into(), service.into())].into(),
        ..Document::default()
    }
}
