use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::{Method, Request, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::{sync::Notify, task::JoinSet};

use super::RowStore;
use crate::http::{Answer, bind, bytes, json as json_answer, read_bytes, serve, status};

/// The users' platform's store, with one address for each VM, so that a test
/// can have it turn some of them away.
#[derive(Debug)]
pub struct StoreServer {
    /// Where it listens, one address a VM.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
    started: Instant,
}

#[derive(Debug, Default)]
struct State {
    store: RowStore,
    /// The numbers of the addresses that are turned away.
    turned_away: BTreeSet<usize>,
    /// How many answers to transactions are lost after they took effect.
    lost_answers: u32,
}

impl StoreServer {
    /// Starts a store for a number of VMs.
    ///
    /// # Errors
    ///
    /// Those of binding ports.
    pub async fn try_start(vms: usize) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Notify::new(),
            started: Instant::now(),
        });
        let mut tasks = JoinSet::new();
        let mut addresses = Vec::new();
        for number in 0..vms {
            let (listener, address) = bind().await?;
            addresses.push(address);
            let shared = shared.clone();
            let handler = move |request| handle(shared.clone(), number, request);
            tasks.spawn(serve(listener, handler));
        }
        Ok(Self {
            addresses,
            shared,
            _tasks: tasks,
        })
    }

    /// Lets `act` look at what is kept; followers are told of changes.
    pub fn with_store<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut RowStore) -> T,
    {
        let result = act(&mut self.shared.lock().store);
        self.shared.changed.notify_waiters();
        result
    }

    /// Returns what a sampler writes its entry with.
    #[must_use]
    pub fn writer(&self) -> StoreWriter {
        StoreWriter(self.shared.clone())
    }

    /// Turns these VMs away, and no others.
    pub fn refuse_vms<I>(&self, vms: I)
    where
        I: IntoIterator<Item = usize>,
    {
        self.shared.lock().turned_away = vms.into_iter().collect();
        self.shared.changed.notify_waiters();
    }

    /// Loses the answers to the next transactions, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().lost_answers = count;
    }
}

/// Writes rows without any condition.
#[derive(Clone, Debug)]
pub struct StoreWriter(Arc<Shared>);

impl StoreWriter {
    /// Writes a row.
    pub fn put(&self, table: &str, name: &str, value: String) {
        self.0.lock().store.put(table, name, value);
        self.0.changed.notify_waiters();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        // A store that has run for a day when the test starts.
        86_400_000 + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

fn parameter(request: &Request<Incoming>, wanted: &str) -> Option<String> {
    let query = request.uri().query()?;
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let found = pairs.find(|(name, _)| name == wanted);
    found.map(|(_, value)| value.into_owned())
}

async fn handle(shared: Arc<Shared>, number: usize, request: Request<Incoming>) -> Answer {
    if shared.lock().turned_away.contains(&number) {
        return status(StatusCode::SERVICE_UNAVAILABLE, "turned away");
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::POST, "/v1/rows-tx") => transact(&shared, request).await,
        (Method::GET, "/v1/rows-get") => read(&shared, &request),
        (Method::GET, "/v1/rows-parts") => {
            let table = parameter(&request, "table").unwrap_or_default();
            let after = parameter(&request, "after");
            let parts = shared.lock().store.parts(&table).into_iter();
            let parts: Vec<String> = parts
                .filter(|part| after.as_ref().is_none_or(|after| part > after))
                .collect();
            json_answer(&json!({"parts": parts, "has_more": false}))
        }
        (Method::GET, "/v1/rows-feed") => follow(&shared, number, &request).await,
        (method, path) => objects(&shared, &method, path, request).await,
    }
}

async fn transact(shared: &Shared, request: Request<Incoming>) -> Answer {
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return status(StatusCode::BAD_REQUEST, "not JSON");
    };
    let (result, is_lost) = {
        let mut state = shared.lock();
        let result = state.store.transact(&body);
        let is_lost = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        (result, is_lost)
    };
    shared.changed.notify_waiters();
    if is_lost {
        std::future::pending::<()>().await;
    }
    match result {
        Ok(version) => json_answer(&json!({"row_version": version, "now_ms": shared.now_ms()})),
        Err(rows) => {
            let body = json!({"rows": rows, "row_version": 0, "now_ms": shared.now_ms()});
            let mut answer = json_answer(&body);
            *answer.status_mut() = StatusCode::PRECONDITION_FAILED;
            answer
        }
    }
}

fn read(shared: &Shared, request: &Request<Incoming>) -> Answer {
    let text = |name: &str| parameter(request, name).unwrap_or_default();
    let limit = parameter(request, "limit").and_then(|text| text.parse().ok());
    let limit = limit.unwrap_or(500_usize).min(500);
    let state = shared.lock();
    let to = parameter(request, "to");
    let mut rows = state
        .store
        .read(&text("table"), &text("part"), &text("from"), to.as_deref());
    let has_more = rows.len() > limit;
    rows.truncate(limit);
    json_answer(&json!({"rows": rows, "has_more": has_more,
        "row_version": state.store.version(), "now_ms": shared.now_ms()}))
}

async fn follow(shared: &Shared, number: usize, request: &Request<Incoming>) -> Answer {
    let table = parameter(request, "table").unwrap_or_default();
    let after = parameter(request, "after").and_then(|text| text.parse().ok());
    let wait_ms = parameter(request, "wait_ms").and_then(|text| text.parse().ok());
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.lock();
            if state.turned_away.contains(&number) {
                return status(StatusCode::SERVICE_UNAVAILABLE, "turned away");
            }
            let Some(rows) = state.store.changes(&table, after.unwrap_or(0)) else {
                return status(StatusCode::GONE, "history lost");
            };
            if !rows.is_empty() || tokio::time::Instant::now() >= until {
                return json_answer(&json!({"rows": rows,
                    "row_version": state.store.version(), "now_ms": shared.now_ms()}));
            }
        }
        // Whichever comes first, the table is looked at again.
        let _ = tokio::time::timeout_at(until, changed).await;
    }
}

async fn objects(
    shared: &Shared,
    method: &Method,
    path: &str,
    request: Request<Incoming>,
) -> Answer {
    let name = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
    if let Some(name) = name("/v1/blob-put/").filter(|_| method == Method::PUT) {
        let body = match read_bytes(request).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let mut state = shared.lock();
        if state.store.objects.contains_key(&name) {
            return status(StatusCode::PRECONDITION_FAILED, "there is one");
        }
        state.store.objects.insert(name, body.to_vec());
        return status(StatusCode::OK, "");
    }
    if let Some(name) = name("/v1/blob-get/") {
        return match shared.lock().store.objects.get(&name) {
            Some(body) => bytes(body.clone().into()),
            None => status(StatusCode::NOT_FOUND, "no such object"),
        };
    }
    if let Some(name) = name("/v1/blob-drop/") {
        shared.lock().store.objects.remove(&name);
        return status(StatusCode::OK, "");
    }
    status(StatusCode::NOT_FOUND, "no such call")
}
