use std::{
    collections::BTreeSet,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle};

use super::{
    AnswerFault, StoreServer, StoreWriter, WhenDown,
    down::{fill_accept_queue, listen},
    sampler_answers::handle,
};
use crate::http::serve;

/// The behaviour of a sampler.
#[derive(Clone, Copy, Debug)]
pub struct SamplerSettings {
    /// The number of events in each sample.
    pub events: u64,
    /// The time between two events, in milliseconds.
    pub event_ms: u64,
    /// The number of bytes that are added to the data of each event.
    pub padding_bytes: usize,
    /// The time that a plain request takes, in milliseconds.
    pub work_ms: u64,
    /// The time that loading weights takes, in milliseconds.
    pub load_ms: u64,
}

/// A sampler that registers itself in the store.
#[derive(Debug)]
pub struct Sampler {
    /// The sampler's id.
    pub id: String,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) id: String,
    pub(super) service: String,
    pub(super) address: SocketAddr,
    pub(super) store: StoreWriter,
    pub(super) settings: SamplerSettings,
    /// The name and weights version of the loaded model.
    pub(super) model: Mutex<Option<(String, u64)>>,
    pub(super) orders: Mutex<Vec<Value>>,
    /// The requests that started to run, in order.
    pub(super) runs: Mutex<Vec<RunStart>>,
    pub(super) active_streams: AtomicU32,
    /// The senders of orders or questions, which have no id, by their connections.
    pub(super) unnamed_connections: Mutex<BTreeSet<SocketAddr>>,
    /// The faults of the next answers, of which the last one is used first.
    pub(super) answer_faults: Mutex<Vec<AnswerFault>>,
    /// The ids of requests that fail whenever they run.
    pub(super) failing_request_ids: Mutex<BTreeSet<String>>,
    /// The bodies of requests that crash the sampler as soon as they run.
    pub(super) crashing_bodies: Mutex<BTreeSet<Bytes>>,
    /// Whether it is about to leave, which its answers say and its entry does not.
    pub(super) is_leaving: AtomicBool,
    /// The version of its software, as its entry states it.
    pub(super) software: Mutex<String>,
    /// Its data centre and whether it is reclaimable, as its entry states them.
    pub(super) placement: Mutex<(String, bool)>,
    /// The request limit that its answers name.
    pub(super) request_limit: Mutex<Option<String>>,
    /// The times at which requests of all kinds arrived.
    pub(super) arrivals: Mutex<Vec<Instant>>,
    /// Whether it answers a request that crashes it, under the id of another one.
    pub(super) answers_before_crash: AtomicBool,
    pub(super) when_down: Mutex<WhenDown>,
    /// How long the sampler is down after a crash, in milliseconds.
    pub(super) restart_ms: AtomicU64,
    /// The times of its crashes.
    pub(super) crashes: Mutex<Vec<Instant>>,
    pub(super) is_up: AtomicBool,
    pub(super) crash_requested: Notify,
}

/// The start of a run of a request.
#[derive(Clone, Debug)]
pub struct RunStart {
    /// The id of the request.
    pub id: String,
    /// The body of the request.
    pub body: Bytes,
    /// The last event that the sender has, if it asks for those after it.
    pub after_event: Option<u64>,
    /// When the sampler began to run it.
    pub at: Instant,
    /// How long the sampler may take, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The account that the request names.
    pub account: Option<String>,
    /// Whether the key of an account was passed on with the request.
    pub has_key: bool,
}

