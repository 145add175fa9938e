use std::{collections::BTreeSet, net::SocketAddr};

use rand::Rng;

use super::{
    EndpointSlice, EndpointStage, Pool, PoolEndpoint,
    completion::{Typical, expected_completion, typical_pace},
};
use crate::core::{Name, rate_limit::Purpose, streams::StreamOrigin};

/// The number of randomly drawn endpoints of which the cheapest is chosen:
/// enough to find an idle one, too few for all VMs to choose the same one.
const DRAWN_ENDPOINTS: usize = 6;
/// The cost of an endpoint in another data centre, in times of a typical request, as all
/// costs here are.
const OTHER_DATA_CENTRE_COST: f64 = 0.08;
/// The cost of an endpoint at which a run waits to start.
const STALLED_COST: f64 = 1.0;
/// The cost of a new connection: it takes a round trip and briefly occupies a slot.
const NEW_CONNECTION_COST: f64 = 0.3;
/// The cost of an endpoint of another slice: the VMs that own the slice send requests
/// there too, which are not known here.
const OTHER_SLICE_COST: f64 = 0.5;
/// The cost of an endpoint that has named a request limit: its requests are left to those
/// that find no other endpoint.
const LIMITED_COST: f64 = 0.5;
/// The cost of an endpoint to which requests go through another VM.
const RELAY_COST: f64 = 0.5;

/// A run is moved only if it is more than this many times slower than the other
/// endpoint.
const MIN_MOVE_SPEEDUP: f64 = 1.5;

/// What a request requires of an endpoint, and what it prefers.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRequirements<'a> {
    /// The service that the endpoint belongs to.
    pub service: &'a str,
    /// The data centre of this VM.
    pub data_centre: &'a str,
    /// The endpoints to exclude, such as those that failed this request before.
    pub avoid: &'a BTreeSet<Name>,
    /// The model and the oldest weights version that is accepted.
    pub weights: Option<(&'a str, u64)>,
    /// The version of the software that is required, if a stream goes on.
    pub software: Option<&'a str>,
    /// The occupancy below which an endpoint is usable: its requests in shares
    /// of its slots.
    pub max_occupancy: f64,
    /// The addresses to which an idle connection is open.
    pub connected: &'a BTreeSet<SocketAddr>,
    /// What the request is for: an endpoint that has named a request limit gets no
    /// hedged requests.
    pub purpose: Purpose,
    /// How likely the request is among the longest of its kind, from 0 to 1: a slow
    /// endpoint prolongs a long request most.
    pub length_weight: f64,
    /// The slice of endpoints to prefer; `None` if the request has none.
    pub slice: Option<EndpointSlice>,
}

impl Pool {
    /// Returns the usable endpoint at which the request is expected to be complete first.
    ///
    /// Endpoints that failed recently are chosen only if no other is usable. With
    /// a slice, all endpoints are compared; without one, some drawn at random and
    /// those with an idle connection.
    pub fn choose<R>(
        &self,
        now_ms: u64,
        requirements: &EndpointRequirements<'_>,
        rng: &mut R,
    ) -> Option<Name>
    where
        R: Rng,
    {
        let usable: Vec<&PoolEndpoint> = self
            .of_service(requirements.service)
            .filter(|endpoint| is_usable(endpoint, now_ms, requirements))
            .collect();
        let is_unpenalized = |endpoint: &&&PoolEndpoint| endpoint.penalty_until_ms <= now_ms;
        let unpenalized: Vec<&PoolEndpoint> =
            usable.iter().filter(is_unpenalized).copied().collect();
        let candidates = if unpenalized.is_empty() {
            usable
        } else {
            unpenalized
        };
        let typical = Typical::of(&candidates, now_ms);
        let cost = |endpoint: &PoolEndpoint| {
            let is_cut = self.paths().is_cut(now_ms, &endpoint.record);
            let relay_cost = if is_cut { RELAY_COST } else { 0.0 };
            cost(endpoint, now_ms, requirements, &typical) + relay_cost
        };
        // Slices differ between VMs, so comparing all endpoints does not make all
        // VMs choose the same one.
        let draw_count = if requirements.slice.is_some() {
            candidates.len()
        } else {
            DRAWN_ENDPOINTS
        };
        let drawn =
            rand::seq::index::sample(rng, candidates.len(), candidates.len().min(draw_count));
        let drawn = drawn.iter().map(|index| candidates[index]);
        let connected = candidates.iter().copied();
        let connected = connected.filter(|e| requirements.connected.contains(&e.record.address));
        let cheapest = drawn
            .chain(connected)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(cheapest.record.id.clone())
    }

    /// Returns the median pace of a service's endpoints, in the unit of
    /// [`PoolEndpoint::pace`], or `None` if no pace is known.
    #[must_use]
    pub fn typical_pace(&self, service: &str) -> Option<f64> {
        let endpoints: Vec<&PoolEndpoint> = self.of_service(service).collect();
        typical_pace(&endpoints)
    }

