//! Answers calls that read a batch or the body of a sample, or end a batch.

use std::{sync::Arc, time::Duration};

use hyper::{Response, StatusCode};

use super::{
    claims::{BATCH_TABLE, END_KEY, HEAD_KEY},
    listing::read_listed,
    loaded_batch::LoadedBatch,
    memory::MemoryShare,
    response::{Body, empty_response, full_body, json_response},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{BatchHead, BatchSpec},
    },
    daemon::now_ms,
    error::{ErrorKind, Refusal},
    platform::{BatchCall, StoreError, Tx, encode_results},
};

/// The most bytes of results in one answer.
const MAX_RESULT_BYTES_PER_ANSWER: usize = 900_000;
/// How often the listing is read while a reader waits, in milliseconds.
const LISTING_POLL_INTERVAL_MS: u64 = 200;
/// How long reading a batch waits for memory, in milliseconds.
const SPEC_MEMORY_WAIT_MS: u64 = 500;
/// The longest time that a reader waits for results, in milliseconds.
const MAX_READ_WAIT_MS: u64 = 1_000;

/// Answers a call about a batch that was accepted before.
///
/// # Errors
///
/// `UnknownStep` if the batch or the sample does not exist, `PlatformUnavailable`
/// if the store does not answer, and `Internal` if stored data is missing or
/// cannot be decoded.
pub(crate) async fn answer_batch_call(
    server: &Arc<Server>,
    call: &BatchCall,
) -> Result<Response<Body>, Refusal> {
    match call {
        BatchCall::Read {
            batch,
            from,
            wait_ms,
        } => read_results(server, batch, *from, *wait_ms).await,
        BatchCall::Body { batch, sample } => read_body(server, batch, sample).await,
        BatchCall::End { batch } => end_batch(server, batch).await,
    }
}

async fn read_results(
    server: &Arc<Server>,
    batch: &Name,
    from: usize,
    wait_ms: u64,
) -> Result<Response<Body>, Refusal> {
    let until_ms = now_ms() + wait_ms.min(MAX_READ_WAIT_MS);
    let head = read_head(server, batch).await?;
    loop {
        let listed = read_listed(server, batch, from, MAX_RESULT_BYTES_PER_ANSWER).await;
        let listed = listed.map_err(|error| unavailable(&error))?;
        let is_last = from + listed.len() >= head.sample_count;
        let may_wait =
            !is_last && now_ms() + LISTING_POLL_INTERVAL_MS <= until_ms && !server.is_draining();
        if !listed.is_empty() || !may_wait {
            let body = encode_results(
                head.sample_count,
                from,
                &listed,
                MAX_RESULT_BYTES_PER_ANSWER,
            );
            return Ok(json_response(server.answer_memory.count(body)));
        }
        tokio::time::sleep(Duration::from_millis(LISTING_POLL_INTERVAL_MS)).await;
    }
}

async fn read_body(
    server: &Arc<Server>,
    batch: &Name,
    sample: &str,
) -> Result<Response<Body>, Refusal> {
    let spec = read_spec(server, batch).await?;
    let found = spec.samples.iter().find(|entry| &*entry.id == sample);
    let found = found.ok_or_else(|| {
        Refusal::new(
            ErrorKind::UnknownStep,
            format!("batch {batch} has no sample {sample}"),
        )
    })?;
    Ok(Response::new(full_body(found.body.clone())))
}

async fn end_batch(server: &Arc<Server>, batch: &Name) -> Result<Response<Body>, Refusal> {
    read_head(server, batch).await?;
    let is_ended = |server: &Server| lock(&server.batches).get(batch).is_some_and(|b| b.is_ended);
    if !is_ended(server) {
        let tx = Tx {
            part: batch.clone(),
            set: vec![(BATCH_TABLE, END_KEY.into(), Vec::new())],
            ..Tx::default()
        };
        server
            .store
            .transact(&tx)
            .await
            .map_err(|error| unavailable(&error))?;
    }
    if let Some(known) = lock(&server.batches).known.get_mut(batch) {
        known.end(batch);
    }
    Ok(empty_response(StatusCode::OK))
}

