use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, atomic::AtomicUsize},
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, watch};

use super::{
    claims::Batches,
    connections::ListenerSet,
    crash,
    crash_rows::{self, CrashRows},
    duties::Duties,
    endpoint_relay::DecliningVms,
    http_client::ExchangeClient,
    memory::BodyMemory,
    metrics::Metrics,
    paths::PathChecks,
    shortage::Rooms,
    silence::EndVerdicts,
    stream_rows::StreamRows,
};
use crate::{
    core::{
        Name,
        batch::{SampleLengths, TextMemory},
        leader_lease::LeaderLease,
        memory::MemoryShares,
        pool::Pool,
        quarantine::{LateRetryPolicy, Quarantine, RunEnd},
        rate_limit::{IssuerAuthority, PermitIssuer, QuestionBudget},
        request::StopSchedule,
        roster::Roster,
        routes::RouteTable,
        scale::LoadSignals,
        streams::{StreamOrigin, StreamOrigins},
    },
    daemon::now_ms,
    platform::{AnswerHead, Store},
    settings::VmSettings,
};

/// The time from which a run without an answer is logged when it ends, in
/// milliseconds.
const MIN_LOGGED_WAIT_MS: u64 = 1_000;
const BYTES_PER_MB: u64 = 1_000_000;

/// The state that all tasks of one VM share; each part has its own lock.
pub(crate) struct Server {
    pub(crate) settings: VmSettings,
    pub(crate) incarnation: u64,
    pub(crate) http: Arc<ExchangeClient>,
    pub(crate) store: Store,
    pub(crate) routes: Mutex<Arc<RouteTable>>,
    pub(crate) pool: Mutex<Pool>,
    pub(crate) path_checks: PathChecks,
    pub(crate) declining_vms: Mutex<DecliningVms>,
    pub(crate) end_verdicts: Mutex<EndVerdicts>,
    /// The number of requests of other VMs that are in progress.
    pub(crate) relayed_requests: AtomicUsize,
    /// Notified when an endpoint may have a free slot.
    pub(crate) pool_changed: Notify,
    /// What waits for room at the endpoints of a service.
    pub(crate) waiting_rooms: Rooms,
    /// The newest weights version that a trainer named, by model.
    pub(crate) newest_weights: Mutex<BTreeMap<Name, u64>>,
    pub(crate) members: Mutex<Roster>,
    pub(crate) batches: Mutex<Batches>,
    /// Notified when batches or members have changed.
    pub(crate) batches_changed: Notify,
    pub(crate) leader_lease: Mutex<LeaderLease>,
    /// The duties on the platform's API, if the settings name it.
    pub(crate) duties: Option<Arc<Duties>>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) crash_rows: Mutex<CrashRows>,
    /// Notified when rows of crashes have to be written or notices to be sent.
    pub(crate) crash_rows_unwritten: Notify,
    /// The version of the row that tells of changes to the rows of crashes; `None`
    /// until the rows of VMs are read.
    pub(crate) crash_pointer: watch::Sender<Option<u64>>,
    /// The permits that this VM issues.
    pub(crate) permit_issuer: Mutex<PermitIssuer>,
    pub(crate) permit_questions: Mutex<QuestionBudget>,
    pub(crate) issuer_authority: Mutex<IssuerAuthority>,
    /// The VMs that issued no permit because they did not answer, and until when they
    /// are not asked.
    pub(crate) silent_issuers: Mutex<BTreeMap<Name, u64>>,
    pub(crate) stream_origins: Mutex<StreamOrigins>,
    pub(crate) stream_rows: StreamRows,
    /// Notified when the configuration or the list of endpoints has changed.
    pub(crate) pool_listed: Notify,
    /// The memory for bodies of requests and for batches.
    pub(crate) request_memory: BodyMemory,
    /// The memory for answers.
    pub(crate) answer_memory: BodyMemory,
    /// The memory that the texts of unlisted samples take.
    pub(crate) text_memory: Mutex<TextMemory>,
    pub(crate) sample_lengths: Mutex<SampleLengths>,
    /// What this VM observes of its work, from which endpoints are ordered.
    pub(crate) load_signals: Mutex<LoadSignals>,
    pub(crate) rng: Mutex<SmallRng>,
    pub(crate) metrics: Metrics,
    /// When this VM exits, once it was told to stop.
    pub(crate) stop: OnceLock<StopSchedule>,
    /// The connections that are open, by listener.
    pub(crate) listeners: ListenerSet,
    /// The number of open connections of callers.
    pub(crate) caller_connections: AtomicUsize,
    /// Becomes true at shutdown: each connection closes after the request in
    /// progress.
    pub(crate) close_connections: watch::Sender<bool>,
}

