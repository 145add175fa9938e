//! Orders samplers to load the configured weights, service by service.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Method;
use tokio::task::JoinSet;

use super::{
    clock::now_ms,
    config,
    http::{HttpError, build_request},
    lease_keeper::LeaseKeeper,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        config::ServiceKind,
        endpoint::EndpointState,
        weights::{Sampler, WeightsRollout},
    },
    wire::engine::Order,
};

const MAX_ROUND_WAIT_MS: u64 = 250;
const NOT_CANDIDATE_WAIT_MS: u64 = 1_000;
const ORDER_TIMEOUT_MS: u64 = 1_000;

/// Orders the samplers of one service to load the configured weights while this
/// VM holds the service's lease.
#[derive(Debug)]
pub(crate) struct WeightsRolloutTask {
    service: Name,
    pub(crate) lease: LeaseKeeper,
    weights_rollout: Mutex<WeightsRollout>,
}

impl WeightsRolloutTask {
    fn new(daemon: &Daemon, service: Name) -> Self {
        let lease = LeaseKeeper::new(daemon, format!("weights/{service}").into());
        Self {
            service,
            lease,
            weights_rollout: Mutex::default(),
        }
    }

    async fn run(self: Arc<Self>, daemon: Arc<Daemon>) {
        let mut stop = daemon.stop_tasks.subscribe();
        while !*stop.borrow_and_update() {
            let wait_ms = self.run_round(&daemon).await;
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
                _ = stop.changed() => {}
            }
        }
        self.lease.release(&daemon).await;
    }

    /// Runs the next action of the lease and sends the orders that are due.
    /// Returns how long to wait, in milliseconds.
    async fn run_round(&self, daemon: &Daemon) -> u64 {
        if !self.lease.is_candidate(daemon) {
            return NOT_CANDIDATE_WAIT_MS;
        }
        let at_ms = self.lease.run_next_action(daemon).await;
        if let Some(fence) = self.lease.fence() {
            self.send_orders(daemon, fence).await;
        }
        at_ms.saturating_sub(now_ms()).clamp(10, MAX_ROUND_WAIT_MS)
    }

    /// Sends the orders that are due, unless the configuration is too old.
    async fn send_orders(&self, daemon: &Daemon, fence: u64) {
        // An outdated target would make samplers load old weights again.
        if config::check_fresh(daemon).is_err() {
            return;
        }
        let Ok(service) = daemon.service(&self.service) else {
            return;
        };
        let now_ms = now_ms();
        let samplers: Vec<Sampler> = lock(&daemon.endpoints)
            .of_service(&self.service)
            .filter(|endpoint| endpoint.reported_at_ms > 0)
            .filter(|endpoint| endpoint.state(now_ms) == EndpointState::Serving)
            .map(|endpoint| Sampler {
                name: endpoint.name.clone(),
                data_centre: endpoint.settings.data_centre.clone(),
                weights_version: endpoint.load.weights_version,
                incarnation: endpoint.load.incarnation,
            })
            .collect();
        let target = service.weights_version;
        let orders = lock(&self.weights_rollout).take_due_orders(now_ms, target, fence, &samplers);
        let sends = orders.into_iter().filter_map(|(name, order)| {
            let address = service.endpoints.get(&name)?.address;
            Some(self.send_order(daemon, address, order))
        });
        join_all(sends).await;
    }

    /// Sends one order. The load reports of the sampler show whether it succeeded.
    async fn send_order(&self, daemon: &Daemon, address: SocketAddr, order: Order) {
        // The lease is checked again just before sending, because engines that
        // do not check the fencing number rely on it.
        if self.lease.fence() != Some(order.fence) {
            return;
        }
        daemon.metrics.orders.inc();
        let body: Bytes = serde_json::to_vec(&order).unwrap_or_default().into();
        let Ok(request) = build_request(Method::POST, address, "/orders", "application/json", body)
        else {
            return;
        };
        let result = daemon
            .http
            .exchange(address, request, ORDER_TIMEOUT_MS)
            .await;
        if let Err(HttpError::Status(status, _)) = result {
            tracing::warn!(service = %self.service, %address, %status, "weights order refused");
        }
    }
}

/// Runs one [`WeightsRolloutTask`] for each model service of the configuration
/// until the daemon stops.
pub(crate) async fn supervise(daemon: Arc<Daemon>) {
    let mut config = daemon.config.subscribe();
    let mut stop = daemon.stop_tasks.subscribe();
    let mut tasks = JoinSet::new();
    loop {
        let document = config.borrow_and_update().document.clone();
        let models = document
            .services
            .iter()
            .filter(|(_, service)| service.kind == ServiceKind::Model);
        for (name, _) in models {
            let mut weights_rollouts = lock(&daemon.weights_rollouts);
            if !weights_rollouts.contains_key(name) {
                let task = Arc::new(WeightsRolloutTask::new(&daemon, name.clone()));
                weights_rollouts.insert(name.clone(), task.clone());
                tasks.spawn(task.run(daemon.clone()));
            }
        }
        tokio::select! {
            _ = config.changed() => {}
            _ = stop.changed() => break,
        }
    }
    while tasks.join_next().await.is_some() {}
}
