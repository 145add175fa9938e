//! Reading a batch, the bodies of its samples, and ending it.

use std::{sync::Arc, time::Duration};

use hyper::{Response, StatusCode};

use super::{
    claims::{BATCH_TABLE, END_KEY, HEAD_KEY},
    listing::read_listed,
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

/// The most samples in one answer.
const MAX_RESULTS: usize = 200;
/// The most bytes of results in one answer.
const MAX_BYTES: usize = 900_000;
/// How often the listing is looked at while a reader waits, in milliseconds.
const LOOK_MS: u64 = 200;
/// The longest time that a reader is kept waiting, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// Answers a call about a batch.
pub(crate) async fn answer_batch_call(
    server: &Arc<Server>,
    call: &BatchCall,
) -> Result<Response<Body>, Refusal> {
    match call {
        BatchCall::Read {
            batch,
            from,
            wait_ms,
        } => read(server, batch, *from, *wait_ms).await,
        BatchCall::Body { batch, sample } => body(server, batch, sample).await,
        BatchCall::End { batch } => end(server, batch).await,
    }
}

async fn read(
    server: &Arc<Server>,
    batch: &Name,
    from: usize,
    wait_ms: u64,
) -> Result<Response<Body>, Refusal> {
    let until_ms = now_ms() + wait_ms.min(MAX_WAIT_MS);
    let head = head(server, batch).await?;
    loop {
        let listed = read_listed(server, batch, from, MAX_RESULTS).await;
        let listed = listed.map_err(|error| unsure(&error))?;
        let is_last = from + listed.len() >= head.sample_count;
        let may_wait = !is_last && now_ms() + LOOK_MS <= until_ms && !server.is_draining();
        if !listed.is_empty() || !may_wait {
            let body = encode_results(head.sample_count, from, &listed, MAX_BYTES);
            return Ok(json_response(body));
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

async fn body(server: &Arc<Server>, batch: &Name, sample: &str) -> Result<Response<Body>, Refusal> {
    let spec = spec(server, batch).await?;
    let found = spec.samples.iter().find(|entry| &*entry.id == sample);
    let found = found.ok_or_else(|| Refusal::new(ErrorKind::UnknownStep, "no such sample"))?;
    Ok(Response::new(full_body(found.body.clone())))
}

async fn end(server: &Arc<Server>, batch: &Name) -> Result<Response<Body>, Refusal> {
    head(server, batch).await?;
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
            .map_err(|error| unsure(&error))?;
    }
    if let Some(known) = lock(&server.batches).known.get_mut(batch) {
        known.end(batch);
    }
    Ok(empty_response(StatusCode::OK))
}

/// What cannot be said for certain now.
fn unsure(error: &StoreError) -> Refusal {
    Refusal::new(ErrorKind::PlatformUnavailable, error.to_string())
}

/// Returns the head of a batch; only the store can say that there is none.
async fn head(server: &Server, batch: &Name) -> Result<BatchHead, Refusal> {
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
    let rows = rows.map_err(|error| unsure(&error))?;
    let bytes = rows.rows.first().and_then(|row| row.bytes.as_ref());
    let bytes = bytes.ok_or_else(|| Refusal::new(ErrorKind::UnknownStep, "no such batch"))?;
    rmp_serde::from_slice(bytes)
        .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))
}

/// Returns what the trainer handed in.
pub(crate) async fn spec(server: &Server, batch: &Name) -> Result<Arc<BatchSpec>, Refusal> {
    let known = lock(&server.batches)
        .get(batch)
        .and_then(|known| known.spec.clone());
    if let Some(spec) = known {
        return Ok(spec);
    }
    let head = head(server, batch).await?;
    let bytes = server
        .store
        .get_object(&head.object)
        .await
        .map_err(|error| unsure(&error))?;
    let bytes = bytes.ok_or_else(|| Refusal::new(ErrorKind::Internal, "the object is missing"))?;
    let spec: BatchSpec = rmp_serde::from_slice(&bytes)
        .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))?;
    let spec = Arc::new(spec);
    if let Some(known) = lock(&server.batches).known.get_mut(batch) {
        known.spec = Some(spec.clone());
    }
    Ok(spec)
}
