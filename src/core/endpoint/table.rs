use std::collections::{BTreeMap, BTreeSet};

use super::Endpoint;
use crate::{
    core::{Name, config::Document, routing::Health},
    wire::engine::Load,
};

/// How long an endpoint is left alone after a failure.
pub const DOWN_MS: u64 = 2_000;

/// The endpoints of all services, as this daemon sees them.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    services: BTreeMap<Name, BTreeMap<Name, Endpoint>>,
    listed_leaving: BTreeSet<Name>,
}

impl EndpointTable {
    /// Takes the endpoints from a configuration, keeping what is known of
    /// those that stay.
    pub fn configure(&mut self, document: &Document) {
        let mut services = BTreeMap::new();
        for (service, settings) in &document.services {
            let mut old = self.services.remove(service).unwrap_or_default();
            let mut endpoints = BTreeMap::new();
            for (name, endpoint_settings) in &settings.endpoints {
                let mut endpoint = old
                    .remove(name)
                    .unwrap_or_else(|| Endpoint::new(name.clone(), endpoint_settings.clone()));
                endpoint.settings = endpoint_settings.clone();
                endpoint.settings.leaving |= self.listed_leaving.contains(name);
                endpoints.insert(name.clone(), endpoint);
            }
            services.insert(service.clone(), endpoints);
        }
        self.services = services;
    }

    /// Takes the platform's list of endpoints' VMs that leave.
    pub fn set_listed_leaving(&mut self, leaving: BTreeSet<Name>) {
        for endpoint in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            endpoint.settings.leaving |= leaving.contains(&endpoint.name);
        }
        self.listed_leaving = leaving;
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Returns every service with each of its endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.services
            .iter()
            .flat_map(|(service, all)| all.values().map(move |endpoint| (service, endpoint)))
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
                endpoint.down_until_ms = now_ms + DOWN_MS;
            }
        }
    }

    /// Notes a load report, or that none was to be had.
    pub fn on_report(&mut self, now_ms: u64, service: &str, endpoint: &str, load: Option<Load>) {
        let Some(endpoint) = self.get_mut(service, endpoint) else {
            return;
        };
        match load {
            Some(load) => {
                endpoint.load = load;
                endpoint.in_flight_at_report = endpoint.in_flight;
                endpoint.reported_at_ms = now_ms;
                endpoint.down_until_ms = 0;
            }
            None => endpoint.down_until_ms = now_ms + DOWN_MS,
        }
    }

    /// Returns what this daemon's own requests met at an endpoint.
    pub fn health_mut(&mut self, service: &str, endpoint: &str) -> Option<&mut Health> {
        Some(&mut self.get_mut(service, endpoint)?.health)
    }

    fn get_mut(&mut self, service: &str, endpoint: &str) -> Option<&mut Endpoint> {
        self.services.get_mut(service)?.get_mut(endpoint)
    }
}
