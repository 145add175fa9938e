use std::collections::BTreeSet;

use rand::Rng;

use crate::core::{
    Name,
    endpoint::{Endpoint, EndpointState, EndpointTable, Usage},
    guard::{self, Guard},
    rendezvous,
};

/// How much worse the own data centre may be before work leaves it.
const SPILL_FACTOR: f64 = 1.2;
/// How much worse the endpoint with the cached prefix may be.
const AFFINITY_FACTOR: f64 = 1.1;
/// How much of an endpoint's slots background work may take, in hundredths.
///
/// What is left is for callers, who would wait for a slot otherwise.
const BACKGROUND_PERCENT: u32 = 100;

/// What routing needs to know of a request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre of this daemon.
    pub data_centre: &'a str,
    /// The most requests of this daemon at one endpoint.
    pub max_in_flight_per_endpoint: u32,
    /// Endpoints that failed this request before.
    pub avoid: &'a BTreeSet<Name>,
    /// What requests with the same prefix have in common, if anything.
    pub affinity: Option<&'a str>,
    /// The oldest weights version that will do; 0 where any does.
    pub min_weights_version: u64,
}

/// Chooses an endpoint: the own data centre first, and there the cheaper of
/// two drawn at random.
///
/// Work leaves the data centre when no endpoint there takes it or when those
/// elsewhere are much cheaper. Drawing two keeps daemons that hold the same
/// old report from all choosing the same endpoint. A request with a prefix in
/// common with others goes where they go, unless that is much dearer.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
///
/// use chicoryreach::core::{
///     endpoint::EndpointTable,
///     routing::{Request, choose},
/// };
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let request = Request {
///     service: "demand-lm",
///     data_centre: "tarnow",
///     max_in_flight_per_endpoint: 8,
///     avoid: &BTreeSet::new(),
///     affinity: None,
///     min_weights_version: 0,
/// };
/// let mut rng = SmallRng::seed_from_u64(1);
/// assert_eq!(choose(&EndpointTable::default(), 0, &request, &mut rng), None);
/// ```
pub fn choose<R>(
    table: &EndpointTable,
    now_ms: u64,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<Name>
where
    R: Rng,
{
    let serving = || {
        table
            .of_service(request.service)
            .filter(|endpoint| takes_work(endpoint, now_ms, request))
    };
    let is_healthy = |endpoint: &&Endpoint| endpoint.health.takes_work(now_ms, endpoint.in_flight);
    let mut pool: Vec<&Endpoint> = serving().filter(is_healthy).collect();
    if pool.is_empty() {
        // Where all have failed, trying one is better than refusing.
        pool = serving().collect();
    }
    let typical_ms = mean_unit_ms(&pool);
    let cost = |endpoint: &Endpoint| cost(endpoint, now_ms, typical_ms);
    let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = pool
        .iter()
        .partition(|endpoint| &*endpoint.settings.data_centre == request.data_centre);
    // The load of a spare is not known well enough to compare.
    let is_much_dearer = |near: &Endpoint, far: &Endpoint| {
        far.usage == Usage::Used && cost(near) > SPILL_FACTOR * cost(far)
    };
    let best_near = cheaper_of_two(&near, cost, rng);
    let best_far = cheaper_of_two(&far, cost, rng);
    let drawn = match (best_near, best_far) {
        (Some(near), Some(far)) if is_much_dearer(near, far) => far,
        (Some(near), _) => near,
        (None, far) => far?,
    };
    let home = if near.is_empty() { &far } else { &near };
    let with_prefix = request.affinity.and_then(|key| preferred(home, key));
    let chosen = match with_prefix {
        Some(endpoint) if cost(endpoint) <= AFFINITY_FACTOR * cost(drawn) => endpoint,
        _ => drawn,
    };
    Some(chosen.name.clone())
}

/// Returns how many more requests the endpoints of a service can start soon
/// that have this weights version or a later one.
///
/// Background work that is started beyond this would only wait at an endpoint,
/// where it can no longer go to the one that is free first.
#[must_use]
pub fn free_slots(
    table: &EndpointTable,
    now_ms: u64,
    service: &str,
    min_weights_version: u64,
) -> u32 {
    let free = |endpoint: &Endpoint| {
        let room = endpoint.load.slots * BACKGROUND_PERCENT / 100;
        room.saturating_sub(endpoint.backlog(now_ms))
    };
    let serving = table
        .of_service(service)
        .filter(|endpoint| endpoint.usage == Usage::Used)
        .filter(|endpoint| endpoint.state(now_ms) == EndpointState::Serving)
        .filter(|endpoint| endpoint.load.weights_version >= min_weights_version);
    let healthy = serving.filter(|endpoint| endpoint.health.takes_work(now_ms, endpoint.in_flight));
    healthy.map(free).sum()
}

/// Returns how long a unit of work takes at half of a service's endpoints, as
/// far as this daemon has used them.
#[must_use]
pub fn median_unit_ms(table: &EndpointTable, service: &str) -> Option<f64> {
    let endpoints = table.of_service(service);
    let mut known: Vec<f64> = endpoints
        .filter_map(|endpoint| endpoint.health.unit_ms())
        .collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied()
}

fn takes_work(endpoint: &Endpoint, now_ms: u64, request: &Request<'_>) -> bool {
    let state = endpoint.state(now_ms);
    let is_leaving = state == EndpointState::Leaving && guard::is_on(Guard::EndpointLeaving);
    endpoint.usage > Usage::Watched
        && state != EndpointState::Down
        && !is_leaving
        && endpoint.load.weights_version >= request.min_weights_version
        && endpoint.in_flight < request.max_in_flight_per_endpoint
        && !request.avoid.contains(&endpoint.name)
}

fn cheaper_of_two<'a, C, R>(pool: &[&'a Endpoint], cost: C, rng: &mut R) -> Option<&'a Endpoint>
where
    C: Fn(&Endpoint) -> f64,
    R: Rng,
{
    if pool.is_empty() {
        return None;
    }
    if !guard::is_on(Guard::TwoChoices) {
        let by_cost = |a: &&&Endpoint, b: &&&Endpoint| cost(a).total_cmp(&cost(b));
        return pool.iter().min_by(by_cost).copied();
    }
    let first = rng.random_range(0..pool.len());
    if pool.len() == 1 {
        return Some(pool[first]);
    }
    let second = (first + rng.random_range(1..pool.len())) % pool.len();
    let (first, second) = (pool[first], pool[second]);
    let is_second_cheaper = cost(second) < cost(first);
    Some(if is_second_cheaper { second } else { first })
}

fn preferred<'a>(pool: &[&'a Endpoint], key: &str) -> Option<&'a Endpoint> {
    let weight = |endpoint: &&&Endpoint| rendezvous::weight(&endpoint.name, key);
    pool.iter().max_by_key(weight).copied()
}

/// What an endpoint is taken for of which nothing is known yet.
fn mean_unit_ms(pool: &[&Endpoint]) -> f64 {
    let known = pool.iter().filter_map(|endpoint| endpoint.health.unit_ms());
    let (sum_ms, count) = known.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
    if count > 0.0 { sum_ms / count } else { 1.0 }
}

/// How long a unit of work is expected to take, waiting and failures included.
fn cost(endpoint: &Endpoint, now_ms: u64, typical_ms: f64) -> f64 {
    let unit_ms = endpoint.health.expected_unit_ms(now_ms, typical_ms);
    let slots = f64::from(endpoint.load.slots.max(1));
    let occupancy = f64::from(endpoint.backlog(now_ms)) / slots;
    unit_ms * (1.0 + occupancy) * endpoint.health.expected_tries(now_ms)
}
