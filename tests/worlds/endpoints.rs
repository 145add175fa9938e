//! Daemons of several data centres that divide the endpoints of a service
//! among themselves.

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

/// The result of a poll that got no answer.
const NO_LOAD_REPORT: Option<chicoryreach::wire::engine::Load> = None;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    daemons_per_data_centre: usize,
    endpoints_per_data_centre: usize,
    data_centres: usize,
    /// The number of endpoints of the first data centre that do not answer.
    down: usize,
    /// The number of endpoints of the last data centre that the platform's
    /// list names as leaving.
    leaving: usize,
    /// The minimum and maximum number of endpoints that a daemon uses in its
    /// data centre.
    used: (usize, usize),
    /// The minimum and maximum number of daemons that use one endpoint.
    users: (usize, usize),
    /// The maximum number of polls that a daemon sends in ten seconds.
    max_polls_in_10_s: usize,
}

/// Runs the scenario and returns every violation: a daemon or endpoint with a
/// share out of bounds, work routed to an endpoint that does not serve, or too
/// many polls.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let document = build_document(&body, seed);
    let mut violations = Vec::new();
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
                data_centre: data_centre_name(data_centre),
                daemons: daemons.clone(),
            };
            table.set_placement(0, placement.clone());
            check_used_endpoints(&body, &table, data_centre, &mut users, &mut violations);
            apply_failures(&body, seed, &mut table);
            table.set_placement(1_000, placement);
            check_routing(&table, data_centre, seed, &mut violations);
            check_poll_budget(&body, &mut table, &mut violations);
        }
    }
    let (min_users, max_users) = body.users;
    violations.extend(
        users
            .iter()
            .filter(|(_, count)| !(min_users..=max_users).contains(count))
            .map(|(endpoint, count)| {
                format!(
                    "{endpoint} is used by {count} daemons, expected {min_users} to {max_users}"
                )
            }),
    );
    violations
}

fn data_centre_name(number: usize) -> Name {
    format!("dc-{number}").into()
}

fn endpoint_name(seed: u64, data_centre: usize, number: usize) -> Name {
    format!("sampler-{seed}-{data_centre}-{number}").into()
}

fn build_document(body: &Body, seed: u64) -> Document {
    let all = (0..body.data_centres).flat_map(|data_centre| {
        (0..body.endpoints_per_data_centre).map(move |number| (data_centre, number))
    });
    let endpoints = all.map(|(data_centre, number)| {
        let settings = EndpointSettings {
            address: "127.0.0.1:9".parse().expect("the address is valid"),
            data_centre: data_centre_name(data_centre),
            checks_fence: true,
            leaving: false,
        };
        (endpoint_name(seed, data_centre, number), settings)
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

fn check_used_endpoints(
    body: &Body,
    table: &EndpointTable,
    data_centre: usize,
    users: &mut BTreeMap<Name, usize>,
    violations: &mut Vec<String>,
) {
    let local: Vec<&Name> = table
        .of_service("demand-lm")
        .filter(|endpoint| endpoint.usage == Usage::Used)
        .filter(|endpoint| endpoint.settings.data_centre == data_centre_name(data_centre))
        .map(|endpoint| &endpoint.name)
        .collect();
    let (min_used, max_used) = body.used;
    if !(min_used..=max_used).contains(&local.len()) {
        violations.push(format!(
            "a daemon uses {} endpoints, expected {min_used} to {max_used}",
            local.len()
        ));
    }
    for name in local {
        *users.entry(name.clone()).or_default() += 1;
    }
}

/// Marks endpoints of the first data centre as down and endpoints of the last
/// one as leaving.
fn apply_failures(body: &Body, seed: u64, table: &mut EndpointTable) {
    for number in 0..body.down {
        table.on_report(
            500,
            "demand-lm",
            &endpoint_name(seed, 0, number),
            NO_LOAD_REPORT,
        );
    }
    let leaving =
        (0..body.leaving).map(|number| endpoint_name(seed, body.data_centres - 1, number));
    table.set_listed_leaving(leaving.collect());
}

fn check_routing(
    table: &EndpointTable,
    data_centre: usize,
    seed: u64,
    violations: &mut Vec<String>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let avoid = BTreeSet::new();
    let request = Request {
        service: "demand-lm",
        data_centre: &data_centre_name(data_centre),
        max_in_flight_per_endpoint: 8,
        avoid: &avoid,
        affinity: None,
        min_weights_version: 0,
    };
    for _ in 0..20 {
        let Some(chosen) = routing::choose(table, 1_000, &request, &mut rng) else {
            violations.push(format!("a daemon of dc-{data_centre} found no endpoint"));
            return;
        };
        let found = table.iter().find(|(_, endpoint)| endpoint.name == chosen);
        let state = found.map(|(_, endpoint)| endpoint.state(1_000));
        if state != Some(EndpointState::Serving) {
            violations.push(format!("{chosen} was chosen in state {state:?}"));
        }
    }
}

fn check_poll_budget(body: &Body, table: &mut EndpointTable, violations: &mut Vec<String>) {
    let polls: usize = (1_000..11_000)
        .step_by(100)
        .map(|now_ms| table.take_due_polls(now_ms).len())
        .sum();
    if polls > body.max_polls_in_10_s {
        violations.push(format!("a daemon sent {polls} polls in 10 s"));
    }
}