impl Server {
    pub(crate) fn new(settings: VmSettings, incarnation: u64) -> Self {
        let vm = settings.vm.clone();
        let memory_bytes = usize::try_from(settings.memory_mb * BYTES_PER_MB).unwrap_or(usize::MAX);
        let shares = MemoryShares::of(memory_bytes);
        let request_memory = BodyMemory::new(shares.small_bodies_bytes, shares.large_bodies_bytes);
        let answer_memory = BodyMemory::new(shares.small_answers_bytes, shares.large_answers_bytes);
        let http = Arc::new(ExchangeClient::new(answer_memory.clone()));
        Self {
            incarnation,
            listeners: ListenerSet::new(&settings, &shares),
            store: Store::new(
                settings.store_address,
                settings.peer_address,
                &settings.seed_addresses,
                http.clone(),
            ),
            http,
            routes: Mutex::default(),
            pool: Mutex::default(),
            path_checks: PathChecks::default(),
            declining_vms: Mutex::default(),
            end_verdicts: Mutex::default(),
            relayed_requests: AtomicUsize::new(0),
            pool_changed: Notify::new(),
            waiting_rooms: Rooms::default(),
            newest_weights: Mutex::default(),
            members: Mutex::default(),
            batches: Mutex::default(),
            batches_changed: Notify::new(),
            duties: Duties::from_settings(&settings, incarnation).map(Arc::new),
            leader_lease: Mutex::new(LeaderLease::new(vm, incarnation, settings.order_gap_ms)),
            quarantine: Mutex::new(Quarantine::new(LateRetryPolicy::Claimed)),
            crash_rows: Mutex::default(),
            crash_rows_unwritten: Notify::new(),
            crash_pointer: watch::Sender::new(None),
            permit_issuer: Mutex::default(),
            permit_questions: Mutex::default(),
            issuer_authority: Mutex::default(),
            silent_issuers: Mutex::default(),
            stream_origins: Mutex::default(),
            stream_rows: StreamRows::default(),
            pool_listed: Notify::new(),
            request_memory,
            answer_memory,
            text_memory: Mutex::new(TextMemory::new(shares.texts_bytes)),
            sample_lengths: Mutex::default(),
            load_signals: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
            metrics: Metrics::new(),
            stop: OnceLock::new(),
            caller_connections: AtomicUsize::new(0),
            close_connections: watch::Sender::new(false),
            settings,
        }
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Arc<RouteTable> {
        lock(&self.routes).clone()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns whether work may begin that ends by `ends_by_ms`: the exit of this VM
    /// would cut what lasts longer.
    pub(crate) fn admits(&self, ends_by_ms: u64) -> bool {
        self.stop.get().is_none_or(|stop| stop.admits(ends_by_ms))
    }

    /// Returns whether callers may be directed to this VM.
    ///
    /// It must have a configuration, the list of VMs and the rows of crashes, and not
    /// be draining.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.routes().version() > 0
            && lock(&self.members).has_been_read()
            && crash_rows::have_been_read(self)
    }

    /// Returns whether the arguments name this incarnation of this VM.
    pub(crate) fn is_own_incarnation(&self, vm: &str, incarnation: u64) -> bool {
        vm == &*self.settings.vm && incarnation == self.incarnation
    }

    /// Counts a run as in flight at an endpoint until the returned guard is dropped;
    /// its start must have been recorded in the quarantine.
    pub(crate) fn track_request(self: &Arc<Self>, endpoint: &Name, content: &Name) -> InFlight {
        let mut origin = StreamOrigin {
            service: "".into(),
            software: "".into(),
        };
        let mut incarnation = 0;
        if let Some(known) = lock(&self.pool).get_mut(endpoint) {
            known.on_run_start(now_ms());
            origin = known.record.origin();
            incarnation = known.record.started_unix_ms;
        }
        InFlight {
            server: self.clone(),
            endpoint: endpoint.clone(),
            origin,
            content: content.clone(),
            incarnation,
            started_ms: now_ms(),
            end: OnceLock::new(),
        }
    }
}

/// A guard that counts one request as in flight at an endpoint.
pub(crate) struct InFlight {
    server: Arc<Server>,
    pub(crate) endpoint: Name,
    /// The endpoint's service and software version, as they were listed at the start.
    pub(crate) origin: StreamOrigin,
    /// The fingerprint of the request's content.
    pub(crate) content: Name,
    /// The endpoint's incarnation, as it was listed at the start.
    pub(crate) incarnation: u64,
    pub(crate) started_ms: u64,
    /// How the run ended; without a value, it ended without an answer.
    end: OnceLock<RunEnd>,
}

impl InFlight {
    /// Records that the endpoint completed the run.
    pub(crate) fn mark_complete(&self) {
        // The first record of the end counts.
        let _ = self.end.set(RunEnd::Complete);
    }

