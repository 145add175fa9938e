use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, watch};

use super::{claims::Batches, http_client::HttpClient, metrics::Metrics};
use crate::{
    core::{Name, pool::Pool, roster::Roster, routes::RouteTable, tenure::Tenure},
    daemon::now_ms,
    platform::Store,
    settings::VmSettings,
};

/// What the tasks of one VM share; each part has a lock of its own.
pub(crate) struct Server {
    pub(crate) settings: VmSettings,
    pub(crate) incarnation: u64,
    pub(crate) http: Arc<HttpClient>,
    pub(crate) store: Store,
    pub(crate) routes: Mutex<Arc<RouteTable>>,
    pub(crate) pool: Mutex<Pool>,
    /// Rings when a place at an endpoint may have become free.
    pub(crate) pool_changed: Notify,
    pub(crate) named_weights: Mutex<BTreeMap<Name, u64>>,
    pub(crate) members: Mutex<Roster>,
    pub(crate) batches: Mutex<Batches>,
    /// Rings when batches or members have changed.
    pub(crate) batches_changed: Notify,
    pub(crate) tenure: Mutex<Tenure>,
    pub(crate) rng: Mutex<SmallRng>,
    pub(crate) metrics: Metrics,
    pub(crate) is_draining: AtomicBool,
    /// Tells connections to end after the request in progress.
    pub(crate) close: watch::Sender<bool>,
}

impl Server {
    pub(crate) fn new(settings: VmSettings, incarnation: u64) -> Self {
        let http = Arc::new(HttpClient::default());
        let me = settings.vm.clone();
        Self {
            incarnation,
            store: Store::new(
                settings.store_address,
                settings.peer_address,
                &settings.seed_addresses,
                http.clone(),
            ),
            http,
            routes: Mutex::default(),
            pool: Mutex::default(),
            pool_changed: Notify::new(),
            named_weights: Mutex::default(),
            members: Mutex::default(),
            batches: Mutex::default(),
            batches_changed: Notify::new(),
            tenure: Mutex::new(Tenure::new(me, incarnation, settings.order_gap_ms)),
            rng: Mutex::new(SmallRng::from_os_rng()),
            metrics: Metrics::new(),
            is_draining: AtomicBool::new(false),
            close: watch::Sender::new(false),
            settings,
        }
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Arc<RouteTable> {
        lock(&self.routes).clone()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Returns whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.routes().version() > 0 && lock(&self.members).is_read()
    }

    /// Returns whether this start of this VM is meant.
    pub(crate) fn is_own_incarnation(&self, vm: &str, incarnation: u64) -> bool {
        vm == &*self.settings.vm && incarnation == self.incarnation
    }

    /// Counts a request at an endpoint until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>, endpoint: &Name) -> InFlight {
        let mut service = Name::from("");
        if let Some(known) = lock(&self.pool).get_mut(endpoint) {
            known.load.in_flight += 1;
            service = known.record.service.clone();
        }
        InFlight {
            server: self.clone(),
            endpoint: endpoint.clone(),
            service,
            started_ms: now_ms(),
        }
    }
}

/// A request at an endpoint.
pub(crate) struct InFlight {
    server: Arc<Server>,
    pub(crate) endpoint: Name,
    pub(crate) service: Name,
    pub(crate) started_ms: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(known) = lock(&self.server.pool).get_mut(&self.endpoint) {
            known.load.in_flight = known.load.in_flight.saturating_sub(1);
        }
        self.server.pool_changed.notify_one();
    }
}

/// Locks a part; a panic elsewhere while it was locked is no reason to stop.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
