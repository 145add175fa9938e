use std::{collections::BTreeSet, net::SocketAddr};

use rand::Rng;

use super::{EndpointSlice, EndpointStage, Pool, PoolEndpoint};
use crate::core::Name;

/// Among how many drawn endpoints the cheapest is chosen: enough to find an
/// idle one, too few for all VMs to choose the same one.
const DRAWN: usize = 6;
/// What work in another data centre costs, in shares of an endpoint's slots.
const FAR_COST: f64 = 0.08;
/// What an endpoint costs at which a run waits to begin, in shares of its slots.
const STALLED_COST: f64 = 1.0;
/// What a new connection costs, in shares of an endpoint's slots: a round trip,
/// and a slot for a moment.
const CONNECT_COST: f64 = 0.3;
/// What an endpoint of another slice costs, in shares of its slots: those whose
/// slice it is fill it too, and their requests are not known here.
const FOREIGN_COST: f64 = 0.5;
/// How much a difference of pace is trusted at the most: one slow answer may
/// be a long request.
const MAX_PACE_FACTOR: f64 = 8.0;

/// How many times slower than elsewhere a run has to be to be moved.
const WORTH_MOVING_FACTOR: f64 = 1.5;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRequirements<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre of this VM.
    pub data_centre: &'a str,
    /// Endpoints that failed this request before.
    pub avoid: &'a BTreeSet<Name>,
    /// The model and the oldest weights version that will do.
    pub weights: Option<(&'a str, u64)>,
    /// How many requests an endpoint may have, in shares of its slots.
    pub max_occupancy: f64,
    /// Where an idle connection is ready.
    pub connected: &'a BTreeSet<SocketAddr>,
    /// Which endpoints are this request's rather than those of others.
    pub slice: Option<EndpointSlice>,
}

impl Pool {
    /// Chooses the endpoint that is expected to answer first.
    ///
    /// Endpoints that failed lately are chosen only where no other is left.
    pub fn choose<R>(
        &self,
        now_ms: u64,
        wanted: &EndpointRequirements<'_>,
        rng: &mut R,
    ) -> Option<Name>
    where
        R: Rng,
    {
        let usable: Vec<&PoolEndpoint> = self
            .of_service(wanted.service)
            .filter(|endpoint| is_usable(endpoint, now_ms, wanted))
            .collect();
        let is_calm = |endpoint: &&&PoolEndpoint| endpoint.penalty_until_ms <= now_ms;
        let calm: Vec<&PoolEndpoint> = usable.iter().filter(is_calm).copied().collect();
        let from = if calm.is_empty() { usable } else { calm };
        let typical_ms = typical_pace_ms(&from);
        let cost = |endpoint: &PoolEndpoint| cost(endpoint, now_ms, wanted, typical_ms);
        // Slices differ from VM to VM, so that all may look at all endpoints.
        let count = if wanted.slice.is_some() {
            from.len()
        } else {
            DRAWN
        };
        let drawn = rand::seq::index::sample(rng, from.len(), from.len().min(count));
        let drawn = drawn.iter().map(|index| from[index]);
        let connected = from.iter().copied();
        let connected = connected.filter(|e| wanted.connected.contains(&e.record.address));
        let cheapest = drawn
            .chain(connected)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(cheapest.record.id.clone())
    }

    /// Returns the usual pace of a service's endpoints.
    #[must_use]
    pub fn typical_pace_ms(&self, service: &str) -> Option<f64> {
        let endpoints: Vec<&PoolEndpoint> = self.of_service(service).collect();
        typical_pace_ms(&endpoints)
    }

    /// Returns whether a run would soon do better at another endpoint: one
    /// with room that is neither failing nor about as slow.
    pub fn has_better_endpoint<R>(
        &self,
        now_ms: u64,
        wanted: &EndpointRequirements<'_>,
        run_event_ms: Option<f64>,
        rng: &mut R,
    ) -> bool
    where
        R: Rng,
    {
        let chosen = self.choose(now_ms, wanted, rng);
        let Some(endpoint) = chosen.and_then(|id| self.get(&id)) else {
            return false;
        };
        let is_faster = match (endpoint.pace_ms, run_event_ms) {
            (Some(pace), Some(run)) => run > pace * WORTH_MOVING_FACTOR,
            _ => true,
        };
        is_faster && endpoint.penalty_until_ms <= now_ms
    }

    /// Returns whether any endpoint of a service takes work.
    #[must_use]
    pub fn has_ready_endpoint(&self, service: &str) -> bool {
        self.of_service(service)
            .any(|endpoint| endpoint.record.stage == EndpointStage::Ready)
    }
}

fn is_usable(endpoint: &PoolEndpoint, now_ms: u64, wanted: &EndpointRequirements<'_>) -> bool {
    let has_weights = wanted
        .weights
        .is_none_or(|(model, least)| endpoint.weights_version(model) >= least);
    endpoint.record.stage == EndpointStage::Ready
        && has_weights
        && occupancy(endpoint, now_ms) < wanted.max_occupancy
        && !wanted.avoid.contains(&endpoint.record.id)
}

fn occupancy(endpoint: &PoolEndpoint, now_ms: u64) -> f64 {
    f64::from(endpoint.load.total(now_ms)) / f64::from(endpoint.record.slots.max(1))
}

/// How long half of the endpoints take for a unit of work.
fn typical_pace_ms(endpoints: &[&PoolEndpoint]) -> Option<f64> {
    let mut known: Vec<f64> = endpoints.iter().filter_map(|e| e.pace_ms).collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied()
}

fn cost(
    endpoint: &PoolEndpoint,
    now_ms: u64,
    wanted: &EndpointRequirements<'_>,
    typical_ms: Option<f64>,
) -> f64 {
    let record = &endpoint.record;
    let is_far = &*record.data_centre != wanted.data_centre;
    let is_connected = wanted.connected.contains(&record.address);
    let is_foreign = wanted
        .slice
        .is_some_and(|slice| !slice.contains(&record.id));
    let factor = match (endpoint.pace_ms, typical_ms) {
        (Some(pace), Some(typical)) if typical > 0.0 => {
            (pace / typical).clamp(1.0 / MAX_PACE_FACTOR, MAX_PACE_FACTOR)
        }
        _ => 1.0,
    };
    let far = if is_far { FAR_COST } else { 0.0 };
    let is_stalled = endpoint.stalled_until_ms > now_ms;
    let stalled = if is_stalled { STALLED_COST } else { 0.0 };
    let connect = if is_connected { 0.0 } else { CONNECT_COST };
    let foreign = if is_foreign { FOREIGN_COST } else { 0.0 };
    factor * (1.0 + occupancy(endpoint, now_ms)) + far + stalled + connect + foreign
}
