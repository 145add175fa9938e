//! Daemons of several data centres that share out the endpoints of a service.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::core::{
    Name,
    config::{Document, EndpointSettings, Service, ServiceKind},
    endpoint::{EndpointState, EndpointTable, Placement, Usage},
    routing::{self, Request},
};
use rand::{SeedableRng, rngs::SmallRng};
use serde::Deserialize;
use serde_json::Value;

const LOAD_REPORT: Option<chicoryreach::wire::engine::Load> = None;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    daemons_per_data_centre: usize,
    endpoints_per_data_centre: usize,
    data_centres: usize,
    /// Endpoints of the first data centre that do not answer.
    down: usize,
    /// Endpoints that the platform's list says are leaving.
    leaving: usize,
    /// The fewest and the most endpoints of its data centre that a daemon uses.
    used: (usize, usize),
    /// The fewest and the most daemons that use one endpoint.
    users: (usize, usize),
    /// The most polls that a daemon sends in ten seconds.
    max_polls_in_10_s: usize,
}

/// Plays the sharing out; an endpoint without its share of daemons, or work
/// at an endpoint that takes none, breaks the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let document = document(&body, seed);
    let mut broken = Vec::new();
    let mut users: BTreeMap<Name, usize> = BTreeMap::new();
    for data_centre in 0..body.data_centres {
        let daemons: Vec<Name> = (0..body.daemons_per_data_centre)
            .map(|daemon| format!("vm-{seed}-{data_centre}-{daemon}").into())
            .collect();
        for me in &daemons {
            let mut table = EndpointTable::default();
            table.configure(&document);
            let placement = Placement {
                me: me.clone(),
                data_centre: centre(data_centre),
                daemons: daemons.clone(),
            };
            table.set_placement(0, placement.clone());
            check_share(&body, &table, data_centre, &mut users, &mut broken);
            fail(&body, seed, &mut table);
            table.set_placement(1_000, placement);
            check_work(&table, data_centre, seed, &mut broken);
            check_polls(&body, &mut table, &mut broken);
        }
    }
    let (fewest, most) = body.users;
    broken.extend(
        users
            .iter()
            .filter(|(_, count)| !(fewest..=most).contains(count))
            .map(|(endpoint, count)| format!("{endpoint} is used by {count} daemons")),
    );
    broken
}

fn centre(number: usize) -> Name {
    format!("dc-{number}").into()
}

fn endpoint(seed: u64, data_centre: usize, number: usize) -> Name {
    format!("sampler-{seed}-{data_centre}-{number}").into()
}

fn document(body: &Body, seed: u64) -> Document {
    let all = (0..body.data_centres).flat_map(|data_centre| {
        (0..body.endpoints_per_data_centre).map(move |number| (data_centre, number))
    });
    let endpoints = all.map(|(data_centre, number)| {
        let settings = EndpointSettings {
            address: "127.0.0.1:9".parse().expect("the address is valid"),
            data_centre: centre(data_centre),
            checks_fence: true,
            leaving: false,
        };
        (endpoint(seed, data_centre, number), settings)
    });
    let service = Service {
        kind: ServiceKind::Model,
        endpoints: endpoints.collect(),
        max_in_flight_per_endpoint: 8,
        ..Service::default()
    };
    Document {
        services: BTreeMap::from([("demand-lm".into(), service.into())]),
        ..Document::default()
    }
}

fn check_share(
    body: &Body,
    table: &EndpointTable,
    data_centre: usize,
    users: &mut BTreeMap<Name, usize>,
    broken: &mut Vec<String>,
) {
    let near: Vec<&Name> = table
        .of_service("demand-lm")
        .filter(|endpoint| endpoint.usage == Usage::Used)
        .filter(|endpoint| endpoint.settings.data_centre == centre(data_centre))
        .map(|endpoint| &endpoint.name)
        .collect();
    let (fewest, most) = body.used;
    if !(fewest..=most).contains(&near.len()) {
        broken.push(format!("a daemon uses {} endpoints", near.len()));
    }
    for name in near {
        *users.entry(name.clone()).or_default() += 1;
    }
}

/// Lets endpoints of the first data centre go down, and others be listed.
fn fail(body: &Body, seed: u64, table: &mut EndpointTable) {
    for number in 0..body.down {
        table.on_report(500, "demand-lm", &endpoint(seed, 0, number), LOAD_REPORT);
    }
    let leaving = (0..body.leaving).map(|number| endpoint(seed, body.data_centres - 1, number));
    table.set_listed_leaving(leaving.collect());
}

fn check_work(table: &EndpointTable, data_centre: usize, seed: u64, broken: &mut Vec<String>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let avoid = BTreeSet::new();
    let request = Request {
        service: "demand-lm",
        data_centre: &centre(data_centre),
        max_in_flight_per_endpoint: 8,
        avoid: &avoid,
        affinity: None,
        min_weights_version: 0,
    };
    for _ in 0..20 {
        let Some(chosen) = routing::choose(table, 1_000, &request, &mut rng) else {
            broken.push(format!("dc-{data_centre} found no endpoint"));
            return;
        };
        let found = table.iter().find(|(_, endpoint)| endpoint.name == chosen);
        let state = found.map(|(_, endpoint)| endpoint.state(1_000));
        if state != Some(EndpointState::Serving) {
            broken.push(format!("{chosen} got work as {state:?}"));
        }
    }
}

fn check_polls(body: &Body, table: &mut EndpointTable, broken: &mut Vec<String>) {
    let polls: usize = (1_000..11_000)
        .step_by(100)
        .map(|now_ms| table.take_due_polls(now_ms).len())
        .sum();
    if polls > body.max_polls_in_10_s {
        broken.push(format!("{polls} polls in 10 s"));
    }
}