    /// Returns whether a run would be faster at another endpoint: a usable one
    /// that has not failed recently and is not about as slow.
    ///
    /// `run_ms_per_event` is the run's time per event, if it is known.
    pub fn has_better_endpoint<R>(
        &self,
        now_ms: u64,
        requirements: &EndpointRequirements<'_>,
        run_ms_per_event: Option<f64>,
        rng: &mut R,
    ) -> bool
    where
        R: Rng,
    {
        let chosen = self.choose(now_ms, requirements, rng);
        let Some(endpoint) = chosen.and_then(|id| self.get(&id)) else {
            return false;
        };
        let is_faster = match (endpoint.pace, run_ms_per_event) {
            (Some(pace), Some(run)) => run > pace * MIN_MOVE_SPEEDUP,
            _ => true,
        };
        is_faster && endpoint.penalty_until_ms <= now_ms
    }

    /// Returns the pace of the endpoint that a run would move to, if it is known and the
    /// endpoint has not failed recently.
    pub fn pace_elsewhere<R>(
        &self,
        now_ms: u64,
        requirements: &EndpointRequirements<'_>,
        rng: &mut R,
    ) -> Option<f64>
    where
        R: Rng,
    {
        let chosen = self.choose(now_ms, requirements, rng)?;
        let endpoint = self.get(&chosen)?;
        endpoint
            .pace
            .filter(|_| endpoint.penalty_until_ms <= now_ms)
    }

    /// Returns when the first endpoint of a service may get a request again, if all that
    /// accept work have reached their request limits.
    #[must_use]
    pub fn limits_allow_at_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        let ready = self.of_service(service);
        let ready = ready.filter(|endpoint| endpoint.record.stage == EndpointStage::Ready);
        let allowed_at_ms = ready
            .map(|endpoint| endpoint.named_limit.denied_until_ms())
            .min()?;
        (allowed_at_ms > now_ms).then_some(allowed_at_ms)
    }

    /// Returns whether any endpoint of a service and software version accepts work.
    #[must_use]
    pub fn has_ready(&self, origin: &StreamOrigin) -> bool {
        self.of_service(&origin.service).any(|endpoint| {
            let record = &endpoint.record;
            record.stage == EndpointStage::Ready && record.software == origin.software
        })
    }

    /// Returns whether any endpoint of a service accepts work.
    #[must_use]
    pub fn has_ready_endpoint(&self, service: &str) -> bool {
        self.of_service(service)
            .any(|endpoint| endpoint.record.stage == EndpointStage::Ready)
    }
}

fn is_usable(
    endpoint: &PoolEndpoint,
    now_ms: u64,
    requirements: &EndpointRequirements<'_>,
) -> bool {
    let has_weights = requirements
        .weights
        .is_none_or(|(model, min_version)| endpoint.weights_version(model) >= min_version);
    endpoint.record.stage == EndpointStage::Ready
        && has_weights
        && requirements
            .software
            .is_none_or(|software| &*endpoint.record.software == software)
        && occupancy(endpoint, now_ms) < requirements.max_occupancy
        && endpoint.named_limit.allows(now_ms, requirements.purpose)
        && !requirements.avoid.contains(&endpoint.record.id)
}

fn occupancy(endpoint: &PoolEndpoint, now_ms: u64) -> f64 {
    f64::from(endpoint.load.total(now_ms)) / f64::from(endpoint.record.slots.max(1))
}

/// Returns when a request is expected to be complete at an endpoint, with what speaks
/// against the endpoint in the same unit.
fn cost(
    endpoint: &PoolEndpoint,
    now_ms: u64,
    requirements: &EndpointRequirements<'_>,
    typical: &Typical,
) -> f64 {
    let record = &endpoint.record;
    let is_remote = &*record.data_centre != requirements.data_centre;
    let is_connected = requirements.connected.contains(&record.address);
    let is_other_slice = requirements
        .slice
        .is_some_and(|slice| !slice.contains(&record.id));
    let remote_cost = if is_remote {
        OTHER_DATA_CENTRE_COST
    } else {
        0.0
    };
    let is_stalled = endpoint.stalled_until_ms > now_ms;
    let stalled_cost = if is_stalled { STALLED_COST } else { 0.0 };
    let connect_cost = if is_connected {
        0.0
    } else {
        NEW_CONNECTION_COST
    };
    let other_slice_cost = if is_other_slice {
        OTHER_SLICE_COST
    } else {
        0.0
    };
    let is_limited = endpoint.named_limit.limit().is_some();
    let limited_cost = if is_limited { LIMITED_COST } else { 0.0 };
    expected_completion(
        endpoint,
        now_ms,
        requirements,
        typical,
        occupancy(endpoint, now_ms),
    ) + remote_cost
        + stalled_cost
        + limited_cost
        + connect_cost
        + other_slice_cost
}