impl Sampler {
    /// Starts a sampler and registers it in the store.
    ///
    /// `model` is the model that a sampler of a model service has loaded, or `None`
    /// for a plain service.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub fn try_start(
        id: &str,
        service: &str,
        model: Option<&str>,
        settings: SamplerSettings,
        store: &StoreServer,
    ) -> io::Result<Self> {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            store: store.writer(),
            settings,
            model: Mutex::new(model.map(|model| (model.to_owned(), 1))),
            orders: Mutex::default(),
            runs: Mutex::default(),
            active_streams: AtomicU32::new(0),
            unnamed_connections: Mutex::default(),
            answer_faults: Mutex::default(),
            failing_request_ids: Mutex::default(),
            crashing_bodies: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            software: Mutex::new("v1".to_owned()),
            placement: Mutex::new(("dc-1".to_owned(), false)),
            request_limit: Mutex::default(),
            arrivals: Mutex::default(),
            answers_before_crash: AtomicBool::new(false),
            when_down: Mutex::default(),
            restart_ms: AtomicU64::new(DEFAULT_RESTART_MS),
            crashes: Mutex::default(),
            is_up: AtomicBool::new(true),
            crash_requested: Notify::new(),
        });
        let task = tokio::spawn(run_and_restart(shared.clone(), listener));
        shared.register();
        Ok(Self {
            id: id.to_owned(),
            shared,
            task,
        })
    }

    /// Returns the address at which the sampler listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the ids of the requests that ran, in the order of their start.
    #[must_use]
    pub fn run_request_ids(&self) -> Vec<String> {
        let runs = lock(&self.shared.runs);
        runs.iter().map(|run| run.id.clone()).collect()
    }

    /// Returns the starts of the runs of requests with this body.
    #[must_use]
    pub fn runs_of(&self, body: &[u8]) -> Vec<RunStart> {
        let runs = lock(&self.shared.runs);
        runs.iter()
            .filter(|run| *run.body == *body)
            .cloned()
            .collect()
    }

    /// Returns the starts of all runs.
    #[must_use]
    pub fn all_runs(&self) -> Vec<RunStart> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the starts of the runs that began after a time.
    #[must_use]
    pub fn runs_after(&self, at: Instant) -> Vec<RunStart> {
        let runs = lock(&self.shared.runs);
        runs.iter().filter(|run| run.at > at).cloned().collect()
    }

    /// Makes the sampler say in all answers that it is about to leave, until it starts
    /// again.
    pub fn announce_leaving(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Sets the version of the sampler's software, and writes its entry again.
    pub fn set_software(&self, software: &str) {
        software.clone_into(&mut lock(&self.shared.software));
        self.shared.register();
    }

    /// Sets the sampler's data centre and whether it is reclaimable, and writes its entry
    /// again.
    pub fn place(&self, data_centre: &str, is_spot: bool) {
        *lock(&self.shared.placement) = (data_centre.to_owned(), is_spot);
        self.shared.register();
    }

    /// Returns the version of the sampler's software.
    #[must_use]
    pub fn software(&self) -> String {
        lock(&self.shared.software).clone()
    }

    /// Makes the sampler name a request limit in all answers, or none.
    pub fn name_limit(&self, limit: Option<&str>) {
        *lock(&self.shared.request_limit) = limit.map(str::to_owned);
    }

    /// Returns the times at which requests of all kinds arrived.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Writes the sampler's entry to the store again.
    pub fn register_again(&self) {
        self.shared.register();
    }

    /// Returns the times of the sampler's crashes.
    #[must_use]
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.shared.crashes).clone()
    }

    /// Makes requests with this body crash the sampler as soon as they run.
    pub fn crash_on(&self, body: &[u8]) {
        lock(&self.shared.crashing_bodies).insert(Bytes::copy_from_slice(body));
    }

    /// Makes no request crash the sampler any more.
    pub fn crash_on_nothing(&self) {
        lock(&self.shared.crashing_bodies).clear();
    }

    /// Sets what callers notice of the sampler after a crash.
    pub fn set_when_down(&self, when_down: WhenDown) {
        *lock(&self.shared.when_down) = when_down;
    }

    /// Makes the sampler send an answer to another request before a request crashes
    /// it.
    pub fn answer_before_crash(&self) {
        self.shared
            .answers_before_crash
            .store(true, Ordering::Relaxed);
    }

    /// Sets how long the sampler is down after a crash.
    pub fn set_restart_ms(&self, restart_ms: u64) {
        self.shared.restart_ms.store(restart_ms, Ordering::Relaxed);
    }

    /// Crashes the sampler, whatever runs on it.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the number of open streams.
    #[must_use]
    pub fn active_streams(&self) -> u32 {
        self.shared.active_streams.load(Ordering::Relaxed)
    }

    /// Makes the next `count` answers to requests invalid.
    pub fn inject_answer_faults(&self, fault: AnswerFault, count: usize) {
        lock(&self.shared.answer_faults).extend(std::iter::repeat_n(fault, count));
    }

    /// Makes the answers to requests valid again.
    pub fn clear_answer_faults(&self) {
        lock(&self.shared.answer_faults).clear();
    }

    /// Answers every run of a request with a failure.
    pub fn fail_request(&self, id: &str) {
        lock(&self.shared.failing_request_ids).insert(id.to_owned());
    }

    /// Returns the accepted orders.
    #[must_use]
    pub fn accepted_orders(&self) -> Vec<Value> {
        lock(&self.shared.orders).clone()
    }
}

