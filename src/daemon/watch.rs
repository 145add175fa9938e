//! Endpoints as they report themselves, and the orders that follow from it.

use std::{collections::BTreeSet, sync::Arc};

use futures_util::future::join_all;
use rand::Rng;

use super::{
    clock::{now_ms, sleep_until},
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        config::{EndpointSettings, ServiceKind},
    },
    wire::engine::Load,
};

const TIMEOUT_MS: u64 = 1_000;

/// Looks at every endpoint, again and again.
pub(crate) async fn watch_loop(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop.subscribe();
    while !*stop.borrow_and_update() {
        let endpoints = endpoints(&daemon);
        let looks = endpoints
            .iter()
            .map(|(service, name, settings)| look(&daemon, service, name, settings));
        join_all(looks).await;
        read_list(&daemon).await;
        let limits = &daemon.settings.limits;
        let wait_ms = lock(&daemon.rng).random_range(limits.min_watch_ms..=limits.max_watch_ms);
        tokio::select! {
            () = sleep_until(now_ms() + wait_ms) => {}
            _ = stop.changed() => {}
        }
    }
}

fn endpoints(daemon: &Daemon) -> Vec<(Name, Name, EndpointSettings)> {
    let document = daemon.config.borrow().document.clone();
    let is_model = |service: &Name| {
        document
            .services
            .get(service)
            .is_some_and(|service| service.kind == ServiceKind::Model)
    };
    let endpoints = lock(&daemon.endpoints);
    let watched = endpoints.iter().filter(|(service, _)| is_model(service));
    watched
        .map(|(service, endpoint)| {
            (
                service.clone(),
                endpoint.name.clone(),
                endpoint.settings.clone(),
            )
        })
        .collect()
}

async fn look(daemon: &Daemon, service: &str, name: &str, settings: &EndpointSettings) {
    let load: Result<Load, _> = daemon
        .http
        .get_json(settings.address, "/load", TIMEOUT_MS)
        .await;
    lock(&daemon.endpoints).on_report(now_ms(), service, name, load.ok());
}

async fn read_list(daemon: &Daemon) {
    daemon.metrics.platform_reads.inc();
    let Ok(listed) = daemon.platform.listed_vms().await else {
        return;
    };
    let leaving: BTreeSet<Name> = listed
        .into_iter()
        .filter(|vm| vm.leaving)
        .map(|vm| vm.vm)
        .collect();
    lock(&daemon.endpoints).set_listed_leaving(leaving);
}
