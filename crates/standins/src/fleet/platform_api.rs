use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use hyper::{Request, StatusCode, body::Incoming};
use serde_json::Value;
use tokio::task::JoinSet;

use crate::http::{Answer, bind, read_bytes, serve, status_answer};

/// A call to the platform's API.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// When it arrived.
    pub at: Instant,
    /// The path, which names the duty.
    pub path: String,
    /// The VM that made it.
    pub holder: String,
    /// Its fence.
    pub fence: u64,
    /// The body.
    pub body: Value,
}

/// How the platform's API treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ApiState {
    /// They are recorded and answered.
    #[default]
    Up,
    /// They are recorded, but not answered.
    LosesAnswers,
    /// They are neither recorded nor carried out, and answered with a server error.
    Down,
}

/// The platform's API, which records calls and checks nothing.
#[derive(Debug)]
pub struct PlatformApi {
    /// The address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    _tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Shared {
    state: ApiState,
    /// The data centre that has no endpoint available.
    dry: Option<String>,
    calls: Vec<DutyCall>,
}

impl PlatformApi {
    /// Starts the API.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub async fn try_start() -> io::Result<Self> {
        let (listener, address) = bind().await?;
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let mut tasks = JoinSet::new();
        let served = shared.clone();
        tasks.spawn(serve(listener, move |request| {
            handle(served.clone(), request)
        }));
        Ok(Self {
            address,
            shared,
            _tasks: tasks,
        })
    }

    /// Changes how it treats calls.
    pub fn set_state(&self, state: ApiState) {
        lock(&self.shared).state = state;
    }

    /// Refuses orders of endpoints in a data centre.
    pub fn set_dry(&self, data_centre: &str) {
        lock(&self.shared).dry = Some(data_centre.to_owned());
    }

    /// Returns the calls so far, in the order of their arrival.
    #[must_use]
    pub fn calls(&self) -> Vec<DutyCall> {
        lock(&self.shared).calls.clone()
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(shared: Arc<Mutex<Shared>>, request: Request<Incoming>) -> Answer {
    let at = Instant::now();
    let header = |name: &str| {
        let value = request.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    let (holder, fence) = (header("x-duty-holder"), header("x-fence-token"));
    let path = request.uri().path().to_owned();
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let state = lock(&shared).state;
    if state == ApiState::Down {
        return status_answer(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    let Ok(fence) = fence.parse() else {
        return status_answer(StatusCode::BAD_REQUEST, "no fence");
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return status_answer(StatusCode::BAD_REQUEST, "not JSON");
    };
    let zone = body["zone"].as_str().map(str::to_owned);
    let is_dry = zone.is_some() && zone == lock(&shared).dry;
    lock(&shared).calls.push(DutyCall {
        at,
        path,
        holder,
        fence,
        body,
    });
    if state == ApiState::LosesAnswers {
        std::future::pending::<()>().await;
    }
    if is_dry {
        return status_answer(StatusCode::CONFLICT, "none available");
    }
    status_answer(StatusCode::OK, "")
}
