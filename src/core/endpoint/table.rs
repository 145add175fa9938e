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

/// How long an endpoint is left alone after a failure.
pub const DOWN_AFTER_FAILURE_MS: u64 = 2_000;

/// How many polls a daemon sends a second at most, in the mean.
const POLLS_PER_S: u64 = 12;
const MIN_POLL_MS: u64 = 500;
/// How much less often an idle endpoint is polled.
const IDLE_FACTOR: u64 = 2;
const SPARE_POLL_MS: u64 = 10_000;
const WATCHED_POLL_MS: u64 = 30_000;
/// How often an endpoint is polled that has other weights than it is to have.
const BEHIND_POLL_MS: u64 = 1_000;
/// How many such polls a daemon sends a second at most, in the mean.
const BEHIND_POLLS_PER_S: u64 = 400;
const RECHECK_MS: u64 = 200;

/// An endpoint that is to be polled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollTarget {
    /// The service.
    pub service: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    is_model: bool,
    weights_version: u64,
    /// Whether this daemon holds the service's lease, and so watches all of it.
    is_held: bool,
    /// Whether an endpoint of this data centre answers.
    has_near: bool,
    endpoints: BTreeMap<Name, Endpoint>,
}

/// The endpoints of all services, as this daemon sees them.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    services: BTreeMap<Name, Pool>,
    listed_leaving: BTreeSet<Name>,
    placement: Option<Placement>,
}

impl EndpointTable {
    /// Takes the endpoints from a configuration, keeping what is known of
    /// those that stay.
    pub fn configure(&mut self, document: &Document) {
        let mut services = BTreeMap::new();
        for (service, settings) in &document.services {
            let mut pool = self.services.remove(service).unwrap_or(Pool {
                has_near: true,
                ..Pool::default()
            });
            pool.is_model = settings.kind == ServiceKind::Model;
            pool.weights_version = settings.weights_version;
            let mut old = std::mem::take(&mut pool.endpoints);
            for (name, endpoint_settings) in &settings.endpoints {
                let mut endpoint = old
                    .remove(name)
                    .unwrap_or_else(|| Endpoint::new(name.clone(), endpoint_settings.clone()));
                endpoint.settings = endpoint_settings.clone();
                endpoint.is_listed_leaving = self.listed_leaving.contains(name);
                pool.endpoints.insert(name.clone(), endpoint);
            }
            services.insert(service.clone(), pool);
        }
        self.services = services;
        self.choose_usages();
    }

    /// Takes the platform's list of endpoints' VMs that leave.
    pub fn set_listed_leaving(&mut self, leaving: BTreeSet<Name>) {
        let pools = self.services.values_mut();
        for endpoint in pools.flat_map(|pool| pool.endpoints.values_mut()) {
            endpoint.is_listed_leaving = leaving.contains(&endpoint.name);
        }
        self.listed_leaving = leaving;
    }

    /// Takes where this daemon stands, from which follows what it uses.
    ///
    /// Until the first call every endpoint is used.
    pub fn set_placement(&mut self, now_ms: u64, placement: Placement) {
        let mut is_changed = self.placement.as_ref() != Some(&placement);
        for pool in self.services.values_mut() {
            let has_near = has_near(now_ms, pool, &placement);
            is_changed |= has_near != pool.has_near;
            pool.has_near = has_near;
        }
        self.placement = Some(placement);
        if is_changed {
            self.choose_usages();
        }
    }

    /// Takes the services whose lease this daemon holds: all their endpoints
    /// are watched, whether or not they are used.
    pub fn set_held_services(&mut self, held: &BTreeSet<Name>) {
        for (service, pool) in &mut self.services {
            pool.is_held = held.contains(service);
        }
    }