/// How long a sampler is down after a crash unless a test sets another time, in
/// milliseconds.
const DEFAULT_RESTART_MS: u64 = 1_000;
/// How long a silent sampler stays listed, in milliseconds: three intervals of its
/// heartbeat.
const LISTED_WHILE_SILENT_MS: u64 = 3_600;
/// The start of the first incarnation, in milliseconds since the Unix epoch.
const FIRST_START_UNIX_MS: u64 = 1_700_000_000_000;

/// Serves requests; closes all connections at a crash and restarts after a while
/// under the same id and address.
async fn run_and_restart(shared: Arc<Shared>, first_listener: TcpListener) {
    let mut listener = first_listener;
    loop {
        let handler_shared = shared.clone();
        let handler = move |request| handle(handler_shared.clone(), request);
        let mut serving = Box::pin(serve(listener, handler));
        tokio::select! {
            () = serving.as_mut() => return,
            () = shared.crash_requested.notified() => {}
        }
        let when_down = *lock(&shared.when_down);
        let waiting = match when_down {
            WhenDown::Unreachable => fill_accept_queue(shared.address).await,
            WhenDown::Refuses | WhenDown::Hangs => Vec::new(),
        };
        if when_down == WhenDown::Refuses {
            drop(serving);
            sleep_down_time(&shared).await;
        } else {
            tokio::time::sleep(Duration::from_millis(LISTED_WHILE_SILENT_MS)).await;
            shared.store.remove("servers", &shared.id);
            sleep_down_time(&shared).await;
            drop((waiting, serving));
        }
        listener = loop {
            match listen(shared.address) {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        lock(&shared.orders).clear();
        shared.is_leaving.store(false, Ordering::SeqCst);
        shared.is_up.store(true, Ordering::SeqCst);
        shared.register();
    }
}

async fn sleep_down_time(shared: &Shared) {
    let down_ms = shared.restart_ms.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(down_ms)).await;
}

impl Shared {
    /// Returns while the sampler is up, and never if it is down.
    pub(super) async fn continue_if_up(&self) {
        if !self.is_up.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
    }

    pub(super) fn crash(&self) {
        if self.is_up.swap(false, Ordering::SeqCst) {
            lock(&self.crashes).push(Instant::now());
            self.crash_requested.notify_one();
        }
    }

    /// Writes the sampler's entry to the store, at the start and after each
    /// change of weights.
    pub(super) fn register(&self) {
        let restarts = u64::try_from(lock(&self.crashes).len()).unwrap_or(u64::MAX);
        let started_unix_ms = FIRST_START_UNIX_MS + restarts * 1_000;
        let models: Vec<Value> = lock(&self.model)
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect();
        let (zone, is_spot) = lock(&self.placement).clone();
        let mut entry = json!({"service": self.service, "address": self.address, "zone": zone,
            "slots": 8, "version": *lock(&self.software), "state": "ready", "cold_ms": 0, "models": models,
            "seq": 4, "born": started_unix_ms, "stage": "both"});
        if is_spot {
            entry["spot"] = json!(true);
        }
        let entry = STANDARD.encode(entry.to_string());
        self.store.put("servers", &self.id, entry);
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
