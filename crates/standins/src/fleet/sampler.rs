use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::{StoreServer, StoreWriter};
use crate::http::{Answer, bind, bytes, json as json_answer, read_bytes, serve, status};

/// How a sampler behaves.
#[derive(Clone, Copy, Debug)]
pub struct SamplerSettings {
    /// Events of each sample.
    pub events: u64,
    /// The time between two events, in milliseconds.
    pub event_ms: u64,
    /// How long a plain request takes, in milliseconds.
    pub work_ms: u64,
    /// How long loading weights takes, in milliseconds.
    pub load_ms: u64,
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// It belongs to another request.
    Foreign,
    /// It does not say which sampler made it.
    Unstamped,
    /// Its body is encoded, which nobody asked for.
    Encoded,
    /// It breaks off inside its body.
    Cut,
    /// A stream only: it says an event twice.
    Doubled,
    /// A stream only: it leaves an event out.
    Gap,
    /// A stream only: it names no weights version.
    Versionless,
}

/// A sampler that registers itself in the store.
#[derive(Debug)]
pub struct Sampler {
    /// Its identity.
    pub id: String,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    id: String,
    service: String,
    address: SocketAddr,
    store: StoreWriter,
    settings: SamplerSettings,
    model: Mutex<Option<(String, u64)>>,
    orders: Mutex<Vec<Value>>,
    /// Request ids in the order in which they began to run.
    runs: Mutex<Vec<String>>,
    active: AtomicU32,
    /// How the next answers are spoilt.
    spoilt: Mutex<Vec<AnswerFault>>,
    /// Requests that fail whenever they run.
    failing: Mutex<BTreeSet<String>>,
}

impl Sampler {
    /// Starts a sampler of a service; a model service also names its model.
    ///
    /// # Errors
    ///
    /// Those of binding a port.
    pub async fn try_start(
        id: &str,
        service: &str,
        model: Option<&str>,
        settings: SamplerSettings,
        store: &StoreServer,
    ) -> io::Result<Self> {
        let (listener, address) = bind().await?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            store: store.writer(),
            settings,
            model: Mutex::new(model.map(|model| (model.to_owned(), 1))),
            orders: Mutex::default(),
            runs: Mutex::default(),
            active: AtomicU32::new(0),
            spoilt: Mutex::default(),
            failing: Mutex::default(),
        });
        let serving = shared.clone();
        let task = tokio::spawn(serve(listener, move |request| {
            handle(serving.clone(), request)
        }));
        shared.register();
        Ok(Self {
            id: id.to_owned(),
            shared,
            task,
        })
    }

    /// Returns the ids of the requests that it ran, in their order.
    #[must_use]
    pub fn run_request_ids(&self) -> Vec<String> {
        lock(&self.shared.runs).clone()
    }

    /// Returns how many streams it sends now.
    #[must_use]
    pub fn active_streams(&self) -> u32 {
        self.shared.active.load(Ordering::Relaxed)
    }

    /// Spoils the next answers to requests.
    pub fn inject_answer_faults(&self, fault: AnswerFault, count: usize) {
        lock(&self.shared.spoilt).extend(std::iter::repeat_n(fault, count));
    }

    /// Answers a request with a failure whenever it comes.
    pub fn fail_request(&self, id: &str) {
        lock(&self.shared.failing).insert(id.to_owned());
    }

    /// Returns the orders that it accepted.
    #[must_use]
    pub fn accepted_orders(&self) -> Vec<Value> {
        lock(&self.shared.orders).clone()
    }
}

impl Shared {
    /// Writes its entry, as it does whenever its weights have changed.
    fn register(&self) {
        let models: Vec<Value> = lock(&self.model)
            .iter()
            .map(|(name, version)| json!({"name": name, "version": version, "adapters": []}))
            .collect();
        let entry = json!({"service": self.service, "address": self.address, "zone": "dc-1",
            "slots": 8, "version": "v1", "state": "ready", "cold_ms": 0, "models": models,
            "seq": 4, "born": 1_700_000_000_000_u64, "stage": "both"});
        let entry = STANDARD.encode(entry.to_string());
        self.store.put("servers", &self.id, entry);
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let expected = header(&request, "x-expect-instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        return not_run(StatusCode::MISDIRECTED_REQUEST);
    }
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/v1/report") => {
            let seq = lock(&shared.orders).len();
            json_answer(&json!({"stage": "both", "busy": false, "seq": seq}))
        }
        (Method::POST, "/v1/order") => order(&shared, request).await,
        _ => run(shared, request).await,
    }
}

fn not_run(code: StatusCode) -> Answer {
    let mut answer = status(code, "not run");
    answer
        .headers_mut()
        .insert("x-not-run", hyper::header::HeaderValue::from_static("1"));
    answer
}

