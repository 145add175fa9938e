use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64},
    },
};

use bytes::Bytes;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::watch;

use super::{
    at_most_once::RunningRequest, clock::now_ms, gate::Gate, http::HttpClient, metrics::Metrics,
    platform::Platform, traffic::Traffic, trainer_task::TrainerTask,
    weights_rollout_task::WeightsRolloutTask,
};
use crate::{
    core::{
        Name,
        admission::ConcurrencyLimit,
        config::{Freshness, Replica, Service, VersionedDocument},
        endpoint::EndpointTable,
        membership::Membership,
        quarantine::Quarantine,
        request::{Deduplication, TicketClock},
        retry::RetryBudget,
    },
    error::{ErrorKind, Refusal},
    settings::Settings,
    wire::peers::MemberRecord,
};

/// A complete response, which is kept for resends of the request.
#[derive(Clone, Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: u16,
    pub(crate) content_type: Arc<str>,
    pub(crate) body: Bytes,
}

/// The outcome of a caller's request.
pub(crate) type Outcome = Result<CompleteResponse, Refusal>;

/// The state that the tasks of one daemon share.
///
/// Each part has its own lock, which is held only while the part takes a
/// decision.
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    pub(crate) own_record: MemberRecord,
    pub(crate) http: HttpClient,
    /// The client for probes, polls and the platform, whose traffic is counted.
    pub(crate) control_http: HttpClient,
    pub(crate) traffic: Traffic,
    /// The client for non-idempotent calls and for probes of suspected crashes.
    pub(crate) short_idle_http: HttpClient,
    pub(crate) platform: Platform,
    pub(crate) metrics: Metrics,
    /// The configuration in force, as stored in [`Daemon::replica`].
    pub(crate) config: watch::Sender<VersionedDocument>,
    pub(crate) replica: Mutex<Replica>,
    pub(crate) freshness: Mutex<Freshness>,
    /// Whether the members have been read from the platform since the start.
    /// Until then, this VM does not know whether it is the only one.
    pub(crate) has_read_members: AtomicBool,
    pub(crate) endpoints: Mutex<EndpointTable>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) request_limit: Mutex<ConcurrencyLimit>,
    pub(crate) gates: Mutex<BTreeMap<Name, Gate>>,
    pub(crate) retry_budgets: Mutex<BTreeMap<Name, RetryBudget>>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) deduplication: Mutex<Deduplication<Outcome>>,
    /// The running requests by id.
    pub(crate) running_requests: Mutex<BTreeMap<Arc<str>, RunningRequest>>,
    pub(crate) next_run_number: AtomicU64,
    pub(crate) ticket_clock: TicketClock,
    pub(crate) trainers: Mutex<BTreeMap<Name, Arc<TrainerTask>>>,
    pub(crate) weights_rollouts: Mutex<BTreeMap<Name, Arc<WeightsRolloutTask>>>,
    pub(crate) rng: Mutex<SmallRng>,
    pub(crate) is_draining: AtomicBool,
    /// The number of requests that are running or whose streamed response is not
    /// yet complete.
    pub(crate) requests_in_progress: AtomicU32,
    /// Set to true to end the background tasks.
    pub(crate) stop_tasks: watch::Sender<bool>,
    /// Set to true to close the listeners, once no request is running.
    pub(crate) close_listeners: watch::Sender<bool>,
}

impl Daemon {
    pub(crate) fn new(settings: Settings, own_record: MemberRecord) -> Self {
        let metrics = Metrics::new();
        let traffic = Traffic::new(
            metrics.control_messages.clone(),
            metrics.control_bytes.clone(),
            metrics.control_role_bytes.clone(),
        );
        let control_http = HttpClient::new_counted(traffic.clone());
        let platform = Platform::new(control_http.clone(), &settings.platform_addresses);
        let request_limit = ConcurrencyLimit::new(settings.limits.max_requests);
        Self {
            short_idle_http: HttpClient::new_short_idle(),
            platform,
            metrics,
            control_http,
            traffic,
            config: watch::Sender::new(VersionedDocument::default()),
            replica: Mutex::default(),
            freshness: Mutex::new(Freshness::new(own_record.vm.clone(), now_ms())),
            has_read_members: AtomicBool::new(false),
            endpoints: Mutex::default(),
            membership: Mutex::new(Membership::new(own_record.clone())),
            request_limit: Mutex::new(request_limit),
            gates: Mutex::default(),
            retry_budgets: Mutex::default(),
            quarantine: Mutex::default(),
            deduplication: Mutex::default(),
            running_requests: Mutex::default(),
            next_run_number: AtomicU64::new(0),
            ticket_clock: TicketClock {
                unix_ms: own_record.incarnation,
                monotonic_ms: now_ms(),
            },
            trainers: Mutex::default(),
            weights_rollouts: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
            is_draining: AtomicBool::new(false),
            requests_in_progress: AtomicU32::new(0),
            stop_tasks: watch::Sender::new(false),
            close_listeners: watch::Sender::new(false),
            http: HttpClient::new(),
            settings,
            own_record,
        }
    }

    /// Returns the number of trainers that a service generates samples for.
    pub(crate) fn trainers_of(&self, service: &str) -> u32 {
        let config = self.config.borrow();
        let trainers = config.document.trainers.values();
        let count = trainers
            .filter(|trainer| &*trainer.service == service)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns a service of the configuration in force.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownService`] if there is no service of this name.
    pub(crate) fn service(&self, name: &str) -> Result<Arc<Service>, Refusal> {
        let config = self.config.borrow();
        config.document.services.get(name).cloned().ok_or_else(|| {
            Refusal::new(
                ErrorKind::UnknownService,
                format!("there is no service '{name}'"),
            )
        })
    }
}

/// Locks a mutex, and ignores that a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
