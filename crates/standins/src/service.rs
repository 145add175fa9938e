//! A plain service, which keeps count of what it was asked to do.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hyper::{Request, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, task::JoinHandle};

use crate::http::{Answer, bind, json, read_bytes, serve};

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceAnswer {
    /// The id that the call carried.
    pub request_id: String,
    /// The path that was called.
    pub path: String,
    /// What was asked.
    pub asked: String,
}

/// A plain service that runs in this process.
#[derive(Debug)]
pub struct Service {
    /// Where it listens.
    pub address: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    is_held: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Service {
    /// Starts a service whose calls take `work_ms` milliseconds each.
    ///
    /// # Errors
    ///
    /// Those of binding a port.
    pub async fn try_start(work_ms: u64) -> io::Result<Self> {
        let (listener, address) = bind().await?;
        let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let shared = runs.clone();
        let is_held = watch::Sender::new(false);
        let held = is_held.subscribe();
        let handler = move |request| handle(shared.clone(), held.clone(), work_ms, request);
        let task = tokio::spawn(serve(listener, handler));
        Ok(Self {
            address,
            runs,
            is_held,
            task,
        })
    }

    /// Holds the answers back, or lets them go.
    pub fn hold_answers(&self, is_held: bool) {
        self.is_held.send_replace(is_held);
    }

    /// Returns how often each request id was run.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn handle(
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    mut held: watch::Receiver<bool>,
    work_ms: u64,
    request: Request<Incoming>,
) -> Answer {
    let id = request
        .headers()
        .get("x-request-id")
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let path = request.uri().path().to_owned();
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(refused) => return refused,
    };
    *runs
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .entry(id.clone())
        .or_default() += 1;
    if work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
    }
    // An error means that the service is gone.
    let _ = held.wait_for(|is_held| !is_held).await;
    json(&ServiceAnswer {
        request_id: id,
        path,
        asked: String::from_utf8_lossy(&body).into_owned(),
    })
}