async fn order(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let Ok(order) = serde_json::from_slice::<Value>(&body) else {
        return status(StatusCode::BAD_REQUEST, "not JSON");
    };
    {
        let mut orders = lock(&shared.orders);
        if order["expect_rev"].as_u64() != u64::try_from(orders.len()).ok() {
            return status(StatusCode::CONFLICT, "another number of orders");
        }
        orders.push(order.clone());
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(shared.settings.load_ms)).await;
        if let (Some(model), Some(version)) = (order["model"].as_str(), order["version"].as_u64()) {
            *lock(&shared.model) = Some((model.to_owned(), version));
            shared.register();
        }
    });
    status(StatusCode::ACCEPTED, "")
}

async fn run(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let id = header(&request, "x-request-id").unwrap_or_default();
    let after = header(&request, "last-event-id").and_then(|text| text.parse().ok());
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match read_bytes(request).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    lock(&shared.runs).push(id.clone());
    let spoil = lock(&shared.spoilt).pop();
    if lock(&shared.failing).contains(&id) {
        let answer = status(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        return with_head(&shared, answer, &id, None);
    }
    let version = lock(&shared.model).as_ref().map(|(_, version)| *version);
    let mut answer = if let Some(version) = version {
        let mut answer = events(shared.clone(), &id, after.unwrap_or(0), spoil);
        // Nothing is generated after the last event, by no weights.
        let generates = after.is_none_or(|after| after < shared.settings.events);
        if generates && spoil != Some(AnswerFault::Versionless) {
            answer
                .headers_mut()
                .insert("x-weight-versions", version.into());
        }
        answer
    } else {
        tokio::time::sleep(Duration::from_millis(shared.settings.work_ms)).await;
        let text = match spoil {
            Some(spoil) => format!("spoilt: {spoil:?}"),
            None => format!("{method} {path} {} bytes", body.len()),
        };
        bytes(text.into_bytes().into())
    };
    if version.is_none() && spoil == Some(AnswerFault::Cut) {
        answer = cut(answer).await;
    }
    with_head(&shared, answer, &id, spoil)
}

fn with_head(shared: &Shared, mut answer: Answer, id: &str, spoil: Option<AnswerFault>) -> Answer {
    let active = shared.active.load(Ordering::Relaxed);
    let own = if spoil == Some(AnswerFault::Foreign) {
        "another"
    } else {
        id
    };
    let mut headers = vec![
        ("x-request-id", own.to_owned()),
        ("x-server-load", format!("{active},0,8")),
    ];
    if spoil != Some(AnswerFault::Unstamped) {
        headers.push(("x-response-stamp", format!("stamp-{}-{id}", shared.id)));
    }
    if spoil == Some(AnswerFault::Encoded) {
        headers.push(("content-encoding", "gzip".to_owned()));
    }
    for (name, text) in headers {
        if let Ok(value) = text.parse() {
            answer.headers_mut().insert(name, value);
        }
    }
    answer
}

/// Ends the connection after half of the body.
async fn cut(answer: Answer) -> Answer {
    let (parts, body) = answer.into_parts();
    let whole = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return status(StatusCode::BAD_GATEWAY, &error.to_string()),
    };
    let half = whole.slice(..whole.len() / 2);
    let broken = io::Error::from(io::ErrorKind::ConnectionReset);
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    Response::from_parts(parts, BodyExt::boxed(StreamBody::new(frames)))
}

/// Counts a run until its stream is dropped.
struct Active(Arc<Shared>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

fn events(shared: Arc<Shared>, id: &str, after: u64, spoil: Option<AnswerFault>) -> Answer {
    shared.active.fetch_add(1, Ordering::Relaxed);
    let settings = shared.settings;
    // The event at which a spoilt stream goes wrong: the second of this run.
    let wrong = after + 2;
    let state = (Active(shared), id.to_owned(), after);
    let frames = stream::unfold(state, move |(active, id, last)| async move {
        if last >= settings.events {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(settings.event_ms)).await;
        let number = last + 1;
        if spoil == Some(AnswerFault::Gap) && number == wrong {
            return Some((Ok(Frame::data(Bytes::new())), (active, id, number)));
        }
        let event = format!("id: {number}\ndata: {id} event {number}\n\n");
        if spoil == Some(AnswerFault::Cut) && number > wrong {
            let broken = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(broken), (active, id, settings.events)));
        }
        let text = match spoil {
            Some(AnswerFault::Doubled) if number == wrong => event.repeat(2),
            Some(AnswerFault::Cut) if number == wrong => event[..event.len() / 2].to_owned(),
            _ => event,
        };
        let frame = Frame::data(Bytes::from(text.into_bytes()));
        Some((Ok(frame), (active, id, number)))
    });
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}
