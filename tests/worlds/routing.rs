//! Daemons that choose endpoints by reports that all of them hold alike.

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
    /// How long a request runs in the mean.
    run_ms: u64,
    requests_per_s: u64,
    report_ms: u64,
    /// When an endpoint loses all it has, and is empty.
    restarts_at_ms: Vec<u64>,
    /// The most that one endpoint may get of all requests between two reports.
    max_share_permille: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Done {
        daemon: usize,
        endpoint: usize,
        epoch: u64,
    },
    Report,
    Restart,
}

/// Plays the choice of endpoints; one that gets too much at a time breaks the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    if world.sent_in_all == 0 {
        world.broken.push("nothing was sent".to_owned());
    }
    world.broken
}

struct World {
    body: Body,
    sim: Sim<Event>,
    tables: Vec<EndpointTable>,
    rngs: Vec<SmallRng>,
    names: Vec<Name>,
    running: Vec<u32>,
    epochs: Vec<u64>,
    sent: BTreeMap<usize, u64>,
    sent_in_all: u64,
    broken: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let names: Vec<Name> = (0..body.endpoints)
            .map(|index| format!("sampler-{index}").into())
            .collect();
        let document = document(&names);
        let tables = (0..body.daemons).map(|_| {
            let mut table = EndpointTable::default();
            table.configure(&document);
            table
        });
        let rngs =
            (0..body.daemons as u64).map(|index| SmallRng::seed_from_u64(seed * 100 + index));
        let mut sim = Sim::new(seed);
        sim.at(0, Event::Report);
        sim.at(0, Event::Arrive);
        for at_ms in &body.restarts_at_ms {
            sim.at(*at_ms, Event::Restart);
        }
        Self {
            tables: tables.collect(),
            rngs: rngs.collect(),
            running: vec![0; body.endpoints],
            epochs: vec![0; body.endpoints],
            names,
            body,
            sim,
            sent: BTreeMap::new(),
            sent_in_all: 0,
            broken: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Done {
                daemon,
                endpoint,
                epoch,
            } => {
                let now_ms = self.sim.now_ms;
                self.tables[daemon].on_end(now_ms, SERVICE, &self.names[endpoint], false);
                if self.epochs[endpoint] == epoch {
                    self.running[endpoint] -= 1;
                }
            }
            Event::Report => self.report(),
            Event::Restart => {
                self.running[0] = 0;
                self.epochs[0] += 1;
            }
        }
    }

    fn arrive(&mut self) {
        let now_ms = self.sim.now_ms;
        let wait_ms = 1_000 / self.body.requests_per_s;
        self.sim.at(now_ms + wait_ms, Event::Arrive);
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
            self.broken.push(format!("no endpoint at {now_ms} ms"));
            return;
        };
        let endpoint = self.names.iter().position(|known| *known == name);
        let endpoint = endpoint.expect("the endpoint is known");
        self.tables[daemon].on_start(SERVICE, &name);
        self.running[endpoint] += 1;
        *self.sent.entry(endpoint).or_default() += 1;
        self.sent_in_all += 1;
        let run_ms = self.sim.rng.random_range(1..=2 * self.body.run_ms);
        let done = Event::Done {
            daemon,
            endpoint,
            epoch: self.epochs[endpoint],
        };
        self.sim.at(now_ms + run_ms, done);
    }

    fn report(&mut self) {
        let now_ms = self.sim.now_ms;
        let sent: u64 = self.sent.values().sum();
        for (endpoint, count) in std::mem::take(&mut self.sent) {
            if count * 1_000 > sent * self.body.max_share_permille {
                let name = &self.names[endpoint];
                self.broken
                    .push(format!("{name} got {count} of {sent} before {now_ms} ms"));
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
        self.sim.at(now_ms + self.body.report_ms, Event::Report);
    }
}

fn document(names: &[Name]) -> Document {
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
