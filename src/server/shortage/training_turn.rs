use std::{sync::Arc, time::Duration};

use super::Waiter;
use crate::{
    core::{
        Name,
        shortage::{Entry, Verdict},
    },
    daemon::now_ms,
    server::{forward::ATTEMPT_MAX_OCCUPANCY, state::Server},
};

/// The longest time for which training work waits before it is looked at again whether it
/// is still wanted, in milliseconds.
const MAX_WAIT_MS: u64 = 25;
/// The longest time for which refused training work stays out of the room, in
/// milliseconds.
const MAX_REFUSED_MS: u64 = 250;

/// The turn of a sample or score call to look for an endpoint.
///
/// Training work is not refused for good: it enters the room again until it expires.
#[derive(Default)]
pub(crate) struct TrainingTurn {
    waiter: Option<Waiter>,
    /// When it first entered the room.
    came_ms: Option<u64>,
}

impl TrainingTurn {
    /// Returns the service for which it waits.
    pub(crate) fn service(&self) -> Option<&Name> {
        self.waiter.as_ref().map(|waiter| &waiter.service)
    }

    /// Waits a while for the turn of the work. Returns the occupancy below which it may use
    /// an endpoint, or `None` if its turn has not come.
    pub(crate) async fn wait<F>(
        &mut self,
        server: &Arc<Server>,
        service: Option<&Name>,
        max_occupancy: f64,
        entry: F,
    ) -> Option<f64>
    where
        F: FnOnce(&Name) -> Entry,
    {
        if self.service() != service {
            let came_ms = *self.came_ms.get_or_insert_with(now_ms);
            let entry = |service: &Name| Entry {
                came_ms,
                ..entry(service)
            };
            self.waiter = service.and_then(|name| Waiter::enter(server, name, || entry(name)));
        }
        let Some(waiter) = &mut self.waiter else {
            return Some(max_occupancy);
        };
        let wait = Duration::from_millis(MAX_WAIT_MS);
        match tokio::time::timeout(wait, waiter.verdict()).await.ok()? {
            Verdict::Start { is_reserved: true } => Some(ATTEMPT_MAX_OCCUPANCY),
            Verdict::Start { is_reserved: false } => Some(max_occupancy),
            Verdict::Refuse(refused) => {
                let _ = waiter.refuse(refused);
                self.waiter = None;
                let wait_ms = refused.retry_at_ms.saturating_sub(now_ms());
                let wait = Duration::from_millis(wait_ms.min(MAX_REFUSED_MS));
                tokio::time::sleep(wait).await;
                None
            }
        }
    }

    /// Records that the work has an endpoint.
    pub(crate) fn on_started(&mut self) {
        if let Some(mut waiter) = self.waiter.take() {
            waiter.on_started();
        }
    }

    /// Records that the work had its turn and has found no endpoint.
    pub(crate) fn on_not_placed(&mut self) {
        if let Some(waiter) = &mut self.waiter {
            waiter.on_not_placed();
        }
    }
}
