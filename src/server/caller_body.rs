//! Reads the body of a caller's request.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use rand::Rng;

use super::{
    connections::OpenConnection,
    memory::{BodyBuffer, BodyError, BodyPlan, stated_bytes},
    state::{Server, lock},
};
use crate::{
    daemon::{now_ms, sleep_until},
    error::{ErrorKind, Refusal},
};

/// The largest request body until a configuration is known, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// How long a caller that states no deadline may take to send a body, in milliseconds.
const DEFAULT_PATIENCE_MS: u64 = 15_000;
/// The part of its time for which a body may wait for memory: the rest is left to read
/// and serve it.
const MEMORY_WAIT_DIVISOR: u64 = 3;
/// The shortest time after which a caller may come back whose body found no memory, in
/// milliseconds; the time is spread over twice as long.
const MEMORY_RETRY_MS: u64 = 500;
/// How long the rest of a refused body is read and dropped, in milliseconds: if the
/// connection closed at once, the refusal could be lost.
const DISCARD_MS: u64 = 1_000;

/// What of a caller's request decides how its body is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyTerms {
    /// When the head of the request was read.
    pub(crate) started_ms: u64,
    /// How long the caller waits for an answer.
    pub(crate) patience_ms: Option<u64>,
    /// How many times its length the body takes at most, while it is processed.
    pub(crate) copies: usize,
}

/// Reads the whole body of a caller's request, as memory allows.
///
/// # Errors
///
/// `BodyTooLarge` if the body is longer than the configuration allows, `MemoryFull` if
/// there is no memory for it in time, `DeadlinePassed` if it is not complete before the
/// caller's deadline, and `BadRequest` if it cannot be read.
pub(crate) async fn read_caller_body(
    server: &Server,
    open: &Arc<OpenConnection>,
    mut body: Incoming,
    terms: BodyTerms,
) -> Result<Bytes, Refusal> {
    let patience_ms = terms.patience_ms.unwrap_or(DEFAULT_PATIENCE_MS);
    let read = tokio::select! {
        read = read_body(server, open, &mut body, terms, patience_ms) => read,
        () = sleep_until(terms.started_ms + patience_ms) => {
            let message = format!("the request body was not complete within {patience_ms} ms");
            Err(Refusal::new(ErrorKind::DeadlinePassed, message))
        }
    };
    if read.is_err() {
        discard_unread(body, open.clone());
    }
    read
}

/// Reads the rest of the body of a refused request in the background.
pub(crate) fn discard_unread(body: Incoming, open: Arc<OpenConnection>) {
    if !body.is_end_stream() {
        tokio::spawn(discard(body, open));
    }
}

async fn read_body(
    server: &Server,
    open: &OpenConnection,
    body: &mut Incoming,
    terms: BodyTerms,
    patience_ms: u64,
) -> Result<Bytes, Refusal> {
    let limits = server.routes().caller_limits();
    let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    let plan = BodyPlan {
        max_bytes,
        stated_bytes: stated_bytes(body),
        copies: terms.copies,
        wait_until_ms: terms.started_ms + patience_ms / MEMORY_WAIT_DIVISOR,
    };
    let mut buffer = BodyBuffer::new(&server.request_memory, plan).on_connection(open);
    buffer
        .check_stated()
        .map_err(|error| refusal_of(server, error, &plan))?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the request body cannot be read: {error}");
            Refusal::new(ErrorKind::BadRequest, message)
        })?;
        if let Ok(data) = frame.into_data() {
            let pushed = buffer.push(&data).await;
            pushed.map_err(|error| refusal_of(server, error, &plan))?;
        }
    }
    Ok(buffer.finish())
}

fn refusal_of(server: &Server, error: BodyError, plan: &BodyPlan) -> Refusal {
    match error {
        BodyError::TooLong => {
            let message = format!("the request body exceeds {} bytes", plan.max_bytes);
            Refusal::new(ErrorKind::BodyTooLarge, message)
        }
        BodyError::NoMemory => {
            let memory = &server.request_memory.large;
            let message = format!(
                "no memory for a body of {:?} bytes, of at most {}: {} bytes are taken, {} bodies wait",
                plan.stated_bytes,
                plan.max_bytes,
                memory.used_bytes(),
                memory.waiting_count()
            );
            let spread_ms = lock(&server.rng).random_range(0..=MEMORY_RETRY_MS);
            let retry_at_ms = now_ms() + MEMORY_RETRY_MS + spread_ms;
            Refusal::new(ErrorKind::MemoryFull, message).with_retry_at(retry_at_ms)
        }
    }
}

/// Reads the rest of a refused body and drops it.
async fn discard(mut body: Incoming, open: Arc<OpenConnection>) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    if tokio::time::timeout(Duration::from_millis(DISCARD_MS), rest)
        .await
        .is_err()
    {
        tracing::debug!("connection closed: its caller still sends a refused body");
    }
    open.end_discard();
}
