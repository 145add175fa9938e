use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{Endpoint, EndpointState, Placement, Usage, assign_usages};
use crate::{
    core::{
        Name,
        config::{Document, EndpointSettings, ServiceKind},
        routing::Health,
    },
    wire::engine::Load,
};

/// How long an endpoint counts as down after a failed request.
pub const DOWN_AFTER_FAILURE_MS: u64 = 2_000;

/// The maximum mean rate at which a daemon polls the endpoints that it uses.
const MAX_POLLS_PER_S: u64 = 12;
/// The minimum interval between polls of a used endpoint.
const MIN_POLL_INTERVAL_MS: u64 = 500;
/// The factor by which the poll interval of an idle endpoint is longer.
const IDLE_POLL_INTERVAL_FACTOR: u64 = 2;
/// The interval between polls of a spare endpoint.
const SPARE_POLL_INTERVAL_MS: u64 = 10_000;
/// The interval between polls of a watched endpoint.
const WATCHED_POLL_INTERVAL_MS: u64 = 30_000;
/// The minimum interval between polls of an endpoint whose weights are not of
/// the target version.
const MIN_OUTDATED_POLL_INTERVAL_MS: u64 = 1_000;
/// The maximum mean rate at which a lease holder polls the endpoints of a service
/// whose weights are not of the target version.
const MAX_OUTDATED_POLLS_PER_S: u64 = 400;
/// The maximum delay until the next poll after a failed request.
const POLL_AFTER_FAILURE_MS: u64 = 200;

/// An endpoint to poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollTarget {
    /// The service.
    pub service: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEndpoints {
    is_model: bool,
    /// The target weights version.
    weights_version: u64,
    /// Whether this daemon holds the service's lease and therefore watches all
    /// of its endpoints.
    is_held: bool,
    /// Whether a used endpoint of this data centre is serving.
    has_near_serving: bool,
    endpoints: BTreeMap<Name, Endpoint>,
}

/// The endpoints of all services, with their state as known to this daemon.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    services: BTreeMap<Name, ServiceEndpoints>,
    listed_leaving: BTreeSet<Name>,
    placement: Option<Placement>,
}

impl EndpointTable {
    /// Sets the services and endpoints from a configuration.
    ///
    /// Endpoints that were already known keep their state.
    pub fn configure(&mut self, document: &Document) {
        let mut services = BTreeMap::new();
        for (service, settings) in &document.services {
            let mut pool = self.services.remove(service).unwrap_or(ServiceEndpoints {
                has_near_serving: true,
                ..ServiceEndpoints::default()
            });
            pool.is_model = settings.kind == ServiceKind::Model;
            pool.weights_version = settings.weights_version;
            let mut known = std::mem::take(&mut pool.endpoints);
            for (name, endpoint_settings) in &settings.endpoints {
                let mut endpoint = known
                    .remove(name)
                    .unwrap_or_else(|| Endpoint::new(name.clone(), endpoint_settings.clone()));
                endpoint.settings = endpoint_settings.clone();
                endpoint.is_listed_leaving = self.listed_leaving.contains(name);
                pool.endpoints.insert(name.clone(), endpoint);
            }
            services.insert(service.clone(), pool);
        }
        self.services = services;
        self.update_usages();
    }

    /// Sets the endpoints whose VMs the platform lists as leaving.
    pub fn set_listed_leaving(&mut self, leaving: BTreeSet<Name>) {
        let pools = self.services.values_mut();
        for endpoint in pools.flat_map(|pool| pool.endpoints.values_mut()) {
            endpoint.is_listed_leaving = leaving.contains(&endpoint.name);
        }
        self.listed_leaving = leaving;
    }

    /// Sets the placement of this daemon, which determines the endpoints that it
    /// uses.
    ///
    /// Before the first call, every endpoint is used.
    pub fn set_placement(&mut self, now_ms: u64, placement: Placement) {
        let mut is_changed = self.placement.as_ref() != Some(&placement);
        for pool in self.services.values_mut() {
            let has_near = has_near_serving(now_ms, pool, &placement);
            is_changed |= has_near != pool.has_near_serving;
            pool.has_near_serving = has_near;
        }
        self.placement = Some(placement);
        if is_changed {
            self.update_usages();
        }
    }

    /// Sets the services whose lease this daemon holds.
    ///
    /// All their endpoints are watched, whether they are used or not.
    pub fn set_held_services(&mut self, held: &BTreeSet<Name>) {
        for (service, pool) in &mut self.services {
            pool.is_held = held.contains(service);
        }
    }

