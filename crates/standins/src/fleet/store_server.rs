use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use hyper::{Method, Request, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::{sync::Notify, task::JoinSet};

use super::RowStore;
use crate::http::{Answer, bind, bytes_answer, json_answer, read_bytes, serve, status_answer};

/// The store of the users' platform, with one address for each VM, so that a
/// test can make it refuse some of them.
#[derive(Debug)]
pub struct StoreServer {
    /// The addresses on which it listens, one for each VM.
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
    /// The indexes of the VMs whose requests are refused.
    refused_vms: BTreeSet<usize>,
    /// The addresses at which a VM reaches samplers, by the VM's index and the sampler's
    /// own address.
    links: BTreeMap<(usize, SocketAddr), SocketAddr>,
    /// The number of transactions that take effect but whose answers are lost.
    answers_to_lose: u32,
}

/// The most bytes of the value of a row.
pub const ROW_BYTES: usize = 64 * 1024;
/// The most bytes of an object.
pub const OBJECT_BYTES: usize = 8 * 1024 * 1024;
/// The most bytes of a transaction, and of the rows of one answer.
const CALL_BYTES: usize = 1_000_000;
/// The most entries of a transaction.
const TX_ENTRIES: usize = 100;

impl StoreServer {
    /// Starts a store with one address for each of `vms` VMs.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub async fn try_start(vms: usize) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Notify::new(),
            started: Instant::now(),
        });
        let mut tasks = JoinSet::new();
        let mut addresses = Vec::new();
        for vm in 0..vms {
            let (listener, address) = bind().await?;
            addresses.push(address);
            let shared = shared.clone();
            let handler = move |request| handle(shared.clone(), vm, request);
            tasks.spawn(serve(listener, handler));
        }
        Ok(Self {
            addresses,
            shared,
            _tasks: tasks,
        })
    }

    /// Calls `act` with the rows and objects, then notifies the clients that
    /// follow a table.
    pub fn with_store<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut RowStore) -> T,
    {
        let result = act(&mut self.shared.lock().store);
        self.shared.changed.notify_waiters();
        result
    }

    /// Returns a handle with which a sampler writes its entry.
    #[must_use]
    pub fn writer(&self) -> StoreWriter {
        StoreWriter(self.shared.clone())
    }

    /// Refuses the requests of these VMs and serves all others.
    pub fn refuse_vms<I>(&self, vms: I)
    where
        I: IntoIterator<Item = usize>,
    {
        self.shared.lock().refused_vms = vms.into_iter().collect();
        self.shared.changed.notify_waiters();
    }

    /// Tells a VM other addresses of samplers than they state.
    pub fn set_links<I>(&self, vm: usize, links: I)
    where
        I: IntoIterator<Item = (SocketAddr, SocketAddr)>,
    {
        let links = links.into_iter().map(|(own, linked)| ((vm, own), linked));
        self.shared.lock().links.extend(links);
    }

    /// Lets the next `count` transactions take effect but loses their answers.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().answers_to_lose = count;
    }
}

/// Writes and removes rows without a condition.
#[derive(Clone, Debug)]
pub struct StoreWriter(Arc<Shared>);

impl StoreWriter {
    /// Writes a row and notifies the clients that follow its table.
    pub fn put(&self, table: &str, name: &str, value: String) {
        self.0.lock().store.put(table, name, value);
        self.0.changed.notify_waiters();
    }

    /// Removes a row and notifies the clients that follow its table.
    pub fn remove(&self, table: &str, name: &str) {
        self.0.lock().store.remove(table, name);
        self.0.changed.notify_waiters();
    }
}