    /// Returns the endpoints of a service that this daemon uses or watches.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let pool = self.services.get(service);
        let is_held = pool.is_some_and(|pool| pool.is_held);
        pool.into_iter()
            .flat_map(|pool| pool.endpoints.values())
            .filter(move |endpoint| is_held || endpoint.usage > Usage::Watched)
    }

    /// Returns every service with each of its endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.services.iter().flat_map(|(service, pool)| {
            pool.endpoints
                .values()
                .map(move |endpoint| (service, endpoint))
        })
    }

    /// Returns the endpoints whose poll is due, and sets when their next one is.
    pub fn take_due_polls(&mut self, now_ms: u64) -> Vec<PollTarget> {
        let pace_ms = self.pace_ms();
        let mut due = Vec::new();
        for (service, pool) in self.services.iter_mut().filter(|(_, pool)| pool.is_model) {
            let (is_held, target) = (pool.is_held, pool.weights_version);
            let behind_ms = behind_poll_ms(pool);
            for endpoint in pool.endpoints.values_mut() {
                let usage = endpoint.usage.max(if is_held {
                    Usage::Watched
                } else {
                    Usage::Unused
                });
                if usage == Usage::Unused || now_ms < endpoint.poll_at_ms {
                    continue;
                }
                let is_behind = is_held && endpoint.load.weights_version != target;
                let wait_ms = if is_behind {
                    behind_ms
                } else {
                    poll_wait_ms(usage, endpoint, pace_ms)
                };
                endpoint.poll_at_ms = now_ms + wait_ms;
                due.push(PollTarget {
                    service: service.clone(),
                    endpoint: endpoint.name.clone(),
                    address: endpoint.settings.address,
                });
            }
        }
        due
    }

    /// Notes that a request starts at an endpoint.
    pub fn on_start(&mut self, service: &str, endpoint: &str) {
        if let Some(endpoint) = self.get_mut(service, endpoint) {
            endpoint.in_flight += 1;
        }
    }

    /// Notes that a request ended at an endpoint, and whether the endpoint failed.
    pub fn on_end(&mut self, now_ms: u64, service: &str, endpoint: &str, has_failed: bool) {
        if let Some(endpoint) = self.get_mut(service, endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            if has_failed {
                endpoint.down_until_ms = now_ms + DOWN_AFTER_FAILURE_MS;
                endpoint.poll_at_ms = endpoint.poll_at_ms.min(now_ms + RECHECK_MS);
            }
        }
    }

    /// Notes a load report, or that none was to be had.
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

    /// Returns the least time between two polls of a used endpoint, so that
    /// all of them together keep to the budget.
    fn pace_ms(&self) -> u64 {
        let models = self.services.values().filter(|pool| pool.is_model);
        let used = models
            .flat_map(|pool| pool.endpoints.values())
            .filter(|endpoint| endpoint.usage == Usage::Used)
            .count();
        (used as u64 * 1_000 / POLLS_PER_S).max(MIN_POLL_MS)
    }

    fn choose_usages(&mut self) {
        let Some(placement) = &self.placement else {
            return;
        };
        for pool in self.services.values_mut() {
            let settings: BTreeMap<Name, EndpointSettings> = pool
                .endpoints
                .iter()
                .map(|(name, endpoint)| (name.clone(), endpoint.settings.clone()))
                .collect();
            for (name, usage) in assign_usages(placement, &settings, pool.has_near) {
                if let Some(endpoint) = pool.endpoints.get_mut(&name) {
                    endpoint.usage = usage;
                }
            }
        }
    }

    /// Returns what this daemon's own requests met at an endpoint.
    pub fn health_mut(&mut self, service: &str, endpoint: &str) -> Option<&mut Health> {
        Some(&mut self.get_mut(service, endpoint)?.health)
    }

    fn get_mut(&mut self, service: &str, endpoint: &str) -> Option<&mut Endpoint> {
        self.services.get_mut(service)?.endpoints.get_mut(endpoint)
    }
}

fn has_near(now_ms: u64, pool: &Pool, placement: &Placement) -> bool {
    pool.endpoints.values().any(|endpoint| {
        endpoint.settings.data_centre == placement.data_centre
            && endpoint.usage == Usage::Used
            && endpoint.state(now_ms) == EndpointState::Serving
    })
}

/// Returns the time between two polls of an endpoint with other weights than
/// it is to have, so that all of them keep to the bound.
fn behind_poll_ms(pool: &Pool) -> u64 {
    let endpoints = pool.endpoints.values();
    let behind = endpoints
        .filter(|endpoint| endpoint.load.weights_version != pool.weights_version)
        .count();
    (behind as u64 * 1_000 / BEHIND_POLLS_PER_S).max(BEHIND_POLL_MS)
}

fn poll_wait_ms(usage: Usage, endpoint: &Endpoint, pace_ms: u64) -> u64 {
    match usage {
        Usage::Used if endpoint.is_idle() && !endpoint.is_unanswered => IDLE_FACTOR * pace_ms,
        Usage::Used => pace_ms,
        Usage::Spare => SPARE_POLL_MS,
        Usage::Watched | Usage::Unused => WATCHED_POLL_MS,
    }
}