    /// Returns the endpoints of a service that this daemon uses, keeps as spares
    /// or, if it holds the service's lease, watches.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let pool = self.services.get(service);
        let is_held = pool.is_some_and(|pool| pool.is_held);
        pool.into_iter()
            .flat_map(|pool| pool.endpoints.values())
            .filter(move |endpoint| is_held || endpoint.usage > Usage::Watched)
    }

    /// Returns all endpoints, each with its service.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.services.iter().flat_map(|(service, pool)| {
            pool.endpoints
                .values()
                .map(move |endpoint| (service, endpoint))
        })
    }

    /// Returns the endpoints whose poll is due, and schedules their next poll.
    pub fn take_due_polls(&mut self, now_ms: u64) -> Vec<PollTarget> {
        let used_interval_ms = self.used_poll_interval_ms();
        let mut due = Vec::new();
        for (service, pool) in self.services.iter_mut().filter(|(_, pool)| pool.is_model) {
            let (is_held, target_version) = (pool.is_held, pool.weights_version);
            let outdated_interval_ms = outdated_poll_interval_ms(pool);
            for endpoint in pool.endpoints.values_mut() {
                let usage = endpoint.usage.max(if is_held {
                    Usage::Watched
                } else {
                    Usage::Unused
                });
                if usage == Usage::Unused || now_ms < endpoint.poll_at_ms {
                    continue;
                }
                let is_outdated = is_held && endpoint.load.weights_version != target_version;
                let interval_ms = if is_outdated {
                    outdated_interval_ms
                } else {
                    poll_interval_ms(usage, endpoint, used_interval_ms)
                };
                endpoint.poll_at_ms = now_ms + interval_ms;
                due.push(PollTarget {
                    service: service.clone(),
                    endpoint: endpoint.name.clone(),
                    address: endpoint.settings.address,
                });
            }
        }
        due
    }

    /// Records that a request starts at an endpoint.
    pub fn on_start(&mut self, service: &str, endpoint: &str) {
        if let Some(endpoint) = self.get_mut(service, endpoint) {
            endpoint.in_flight += 1;
        }
    }

    /// Records that a request ended at an endpoint, and whether the endpoint
    /// failed it.
    pub fn on_end(&mut self, now_ms: u64, service: &str, endpoint: &str, has_failed: bool) {
        if let Some(endpoint) = self.get_mut(service, endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            if has_failed {
                endpoint.down_until_ms = now_ms + DOWN_AFTER_FAILURE_MS;
                endpoint.poll_at_ms = endpoint.poll_at_ms.min(now_ms + POLL_AFTER_FAILURE_MS);
            }
        }
    }

    /// Records the result of a poll: a load report, or `None` if the endpoint
    /// did not answer.
    pub fn on_report(&mut self, now_ms: u64, service: &str, endpoint: &str, load: Option<Load>) {
        let Some(endpoint) = self.get_mut(service, endpoint) else {
            return;
        };
        endpoint.is_unanswered = load.is_none();
        if let Some(load) = load {
            endpoint.load = load;
            endpoint.in_flight_at_report = endpoint.in_flight;
            endpoint.reported_at_ms = now_ms;
            endpoint.down_until_ms = 0;
        }
    }

    /// Returns the interval between polls of a used endpoint at which all used
    /// endpoints together stay within [`MAX_POLLS_PER_S`].
    fn used_poll_interval_ms(&self) -> u64 {
        let models = self.services.values().filter(|pool| pool.is_model);
        let used = models
            .flat_map(|pool| pool.endpoints.values())
            .filter(|endpoint| endpoint.usage == Usage::Used)
            .count();
        (used as u64 * 1_000 / MAX_POLLS_PER_S).max(MIN_POLL_INTERVAL_MS)
    }

    fn update_usages(&mut self) {
        let Some(placement) = &self.placement else {
            return;
        };
        for pool in self.services.values_mut() {
            let settings: BTreeMap<Name, EndpointSettings> = pool
                .endpoints
                .iter()
                .map(|(name, endpoint)| (name.clone(), endpoint.settings.clone()))
                .collect();
            for (name, usage) in assign_usages(placement, &settings, pool.has_near_serving) {
                if let Some(endpoint) = pool.endpoints.get_mut(&name) {
                    endpoint.usage = usage;
                }
            }
        }
    }

    /// Returns the latencies and failures of this daemon's requests at an
    /// endpoint.
    pub fn health_mut(&mut self, service: &str, endpoint: &str) -> Option<&mut Health> {
        Some(&mut self.get_mut(service, endpoint)?.health)
    }

    fn get_mut(&mut self, service: &str, endpoint: &str) -> Option<&mut Endpoint> {
        self.services.get_mut(service)?.endpoints.get_mut(endpoint)
    }
}

fn has_near_serving(now_ms: u64, pool: &ServiceEndpoints, placement: &Placement) -> bool {
    pool.endpoints.values().any(|endpoint| {
        endpoint.settings.data_centre == placement.data_centre
            && endpoint.usage == Usage::Used
            && endpoint.state(now_ms) == EndpointState::Serving
    })
}

/// Returns the interval between polls of an endpoint whose weights are not of
/// the target version, at which all of these endpoints together stay within
/// [`MAX_OUTDATED_POLLS_PER_S`].
fn outdated_poll_interval_ms(pool: &ServiceEndpoints) -> u64 {
    let endpoints = pool.endpoints.values();
    let outdated = endpoints
        .filter(|endpoint| endpoint.load.weights_version != pool.weights_version)
        .count();
    (outdated as u64 * 1_000 / MAX_OUTDATED_POLLS_PER_S).max(MIN_OUTDATED_POLL_INTERVAL_MS)
}

fn poll_interval_ms(usage: Usage, endpoint: &Endpoint, used_interval_ms: u64) -> u64 {
    match usage {
        Usage::Used if endpoint.is_idle() && !endpoint.is_unanswered => {
            IDLE_POLL_INTERVAL_FACTOR * used_interval_ms
        }
        Usage::Used => used_interval_ms,
        Usage::Spare => SPARE_POLL_INTERVAL_MS,
        Usage::Watched | Usage::Unused => WATCHED_POLL_INTERVAL_MS,
    }
}
