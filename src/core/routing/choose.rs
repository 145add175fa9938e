use std::collections::BTreeSet;

use rand::Rng;

use crate::core::{
    Name,
    endpoint::{Endpoint, EndpointState, EndpointTable, Usage},
    guard::{self, Guard},
    rendezvous,
};

/// The factor by which an endpoint of the own data centre may cost more than a
/// remote one before work is sent to the remote one.
const SPILL_COST_FACTOR: f64 = 1.2;
/// The factor by which the endpoint preferred for a prefix may cost more than
/// the one that would be chosen otherwise.
const AFFINITY_COST_FACTOR: f64 = 1.1;
/// The percentage of an endpoint's slots that background work may use.
///
/// Any remaining slots are left to callers, which would otherwise wait for a slot.
const BACKGROUND_SLOTS_PERCENT: u32 = 100;

/// The properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre of this daemon.
    pub data_centre: &'a str,
    /// The maximum number of requests that this daemon runs at one endpoint.
    pub max_in_flight_per_endpoint: u32,
    /// The endpoints to exclude, such as those that already failed this request.
    pub avoid: &'a BTreeSet<Name>,
    /// The key that requests with the same prefix share, if the request has one.
    pub affinity: Option<&'a str>,
    /// The oldest acceptable weights version; 0 accepts any.
    pub min_weights_version: u64,
}

/// Returns the endpoint to which a request is sent, or `None` if no endpoint
/// takes it.
///
/// The endpoint is the cheaper of two drawn at random from the own data centre.
/// Work is sent to another data centre if no endpoint of the own one takes it,
/// or if the one drawn there is much cheaper. Drawing two at random prevents
/// daemons with the same outdated load reports from all choosing the same
/// endpoint.
///
/// Requests that share a prefix are sent to the same endpoint, unless it is much
/// more expensive than the one drawn.
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
        // If no endpoint is healthy, trying one is better than refusing the
        // request.
        pool = serving().collect();
    }
    let typical_unit_ms = mean_unit_ms(&pool);
    let cost = |endpoint: &Endpoint| cost(endpoint, now_ms, typical_unit_ms);
    let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = pool
        .iter()
        .partition(|endpoint| &*endpoint.settings.data_centre == request.data_centre);
    // The load of a spare is not known precisely enough for a comparison.
    let is_far_much_cheaper = |near: &Endpoint, far: &Endpoint| {
        far.usage == Usage::Used && cost(near) > SPILL_COST_FACTOR * cost(far)
    };
    let best_near = cheaper_of_two(&near, cost, rng);
    let best_far = cheaper_of_two(&far, cost, rng);
    let drawn = match (best_near, best_far) {
        (Some(near), Some(far)) if is_far_much_cheaper(near, far) => far,
        (Some(near), _) => near,
        (None, far) => far?,
    };
    let candidates = if near.is_empty() { &far } else { &near };
    let with_affinity = request
        .affinity
        .and_then(|key| affinity_endpoint(candidates, key));
    let chosen = match with_affinity {
        Some(endpoint) if cost(endpoint) <= AFFINITY_COST_FACTOR * cost(drawn) => endpoint,
        _ => drawn,
    };
    Some(chosen.name.clone())
}

/// Returns the number of free slots at the endpoints of a service that have this
/// weights version or a later one.
///
/// Only endpoints that this daemon uses, and that are serving and healthy, are
/// counted.
///
/// Background work beyond this number would be queued at an endpoint and could
/// then no longer be sent to the endpoint that is free first.
#[must_use]
pub fn free_slots(
    table: &EndpointTable,
    now_ms: u64,
    service: &str,
    min_weights_version: u64,
) -> u32 {
    let free = |endpoint: &Endpoint| {
        let background_slots = endpoint.load.slots * BACKGROUND_SLOTS_PERCENT / 100;
        background_slots.saturating_sub(endpoint.backlog(now_ms))
    };
    let serving = table
        .of_service(service)
        .filter(|endpoint| endpoint.usage == Usage::Used)
        .filter(|endpoint| endpoint.state(now_ms) == EndpointState::Serving)
        .filter(|endpoint| endpoint.load.weights_version >= min_weights_version);
    let healthy = serving.filter(|endpoint| endpoint.health.takes_work(now_ms, endpoint.in_flight));
    healthy.map(free).sum()
}

/// Returns the median time per unit of work of a service's endpoints.
///
/// Only endpoints at which this daemon has measured it are counted; `None` if
/// there are none.
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

/// Returns the endpoint that is preferred for an affinity key.
fn affinity_endpoint<'a>(pool: &[&'a Endpoint], key: &str) -> Option<&'a Endpoint> {
    let weight = |endpoint: &&&Endpoint| rendezvous::weight(&endpoint.name, key);
    pool.iter().max_by_key(weight).copied()
}

/// Returns the mean time per unit of work, which is assumed for endpoints
/// without a measurement, or 1 ms if none was measured.
fn mean_unit_ms(pool: &[&Endpoint]) -> f64 {
    let known = pool.iter().filter_map(|endpoint| endpoint.health.unit_ms());
    let (sum_ms, count) = known.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
    if count > 0.0 { sum_ms / count } else { 1.0 }
}

/// Returns the expected time per unit of work, including waiting and failures.
fn cost(endpoint: &Endpoint, now_ms: u64, typical_unit_ms: f64) -> f64 {
    let unit_ms = endpoint.health.expected_unit_ms(now_ms, typical_unit_ms);
    let slots = f64::from(endpoint.load.slots.max(1));
    let occupancy = f64::from(endpoint.backlog(now_ms)) / slots;
    unit_ms * (1.0 + occupancy) * endpoint.health.expected_tries(now_ms)
}
