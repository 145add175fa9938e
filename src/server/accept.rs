//! Accepts the batches that trainers submit.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::{Response, StatusCode};

use super::{
    accounts,
    claims::{BATCH_TABLE, HEAD_KEY},
    front::CallerRequest,
    loaded_batch::LoadedBatch,
    response::{Body, empty_response},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{BatchHead, object_part_names, share_count},
        routes::Route,
    },
    daemon::now_ms,
    error::{ErrorKind, Refusal},
    platform::{Condition, Row, StoreError, Tx, TxOutcome, decode_batch},
};

/// For how long a write of a head whose outcome is unknown is retried, in
/// milliseconds. The trainer waits somewhat longer.
const HEAD_RETRY_WINDOW_MS: u64 = 2_500;
/// How long to wait between two attempts to write a head, in milliseconds.
const HEAD_RETRY_DELAY_MS: u64 = 100;

/// Number of the next object, which distinguishes the objects that one
/// incarnation of a VM writes.
static NEXT_OBJECT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Accepts a batch.
///
/// The batch is in the store before the answer is returned. A batch that is
/// already known is accepted again without a write.
///
/// # Errors
///
/// `BadRequest` if the body cannot be decoded, `OtherAccount` if another account has
/// submitted a batch with this id, `Draining` if this VM is shutting
/// down, `PlatformUnavailable` if the store cannot be used, `OutcomeUnknown` if
/// the store does not confirm the write in time, and `Internal` if the batch
/// cannot be encoded.
pub(crate) async fn accept_batch(
    server: &Arc<Server>,
    route: &Route,
    call: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let CallerRequest {
        head: call_head,
        body,
        started_ms,
        account,
        ..
    } = call;
    let mut spec = decode_batch(&call_head, &body)
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error))?;
    spec.account = account;
    // The body is copied into the spec, and the spec once more when it is encoded.
    drop(body);
    let known_owner = lock(&server.batches)
        .get(&spec.id)
        .and_then(|known| known.head.as_ref().map(|head| head.account.clone()));
    if let Some(owner) = known_owner {
        accounts::check_owner(&spec.id, owner.as_ref(), spec.account.as_ref())?;
        tracing::info!(batch = %spec.id, "batch submitted again");
        return Ok(empty_response(StatusCode::ACCEPTED));
    }
    if server.is_draining() {
        return Err(Refusal::new(
            ErrorKind::Draining,
            "this VM is shutting down",
        ));
    }
    let number = NEXT_OBJECT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let vm = &server.settings.vm;
    let object: Name = format!("batch-{}-{vm}-{}-{number}", spec.id, server.incarnation).into();
    let bytes = rmp_serde::to_vec_named(&spec).map_err(|error| {
        Refusal::new(
            ErrorKind::Internal,
            format!("batch {} cannot be encoded: {error}", spec.id),
        )
    })?;
    let spec_bytes = bytes.len();
    let spec = LoadedBatch::new(spec, server.request_memory.large.take(spec_bytes));
    let object_parts = put_parts(server, &object, bytes.into())
        .await
        .map_err(|error| {
            let message = format!("write of the object of batch {}: {error}", spec.id);
            Refusal::new(ErrorKind::PlatformUnavailable, message)
        })?;
    let Some((platform_ms, _)) = server.store.clock_bounds_ms() else {
        let message = "the store's clock is not known yet";
        return Err(Refusal::new(ErrorKind::PlatformUnavailable, message));
    };
    let head = BatchHead {
        object,
        object_parts,
        spec_bytes,
        accepted_platform_ms: platform_ms,
        sample_count: spec.samples.len(),
        tokens: spec.samples.iter().map(|sample| sample.length_hint).sum(),
        groups: spec
            .samples
            .iter()
            .map(|sample| sample.group.clone())
            .collect(),
        share_count: share_count(spec.samples.len()),
        host: spec.host.clone(),
        path: spec.path.clone(),
        model: spec.model.clone(),
        min_weights_version: spec.min_weights_version,
        account: spec.account.clone(),
    };
    write_head(server, &spec.id, &head, started_ms + HEAD_RETRY_WINDOW_MS).await?;
    server.metrics.batches_accepted.inc();
    tracing::info!(batch = %spec.id, route = %route.name, step = spec.step, model = %spec.model,
        min_version = spec.min_weights_version, samples = spec.samples.len(),
        groups_wanted = spec.target_groups, took_ms = now_ms() - started_ms,
        "batch accepted");
    let mut batches = lock(&server.batches);
    let known = batches.known.entry(spec.id.clone()).or_default();
    known.head.get_or_insert(head);
    known.spec = Some(Arc::new(spec));
    drop(batches);
    server.batches_changed.notify_one();
    Ok(empty_response(StatusCode::ACCEPTED))
}

/// Writes the objects of a batch, each as long as the store allows; returns how many.
async fn put_parts(server: &Server, object: &Name, bytes: Bytes) -> Result<usize, StoreError> {
    let part_bytes = server.settings.object_bytes;
    let parts = bytes.len().div_ceil(part_bytes).max(1);
    let names = object_part_names(object, parts).enumerate();
    let puts = names.map(async |(part, name)| {
        let end = ((part + 1) * part_bytes).min(bytes.len());
        let slice = bytes.slice(part * part_bytes..end);
        server.store.put_object(&name, slice).await
    });
    for put in join_all(puts).await {
        put?;
    }
    Ok(parts)
}

fn decode_head(row: &Row) -> Option<BatchHead> {
    rmp_serde::from_slice(row.bytes.as_ref()?).ok()
}

/// Writes the head of a batch unless the batch has one, which has to be of the same account.
///
/// The write is retried until its outcome is known. It is conditional on the
/// absence of a head, so the batch is accepted once, whichever attempt takes
/// effect.
async fn write_head(
    server: &Server,
    id: &Name,
    head: &BatchHead,
    retry_until_ms: u64,
) -> Result<(), Refusal> {
    let bytes = rmp_serde::to_vec_named(head).map_err(|error| {
        Refusal::new(
            ErrorKind::Internal,
            format!("head of batch {id} cannot be encoded: {error}"),
        )
    })?;
    let tx = Tx {
        part: id.clone(),
        conditions: vec![Condition {
            table: BATCH_TABLE,
            key: HEAD_KEY.into(),
            row_version: 0,
        }],
        set: vec![(BATCH_TABLE, HEAD_KEY.into(), bytes)],
        delete: Vec::new(),
    };
    let mut is_unknown = false;
    loop {
        let error = match server.store.transact(&tx).await {
            Ok(TxOutcome::Committed(_)) => return Ok(()),
            Ok(TxOutcome::Conflict(rows)) => {
                let accepted = rows.first().and_then(decode_head);
                let owner = accepted.and_then(|head| head.account);
                return accounts::check_owner(id, owner.as_ref(), head.account.as_ref());
            }
            Err(error) => error,
        };
        is_unknown |= matches!(error, StoreError::Unknown(_));
        tracing::warn!(batch = %id, %error, is_unknown, "write of the batch head not confirmed");
        if !is_unknown {
            let message = format!("write of the head of batch {id}: {error}");
            return Err(Refusal::new(ErrorKind::PlatformUnavailable, message));
        }
        if now_ms() > retry_until_ms {
            let message = format!("write of the head of batch {id}: {error}");
            return Err(Refusal::new(ErrorKind::OutcomeUnknown, message));
        }
        tokio::time::sleep(Duration::from_millis(HEAD_RETRY_DELAY_MS)).await;
    }
}
