use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use chicoryreach::wire::engine::{Chunk, Generate, Order};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore},
    task::JoinHandle,
};

use super::state::{CRASH_MARK, State};
use crate::{
    http::{Answer, bind, json_answer, read_json, serve, status_answer},
    text,
};

/// The behaviour of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// The number of attempts that generate concurrently.
    pub slots: u32,
    /// The number of tokens in one chunk of an answer.
    pub chunk_tokens: u32,
    /// The time that one chunk takes, in milliseconds.
    pub chunk_ms: u64,
    /// The time that loading weights takes, in milliseconds.
    pub load_ms: u64,
    /// The time for which the engine is unreachable after a crash, in
    /// milliseconds.
    pub restart_ms: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fence: bool,
    /// The weights version after each start.
    pub weights_version: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 32,
            chunk_tokens: 8,
            chunk_ms: 10,
            load_ms: 200,
            restart_ms: 1_000,
            checks_fence: true,
            weights_version: 1,
        }
    }
}

/// A model engine that runs in this process.
#[derive(Debug)]
pub struct Engine {
    /// The address on which it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Inner {
    settings: EngineSettings,
    state: Mutex<State>,
    crash: Notify,
    slots: Semaphore,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub async fn try_start(settings: EngineSettings) -> io::Result<Self> {
        let (listener, address) = bind().await?;
        let mut state = State {
            checks_fence: settings.checks_fence,
            ..State::default()
        };
        state.load.slots = settings.slots;
        state.load.weights_version = settings.weights_version;
        state.load.incarnation = 1;
        let inner = Arc::new(Inner {
            settings,
            state: Mutex::new(state),
            crash: Notify::new(),
            slots: Semaphore::new(settings.slots as usize),
        });
        let task = tokio::spawn(serve_with_restarts(inner.clone(), listener, address));
        Ok(Self {
            address,
            inner,
            task,
        })
    }

    /// Closes every connection, and restarts after `restart_ms`.
    pub fn crash(&self) {
        self.inner.crash.notify_one();
    }

    /// Returns the number of times the engine has started.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.inner.lock().load.incarnation
    }

    /// Returns the number of running attempts.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.inner.lock().load.running
    }

    /// Returns the weights version in use.
    #[must_use]
    pub fn weights_version(&self) -> u64 {
        self.inner.lock().load.weights_version
    }

    /// Returns the total number of generated tokens.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        self.inner
            .lock()
            .generated
            .values()
            .map(|tokens| u64::from(*tokens))
            .sum()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves requests, and restarts after each crash with a new incarnation.
async fn serve_with_restarts(inner: Arc<Inner>, listener: TcpListener, address: SocketAddr) {
    let mut listener = listener;
    loop {
        let shared = inner.clone();
        let handler = move |request| handle(shared.clone(), request);
        tokio::select! {
            () = serve(listener, handler) => {}
            () = inner.crash.notified() => {}
        }
        {
            let mut state = inner.lock();
            state.load.incarnation += 1;
            state.load.running = 0;
            state.load.queued = 0;
            state.load.weights_version = inner.settings.weights_version;
            state.load.fence = 0;
            state.loading = None;
        }
        tokio::time::sleep(Duration::from_millis(inner.settings.restart_ms)).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
    }
}

async fn handle(inner: Arc<Inner>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if let Some(attempt) = path
        .strip_prefix("/attempts/")
        .and_then(|rest| rest.strip_suffix("/cancel"))
    {
        inner.lock().cancelled.insert(attempt.into());
        return json_answer(&());
    }
    match path.as_str() {
        "/load" => json_answer(&inner.lock().load),
        "/generate" => match read_json(request).await {
            Ok(generate) => start_generation(&inner, generate),
            Err(error_answer) => error_answer,
        },
        "/orders" => match read_json(request).await {
            Ok(order) => handle_order(&inner, &order),
            Err(error_answer) => error_answer,
        },
        _ => status_answer(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn handle_order(inner: &Arc<Inner>, order: &Order) -> Answer {
    if !inner.lock().try_accept_order(order) {
        return status_answer(StatusCode::CONFLICT, "the fencing number is old");
    }
    let inner = inner.clone();
    tokio::spawn(async move {
        let incarnation = inner.lock().load.incarnation;
        tokio::time::sleep(Duration::from_millis(inner.settings.load_ms)).await;
        let mut state = inner.lock();
        if state.load.incarnation == incarnation
            && let Some(version) = state.loading.take()
        {
            state.load.weights_version = version;
        }
    });
    json_answer(&())
}

/// Counts an attempt as running until its answer is dropped. Holds the engine
/// and the incarnation in which the attempt started.
struct RunningGuard(Arc<Inner>, u64);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        if state.load.incarnation == self.1 {
            state.load.running = state.load.running.saturating_sub(1);
        }
    }
}

fn start_generation(inner: &Arc<Inner>, generate: Generate) -> Answer {
    if generate.prompt.contains(CRASH_MARK) {
        inner.crash.notify_one();
    }
    let incarnation = {
        let mut state = inner.lock();
        state.load.running += 1;
        state.load.incarnation
    };
    let guard = RunningGuard(inner.clone(), incarnation);
    let offset = u32::try_from(generate.prefix.len()).unwrap_or(u32::MAX);
    let chunks = stream::unfold(
        (guard, generate, Some(offset)),
        |(guard, generate, offset)| async move {
            let offset = offset?;
            let chunk = next_chunk(&guard.0, &generate, offset).await?;
            let next = chunk
                .finish
                .is_none()
                .then(|| offset + u32::try_from(chunk.tokens.len()).unwrap_or_default());
            let json = serde_json::to_string(&chunk).unwrap_or_default();
            let frame = Frame::data(Bytes::from(format!("data: {json}\n\n")));
            Some((Ok::<_, io::Error>(frame), (guard, generate, next)))
        },
    );
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(
        chunks,
    )))));
    answer.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    answer
}

type ChunkStream = std::pin::Pin<
    Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + Sync>,
>;

/// A stream of chunks, polled only through an exclusive reference.
struct SyncStream(ChunkStream);

impl futures_util::Stream for SyncStream {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.as_mut().poll_next(context)
    }
}

async fn next_chunk(inner: &Arc<Inner>, generate: &Generate, offset: u32) -> Option<Chunk> {
    let settings = inner.settings;
    let permit = inner.slots.acquire().await.ok()?;
    tokio::time::sleep(Duration::from_millis(settings.chunk_ms)).await;
    drop(permit);
    let mut state = inner.lock();
    if state.cancelled.contains(&generate.attempt) {
        return None;
    }
    let length = text::token_count(&generate.prompt, generate.seed, generate.max_tokens);
    let end = (offset + settings.chunk_tokens).min(length).max(offset);
    let weights_version = state.load.weights_version;
    let token = |index| text::token(&generate.prompt, generate.seed, index, weights_version);
    *state.generated.entry(generate.attempt.clone()).or_default() += end - offset;
    let finish_reason = if length == generate.max_tokens {
        "length"
    } else {
        "stop"
    };
    Some(Chunk {
        attempt: generate.attempt.clone(),
        offset,
        tokens: (offset..end).map(token).collect(),
        weights_version,
        finish: (end >= length).then(|| finish_reason.into()),
    })
}
