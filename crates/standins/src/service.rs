//! A stand-in for a plain service. It counts the runs of each request.

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

use crate::http::{Answer, bind, json_answer, read_bytes, serve};

/// The answer of a plain service to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceAnswer {
    /// The id of the call.
    pub request_id: String,
    /// The path of the call.
    pub path: String,
    /// The body of the call.
    pub asked: String,
}

/// A plain service that runs in this process.
#[derive(Debug)]
pub struct Service {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The number of runs of each request id.
    run_counts: Arc<Mutex<BTreeMap<String, u32>>>,
    holds_answers: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Service {
    /// Starts a service whose calls take `work_ms` milliseconds each.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub async fn try_start(work_ms: u64) -> io::Result<Self> {
        let (listener, address) = bind().await?;
        let run_counts: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let shared = run_counts.clone();
        let holds_answers = watch::Sender::new(false);
        let hold_receiver = holds_answers.subscribe();
        let handler =
            move |request| handle(shared.clone(), hold_receiver.clone(), work_ms, request);
        let task = tokio::spawn(serve(listener, handler));
        Ok(Self {
            address,
            run_counts,
            holds_answers,
            task,
        })
    }

    /// Starts or stops holding back the answers.
    pub fn hold_answers(&self, holds_answers: bool) {
        self.holds_answers.send_replace(holds_answers);
    }

    /// Returns the number of runs of each request id.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.run_counts
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
    run_counts: Arc<Mutex<BTreeMap<String, u32>>>,
    mut hold_receiver: watch::Receiver<bool>,
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
        Err(error_answer) => return error_answer,
    };
    *run_counts
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .entry(id.clone())
        .or_default() += 1;
    if work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
    }
    // Fails only if the service was dropped.
    let _ = hold_receiver.wait_for(|holds_answers| !holds_answers).await;
    json_answer(&ServiceAnswer {
        request_id: id,
        path,
        asked: String::from_utf8_lossy(&body).into_owned(),
    })
}
