//! The store as a VM reaches it: its answers take the time that the pages state, objects
//! pass at the rate that all calls share, and a hook sees each call.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use standins::http::{Answer, bind, serve, status_answer};

use crate::{client::exchange, link::Way};

/// `blob_ms` and `blob_mb_s` of the settings in DEPLOY.md.
const OBJECT_MS: u64 = 25;
const OBJECT_MBPS: f64 = 80.0 * 8.0;
/// "4 ms an answer".
const ANSWER_MS: u64 = 4;
const CHUNK_BYTES: usize = 64 * 1024;

pub type Hook = Arc<dyn Fn(&str) + Send + Sync>;

/// What all fronts of one store share.
#[derive(Clone)]
pub struct Terms {
    read: Way,
    written: Way,
    hook: Hook,
    pub object_reads: Arc<AtomicUsize>,
    pub object_reads_whole: Arc<AtomicUsize>,
    pub object_bytes: Arc<AtomicU64>,
}

impl Terms {
    pub fn new(hook: Hook) -> Self {
        Self {
            read: Way::new(OBJECT_MBPS),
            written: Way::new(OBJECT_MBPS),
            hook,
            object_reads: Arc::default(),
            object_reads_whole: Arc::default(),
            object_bytes: Arc::default(),
        }
    }
}

pub async fn start(store: SocketAddr, terms: Terms) -> SocketAddr {
    let (listener, address) = bind().await.expect("a port is free");
    let handler = move |request| answer(store, terms.clone(), request);
    tokio::spawn(serve(listener, handler));
    address
}

async fn answer(store: SocketAddr, terms: Terms, request: Request<Incoming>) -> Answer {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return status_answer(StatusCode::BAD_REQUEST, "the body is incomplete");
    };
    let body = body.to_bytes();
    let is_object = path.starts_with("/v1/blob-");
    if is_object {
        tokio::time::sleep(Duration::from_millis(OBJECT_MS)).await;
        terms.written.take(body.len()).await;
    } else {
        tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
    }
    (terms.hook)(&path);
    let request = Request::from_parts(parts, Full::new(body));
    let Some((parts, body)) = exchange(store, request).await else {
        return status_answer(StatusCode::BAD_GATEWAY, "the store is away");
    };
    if !path.starts_with("/v1/blob-get/") {
        return Response::from_parts(
            parts,
            Full::new(body).map_err(|never| match never {}).boxed(),
        );
    }
    terms.object_reads.fetch_add(1, Ordering::SeqCst);
    let rest = (body, terms);
    let frames = stream::unfold(rest, |(mut body, terms)| async move {
        if body.is_empty() {
            return None;
        }
        let chunk = body.split_to(CHUNK_BYTES.min(body.len()));
        terms.read.take(chunk.len()).await;
        terms
            .object_bytes
            .fetch_add(chunk.len() as u64, Ordering::SeqCst);
        if body.is_empty() {
            terms.object_reads_whole.fetch_add(1, Ordering::SeqCst);
        }
        Some((Ok(Frame::data(chunk)), (body, terms)))
    });
    Response::from_parts(parts, BodyExt::boxed(StreamBody::new(frames)))
}
