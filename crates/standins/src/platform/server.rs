use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use chicoryreach::wire::platform::ListedVm;
use hyper::{Method, Request, StatusCode, body::Incoming};
use tokio::task::JoinHandle;

use super::{Faults, Store};
use crate::http::{Answer, bind, bytes, json, read_bytes, read_json, serve, status};

/// How long an answer that is lost keeps its caller waiting.
const LOST_MS: u64 = 60_000;

/// A platform that runs in this process.
#[derive(Debug)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: Faults,
    window: Option<(Instant, u32)>,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Those of binding a port.
    pub async fn try_start() -> io::Result<Self> {
        let (listener, address) = bind().await?;
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let handler = move |request| handle(shared.clone(), request);
        let task = tokio::spawn(serve(listener, handler));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Changes what is wrong.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns what is wrong now; answers that were lost are counted down.
    #[must_use]
    pub fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    /// Changes the list of VMs.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        lock(&self.state).store.vms = vms;
    }

    /// Lets `act` look at what is kept.
    pub fn with_store<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut Store) -> T,
    {
        act(&mut lock(&self.state).store)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Answer {
    if request.uri().path().starts_with("/admin/") {
        return admin(&state, request).await;
    }
    let faults = lock(&state).faults;
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.is_down {
        return status(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    answer(&state, request)
        .await
        .unwrap_or_else(|refused| refused)
}

async fn admin(state: &Mutex<State>, request: Request<Incoming>) -> Answer {
    match request.uri().path() {
        "/admin/faults" => match read_json::<Faults>(request).await {
            Ok(faults) => {
                lock(state).faults = faults;
                json(&faults)
            }
            Err(refused) => refused,
        },
        "/admin/vms" => match read_json::<Vec<ListedVm>>(request).await {
            Ok(vms) => {
                lock(state).store.vms = vms;
                json(&())
            }
            Err(refused) => refused,
        },
        "/admin/counts" => {
            let state = lock(state);
            json(&(state.store.reads, state.store.writes))
        }
        _ => status(StatusCode::NOT_FOUND, "no such order"),
    }
}

async fn answer(state: &Mutex<State>, request: Request<Incoming>) -> Result<Answer, Answer> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if let Some(name) = path.strip_prefix("/objects/") {
        return object(state, &method, name, request).await;
    }
    match path.as_str() {
        "/vms" => Ok(json(&lock(state).store.vms)),
        "/table/get" => {
            let get = read_json(request).await?;
            Ok(json(&lock(state).store.get(&get)))
        }
        "/table/scan" => {
            let scan = read_json(request).await?;
            Ok(json(&lock(state).store.scan(&scan)))
        }
        "/table/transact" => {
            let transaction = read_json(request).await?;
            if !try_count_write(state) {
                return Err(status(StatusCode::TOO_MANY_REQUESTS, "too many writes"));
            }
            let outcome = lock(state).store.transact(&transaction);
            if try_lose_answer(state) {
                tokio::time::sleep(Duration::from_millis(LOST_MS)).await;
            }
            Ok(json(&outcome))
        }
        _ => Err(status(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn object(
    state: &Mutex<State>,
    method: &Method,
    name: &str,
    request: Request<Incoming>,
) -> Result<Answer, Answer> {
    if method == Method::PUT {
        let body = read_bytes(request).await?;
        lock(state).store.objects.insert(name.into(), body);
        return Ok(bytes(Bytes::new()));
    }
    if method == Method::DELETE {
        lock(state).store.objects.remove(name);
        return Ok(bytes(Bytes::new()));
    }
    let found = lock(state).store.objects.get(name).cloned();
    found
        .map(bytes)
        .ok_or_else(|| status(StatusCode::NOT_FOUND, "no such object"))
}

fn try_count_write(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let most = state.faults.max_writes_per_s;
    if most == 0 {
        return true;
    }
    let now = Instant::now();
    let (from, count) = state
        .window
        .filter(|(from, _)| now - *from < Duration::from_secs(1))
        .unwrap_or((now, 0));
    state.window = Some((from, count + 1));
    count < most
}

fn try_lose_answer(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let is_lost = state.faults.lose_answers > 0;
    state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
    is_lost
}
