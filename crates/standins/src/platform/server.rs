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
use crate::http::{
    Answer, bind, bytes_answer, json_answer, read_bytes, read_json, serve, status_answer,
};

/// The time for which the caller of a lost answer is kept waiting.
const LOST_ANSWER_DELAY_MS: u64 = 60_000;

/// A platform stand-in that runs in this process.
#[derive(Debug)]
pub struct Platform {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: Faults,
    /// The start of the current second and the writes counted in it.
    write_window: Option<(Instant, u32)>,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
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

    /// Sets the faults that are in effect.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the faults that are in effect.
    ///
    /// `lose_answers` counts down with each lost answer.
    #[must_use]
    pub fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        lock(&self.state).store.vms = vms;
    }

    /// Calls `act` with the store and returns its result.
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
        return answer_admin_request(&state, request).await;
    }
    let faults = lock(&state).faults;
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.is_down {
        return status_answer(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    answer_request(&state, request)
        .await
        .unwrap_or_else(|error_answer| error_answer)
}

async fn answer_admin_request(state: &Mutex<State>, request: Request<Incoming>) -> Answer {
    match request.uri().path() {
        "/admin/faults" => match read_json::<Faults>(request).await {
            Ok(faults) => {
                lock(state).faults = faults;
                json_answer(&faults)
            }
            Err(error_answer) => error_answer,
        },
        "/admin/vms" => match read_json::<Vec<ListedVm>>(request).await {
            Ok(vms) => {
                lock(state).store.vms = vms;
                json_answer(&())
            }
            Err(error_answer) => error_answer,
        },
        "/admin/counts" => {
            let state = lock(state);
            json_answer(&(state.store.reads, state.store.writes))
        }
        _ => status_answer(StatusCode::NOT_FOUND, "no such order"),
    }
}

async fn answer_request(
    state: &Mutex<State>,
    request: Request<Incoming>,
) -> Result<Answer, Answer> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if let Some(name) = path.strip_prefix("/objects/") {
        return answer_object_request(state, &method, name, request).await;
    }
    match path.as_str() {
        "/vms" => Ok(json_answer(&lock(state).store.vms)),
        "/table/get" => {
            let get = read_json(request).await?;
            Ok(json_answer(&lock(state).store.get(&get)))
        }
        "/table/scan" => {
            let scan = read_json(request).await?;
            Ok(json_answer(&lock(state).store.scan(&scan)))
        }
        "/table/transact" => {
            let transaction = read_json(request).await?;
            if !try_admit_write(state) {
                return Err(status_answer(
                    StatusCode::TOO_MANY_REQUESTS,
                    "too many writes",
                ));
            }
            let outcome = lock(state).store.transact(&transaction);
            if take_lost_answer(state) {
                tokio::time::sleep(Duration::from_millis(LOST_ANSWER_DELAY_MS)).await;
            }
            Ok(json_answer(&outcome))
        }
        _ => Err(status_answer(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn answer_object_request(
    state: &Mutex<State>,
    method: &Method,
    name: &str,
    request: Request<Incoming>,
) -> Result<Answer, Answer> {
    if method == Method::PUT {
        let body = read_bytes(request).await?;
        lock(state).store.objects.insert(name.into(), body);
        return Ok(bytes_answer(Bytes::new()));
    }
    if method == Method::DELETE {
        lock(state).store.objects.remove(name);
        return Ok(bytes_answer(Bytes::new()));
    }
    let found = lock(state).store.objects.get(name).cloned();
    found
        .map(bytes_answer)
        .ok_or_else(|| status_answer(StatusCode::NOT_FOUND, "no such object"))
}

/// Counts a write and returns whether the limit per second admits it.
fn try_admit_write(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let max_writes = state.faults.max_writes_per_s;
    if max_writes == 0 {
        return true;
    }
    let now = Instant::now();
    let (window_start, count) = state
        .write_window
        .filter(|(window_start, _)| now - *window_start < Duration::from_secs(1))
        .unwrap_or((now, 0));
    state.write_window = Some((window_start, count + 1));
    count < max_writes
}

/// Returns whether an answer is to be lost, and counts it down.
fn take_lost_answer(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let is_lost = state.faults.lose_answers > 0;
    state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
    is_lost
}