/// Returns the refusal for a failed call to the store.
fn unavailable(error: &StoreError) -> Refusal {
    Refusal::new(ErrorKind::PlatformUnavailable, error.to_string())
}

/// Returns the head of a batch.
///
/// A batch that is not known here is looked up in the store.
///
/// # Errors
///
/// `UnknownStep` if the store has no such batch, `PlatformUnavailable` if the
/// store does not answer, and `Internal` if the head cannot be decoded.
pub(crate) async fn read_head(server: &Server, batch: &Name) -> Result<BatchHead, Refusal> {
    let known = lock(&server.batches)
        .get(batch)
        .and_then(|known| known.head.clone());
    if let Some(head) = known {
        return Ok(head);
    }
    let to = format!("{HEAD_KEY}\0");
    let rows = server
        .store
        .read(BATCH_TABLE, batch, HEAD_KEY, Some(&to), 1)
        .await;
    let rows = rows.map_err(|error| unavailable(&error))?;
    let bytes = rows.rows.first().and_then(|row| row.bytes.as_ref());
    let bytes = bytes.ok_or_else(|| {
        Refusal::new(
            ErrorKind::UnknownStep,
            format!("batch {batch} does not exist"),
        )
    })?;
    rmp_serde::from_slice(bytes).map_err(|error| {
        Refusal::new(
            ErrorKind::Internal,
            format!("head of batch {batch} cannot be decoded: {error}"),
        )
    })
}

/// Returns a batch as its trainer submitted it.
///
/// # Errors
///
/// Those of `read_head`; also `Internal` if the batch's object is missing or
/// cannot be decoded.
pub(crate) async fn read_spec(server: &Server, batch: &Name) -> Result<Arc<LoadedBatch>, Refusal> {
    let known = lock(&server.batches)
        .get(batch)
        .and_then(|known| known.spec.clone());
    if let Some(spec) = known {
        return Ok(spec);
    }
    let head = read_head(server, batch).await?;
    let mut share = reserve_spec(server, &head).await;
    let mut bytes = Vec::new();
    for object in head.object_names() {
        let part = server.store.get_object(&object).await;
        let part = part.map_err(|error| unavailable(&error))?;
        let part = part.ok_or_else(|| {
            Refusal::new(
                ErrorKind::Internal,
                format!("object {object} of batch {batch} is missing"),
            )
        })?;
        bytes.extend_from_slice(&part);
    }
    let spec: BatchSpec = rmp_serde::from_slice(&bytes).map_err(|error| {
        Refusal::new(
            ErrorKind::Internal,
            format!(
                "object {} of batch {batch} cannot be decoded: {error}",
                head.object
            ),
        )
    })?;
    share.shrink_to(bytes.len());
    let spec = Arc::new(LoadedBatch::new(spec, share));
    if let Some(known) = lock(&server.batches).known.get_mut(batch) {
        known.spec = Some(spec.clone());
    }
    Ok(spec)
}

/// Waits for the memory that reading a batch takes, and takes it after a while in any
/// case: the samples of an accepted batch have to run.
async fn reserve_spec(server: &Server, head: &BatchHead) -> MemoryShare {
    let most_bytes = head.object_parts * server.settings.object_bytes;
    let spec_bytes = if head.spec_bytes == 0 {
        most_bytes
    } else {
        head.spec_bytes
    };
    // The objects, and the batch that is decoded from them.
    let bytes = spec_bytes * 2;
    let memory = &server.request_memory.large;
    let reserved = memory.reserve(bytes, now_ms() + SPEC_MEMORY_WAIT_MS).await;
    reserved.unwrap_or_else(|| {
        tracing::warn!(object = %head.object, bytes, used = memory.used_bytes(),
            waiting = memory.waiting_count(), "batch read without free memory");
        memory.take(bytes)
    })
}