impl State {
    /// Replaces the addresses of samplers in rows by those that a VM is told.
    fn link_samplers(&self, vm: usize, rows: &mut [Value]) {
        for row in rows.iter_mut().filter(|row| row["table"] == "servers") {
            let value = row["value"]
                .as_str()
                .and_then(|text| STANDARD.decode(text).ok());
            let entry = value.and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok());
            let Some(mut entry) = entry else { continue };
            let own = entry["address"].as_str().and_then(|text| text.parse().ok());
            let linked = own.and_then(|own: SocketAddr| self.links.get(&(vm, own)));
            if let Some(linked) = linked {
                entry["address"] = json!(linked);
                row["value"] = json!(STANDARD.encode(entry.to_string()));
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        // The store's clock reads one day when the test starts.
        86_400_000 + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

fn query_parameter(request: &Request<Incoming>, parameter: &str) -> Option<String> {
    let query = request.uri().query()?;
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let found = pairs.find(|(name, _)| name == parameter);
    found.map(|(_, value)| value.into_owned())
}

async fn handle(shared: Arc<Shared>, vm: usize, request: Request<Incoming>) -> Answer {
    if shared.lock().refused_vms.contains(&vm) {
        return status_answer(StatusCode::SERVICE_UNAVAILABLE, "turned away");
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::POST, "/v1/rows-tx") => transact(&shared, request).await,
        (Method::GET, "/v1/rows-get") => read_rows(&shared, vm, &request),
        (Method::GET, "/v1/rows-parts") => {
            let table = query_parameter(&request, "table").unwrap_or_default();
            let after = query_parameter(&request, "after");
            let parts = shared.lock().store.parts(&table).into_iter();
            let parts: Vec<String> = parts
                .filter(|part| after.as_ref().is_none_or(|after| part > after))
                .collect();
            json_answer(&json!({"parts": parts, "has_more": false}))
        }
        (Method::GET, "/v1/rows-feed") => follow_table(&shared, vm, &request).await,
        (method, path) => handle_object(&shared, &method, path, request).await,
    }
}

async fn transact(shared: &Shared, request: Request<Incoming>) -> Answer {
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    if body.len() > CALL_BYTES {
        return status_answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the transaction is too large",
        );
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return status_answer(StatusCode::BAD_REQUEST, "not JSON");
    };
    if let Some(reason) = RowStore::excess(&body, ROW_BYTES, TX_ENTRIES) {
        return status_answer(StatusCode::PAYLOAD_TOO_LARGE, reason);
    }
    let (result, loses_answer) = {
        let mut state = shared.lock();
        let result = state.store.transact(&body);
        let loses_answer = state.answers_to_lose > 0;
        state.answers_to_lose = state.answers_to_lose.saturating_sub(1);
        (result, loses_answer)
    };
    shared.changed.notify_waiters();
    if loses_answer {
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

fn read_rows(shared: &Shared, vm: usize, request: &Request<Incoming>) -> Answer {
    let parameter_or_empty = |name: &str| query_parameter(request, name).unwrap_or_default();
    let limit = query_parameter(request, "limit").and_then(|text| text.parse().ok());
    let limit = limit.unwrap_or(500_usize).min(500);
    let state = shared.lock();
    let to = query_parameter(request, "to");
    let mut rows = state.store.read(
        &parameter_or_empty("table"),
        &parameter_or_empty("part"),
        &parameter_or_empty("from"),
        to.as_deref(),
    );
    let mut bytes = 0;
    let fitting = rows.iter().take(limit).take_while(|row| {
        let is_first = bytes == 0;
        bytes += row["value"].as_str().map_or(0, str::len);
        is_first || bytes <= CALL_BYTES
    });
    let count = fitting.count();
    let has_more = rows.len() > count;
    rows.truncate(count);
    state.link_samplers(vm, &mut rows);
    json_answer(&json!({"rows": rows, "has_more": has_more,
        "row_version": state.store.version(), "now_ms": shared.now_ms()}))
}

async fn follow_table(shared: &Shared, vm: usize, request: &Request<Incoming>) -> Answer {
    let table = query_parameter(request, "table").unwrap_or_default();
    let after = query_parameter(request, "after").and_then(|text| text.parse().ok());
    let wait_ms = query_parameter(request, "wait_ms").and_then(|text| text.parse().ok());
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.lock();
            if state.refused_vms.contains(&vm) {
                return status_answer(StatusCode::SERVICE_UNAVAILABLE, "turned away");
            }
            let Some(mut rows) = state.store.changes(&table, after.unwrap_or(0)) else {
                return status_answer(StatusCode::GONE, "history lost");
            };
            state.link_samplers(vm, &mut rows);
            if !rows.is_empty() || tokio::time::Instant::now() >= deadline {
                return json_answer(&json!({"rows": rows,
                    "row_version": state.store.version(), "now_ms": shared.now_ms()}));
            }
        }
        // The table is read again after a change and at the deadline.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

async fn handle_object(
    shared: &Shared,
    method: &Method,
    path: &str,
    request: Request<Incoming>,
) -> Answer {
    let object_name = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
    if let Some(name) = object_name("/v1/blob-put/").filter(|_| method == Method::PUT) {
        let body = match read_bytes(request).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        if body.len() > OBJECT_BYTES {
            return status_answer(StatusCode::PAYLOAD_TOO_LARGE, "the object is too large");
        }
        let mut state = shared.lock();
        if state.store.objects.contains_key(&name) {
            return status_answer(StatusCode::PRECONDITION_FAILED, "there is one");
        }
        state.store.objects.insert(name, body.to_vec());
        return status_answer(StatusCode::OK, "");
    }
    if let Some(name) = object_name("/v1/blob-get/") {
        return match shared.lock().store.objects.get(&name) {
            Some(body) => bytes_answer(body.clone().into()),
            None => status_answer(StatusCode::NOT_FOUND, "no such object"),
        };
    }
    if let Some(name) = object_name("/v1/blob-drop/") {
        shared.lock().store.objects.remove(&name);
        return status_answer(StatusCode::OK, "");
    }
    if path == "/v1/blob-list" {
        let prefix = query_parameter(&request, "prefix").unwrap_or_default();
        let state = shared.lock();
        let names = state.store.objects.keys();
        let names: Vec<&String> = names.filter(|name| name.starts_with(&prefix)).collect();
        return json_answer(&json!({"names": names, "has_more": false}));
    }
    status_answer(StatusCode::NOT_FOUND, "no such call")
}
