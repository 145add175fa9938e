use std::collections::BTreeSet;

use rand::Rng;

use crate::core::{
    Name,
    endpoint::{Endpoint, EndpointState, EndpointTable},
    guard::{self, Guard},
};

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
}

/// Chooses an endpoint: the less loaded of two drawn at random, in this data
/// centre if it has room.
///
/// Drawing two keeps daemons that hold the same old report from all choosing
/// the same endpoint.
pub fn choose<R>(
    table: &EndpointTable,
    now_ms: u64,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<Name>
where
    R: Rng,
{
    let candidates: Vec<&Endpoint> = table
        .of_service(request.service)
        .filter(|endpoint| takes_work(endpoint, now_ms, request))
        .collect();
    let near: Vec<&Endpoint> = candidates
        .iter()
        .copied()
        .filter(|endpoint| &*endpoint.settings.data_centre == request.data_centre)
        .collect();
    let pool = if near.is_empty() { candidates } else { near };
    let draw = |rng: &mut R| pool.get(rng.random_range(0..pool.len().max(1))).copied();
    let (first, second) = (draw(rng)?, draw(rng)?);
    let better = if cost(second) < cost(first) {
        second
    } else {
        first
    };
    Some(better.name.clone())
}

fn takes_work(endpoint: &Endpoint, now_ms: u64, request: &Request<'_>) -> bool {
    let state = endpoint.state(now_ms);
    let is_leaving = state == EndpointState::Leaving && guard::is_on(Guard::EndpointLeaving);
    state != EndpointState::Down
        && !is_leaving
        && endpoint.in_flight < request.max_in_flight_per_endpoint
        && !request.avoid.contains(&endpoint.name)
}

fn cost(endpoint: &Endpoint) -> u32 {
    endpoint.in_flight + endpoint.load.queued
}