    /// Records the end of a run whose whole answer was received.
    ///
    /// An answer to another request, or one that the endpoint did not sign, shows
    /// nothing of the run: the endpoint may still crash under it.
    pub(crate) fn record_answer(&self, head: &AnswerHead) {
        if head.is_not_run {
            self.mark_incomplete();
        } else if head.is_own_answer() {
            self.mark_complete();
        }
    }

    /// Records that the run did not start, or ended without any sign of a crash.
    pub(crate) fn mark_incomplete(&self) {
        let _ = self.end.set(RunEnd::Incomplete);
    }
}

impl InFlight {
    /// Logs that the run ended without an answer, unless it was so short that the
    /// request was probably cancelled.
    fn log_unanswered(&self) {
        let waited_ms = now_ms().saturating_sub(self.started_ms);
        if waited_ms < MIN_LOGGED_WAIT_MS {
            return;
        }
        self.server.metrics.unanswered_runs.inc();
        let listed = lock(&self.server.pool)
            .get(&self.endpoint)
            .map(|known| known.record.started_unix_ms);
        tracing::info!(content = %self.content, endpoint = %self.endpoint,
            incarnation = self.incarnation, listed_incarnation = listed, waited_ms,
            "run ended without an answer");
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(known) = lock(&self.server.pool).get_mut(&self.endpoint) {
            known.on_run_end(self.end.get().is_some());
        }
        let unanswered = RunEnd::Unanswered {
            incarnation: self.incarnation,
            started_ms: self.started_ms,
        };
        let end = self.end.get().copied().unwrap_or(unanswered);
        if end == unanswered {
            self.log_unanswered();
        }
        let (cleared, late_report) = {
            let mut quarantine = lock(&self.server.quarantine);
            let cleared = quarantine.on_end(now_ms(), &self.endpoint, &self.content, end);
            let late = quarantine.take_late_report(now_ms(), &self.endpoint, self.incarnation);
            (cleared, late)
        };
        if let Some(report) = late_report {
            crash::publish_late_report(&self.server, report);
        }
        if let Some(clearance) = cleared {
            crash_rows::publish_clearance(&self.server, clearance, &self.endpoint);
        }
        self.server.pool_changed.notify_one();
        self.server.waiting_rooms.on_place_free();
    }
}

/// Locks a mutex, ignoring poisoning: a panic in another task that held the
/// lock does not stop this one.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
