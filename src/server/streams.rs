//! Remembers which software version began a caller's stream, with two other VMs and the
//! store, so that the stream goes on there whichever VM the caller comes back to.

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, join_all, select};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::{
    peer_call::post_to_peer,
    response::{Body, empty_response, full_body},
    state::{Server, lock},
    stream_rows,
};
use crate::{
    core::{
        Name, rendezvous,
        streams::{StreamNotice, StreamOrigin},
    },
    daemon::now_ms,
    error::{ErrorKind, Refusal},
    platform::{CallerHead, StoreError},
    wire::peers::{STREAM_NOTICE_PATH, STREAM_QUERY_PATH},
};

/// The number of VMs that are told of a stream, besides the one that began it.
const HOLDERS: usize = 2;
/// The number of VMs that are asked: more than are told, since the lists of VMs differ
/// for a second after a VM has started or stopped.
const ASKED_VMS: usize = 4;
/// How long the store may take to answer, in milliseconds: a caller waits for the answer
/// before it may come back elsewhere.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// How long a VM may take to answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 250;

/// Records who began the stream of a host and path, here, at the VMs that keep it and, if
/// need be, in the store.
pub(crate) fn on_begun(
    server: &Arc<Server>,
    id: &Name,
    target: (&str, &str),
    origin: StreamOrigin,
    until_ms: u64,
) {
    stream_rows::on_begun(server, id, target, origin.clone(), until_ms);
    let now_ms = now_ms();
    let notice = StreamNotice {
        request_id: id.clone(),
        origin: origin.clone(),
        remaining_ms: until_ms.saturating_sub(now_ms),
    };
    lock(&server.stream_origins).insert(now_ms, id.clone(), origin, until_ms);
    let Some(body) = encode(&notice) else {
        return;
    };
    for address in ranked_vms(server, id, HOLDERS) {
        let (server, id, body) = (server.clone(), id.clone(), body.clone());
        tokio::spawn(async move {
            let deadline_ms = now_ms + ANSWER_TIMEOUT_MS;
            let sent = post_to_peer(&server, address, STREAM_NOTICE_PATH, body, deadline_ms).await;
            if let Err(error) = sent {
                tracing::info!(%id, %address, error, "VM not told of a stream");
            }
        });
    }
}

/// Returns the service and software version at which a stream has to go on.
///
/// # Errors
///
/// Returns `StreamLost` if nobody knows them, and `StreamUnknown` if a VM that may know
/// them, or the store, does not answer.
pub(crate) async fn origin_of(server: &Server, head: &CallerHead) -> Result<StreamOrigin, Refusal> {
    let resumed_request = head.resumed_request.as_ref();
    let known = resumed_request.and_then(|request| {
        let origins = lock(&server.stream_origins);
        origins.get(now_ms(), request).cloned()
    });
    let is_known = known.is_some();
    let (origin, are_all_answers_in) = match known {
        Some(origin) => (Some(origin), true),
        None => search_origin(server, head).await,
    };
    tracing::info!(id = head.request_id.as_deref(), resumed_request = resumed_request.map(AsRef::as_ref),
        is_known, are_all_answers_in, origin = ?origin, "origin of a stream");
    origin.ok_or_else(|| {
        let message = "nobody knows which software version began the stream";
        if are_all_answers_in {
            Refusal::new(ErrorKind::StreamLost, message)
        } else {
            Refusal::new(ErrorKind::StreamUnknown, message)
        }
    })
}

/// Looks for a stream in the store and at the VMs that keep it; also returns whether all
/// of them have answered.
async fn search_origin(server: &Server, head: &CallerHead) -> (Option<StreamOrigin>, bool) {
    let resumed_request = head.resumed_request.as_ref();
    let stored = pin!(async {
        let target = (&*head.host, &*head.path);
        let found = stream_rows::find_origin(server, target, resumed_request);
        let limit = Duration::from_millis(STORE_TIMEOUT_MS);
        let found = tokio::time::timeout(limit, found).await;
        found.unwrap_or_else(|_| Err(StoreError::NotDone("no answer in time".to_owned())))
    });
    let asked = pin!(async {
        match resumed_request {
            Some(request) => ask_vms(server, request).await,
            None => (None, true),
        }
    });
    let (stored, asked) = match select(stored, asked).await {
        Either::Left((Ok(Some(origin)), _)) | Either::Right(((Some(origin), _), _)) => {
            return (Some(origin), true);
        }
        Either::Left((stored, asked)) => (stored, asked.await),
        Either::Right((asked, stored)) => (stored.await, asked),
    };
    if let Err(error) = &stored {
        tracing::info!(id = head.request_id.as_deref(), %error, "rows of streams not read");
    }
    let (from_vms, have_vms_answered) = asked;
    let are_all_answers_in = have_vms_answered && stored.is_ok();
    (from_vms.or(stored.unwrap_or_default()), are_all_answers_in)
}

/// Asks the VMs that keep a stream; also returns whether all of them have answered.
async fn ask_vms(server: &Server, request: &Name) -> (Option<StreamOrigin>, bool) {
    let Some(body) = encode(request) else {
        return (None, false);
    };
    let deadline_ms = now_ms() + ANSWER_TIMEOUT_MS;
    let asked = ranked_vms(server, request, ASKED_VMS)
        .into_iter()
        .map(|address| {
            let body = body.clone();
            async move {
                let reply =
                    post_to_peer(server, address, STREAM_QUERY_PATH, body, deadline_ms).await;
                let reply = reply.ok().filter(|reply| reply.status == StatusCode::OK)?;
                rmp_serde::from_slice::<Option<StreamOrigin>>(&reply.body).ok()
            }
        });
    let answers = join_all(asked).await;
    let are_all_answers_in = answers.iter().all(Option::is_some);
    (
        answers.into_iter().flatten().flatten().next(),
        are_all_answers_in,
    )
}

/// Returns the addresses of the other ones among the first `count` VMs for a request.
fn ranked_vms(server: &Server, request: &str, count: usize) -> Vec<SocketAddr> {
    let members = lock(&server.members);
    let vms: Vec<Name> = members.live_vms().map(|(vm, _)| vm.clone()).collect();
    let chosen = rendezvous::choose(&vms, request, count);
    let others = chosen.iter().filter(|vm| **vm != server.settings.vm);
    let address_of = |vm: &Name| members.live_vms().find(|(name, _)| *name == vm);
    let addresses = others.filter_map(|vm| Some(address_of(vm)?.1.peer_address));
    addresses.collect()
}

/// Records what another VM tells of a stream.
pub(crate) fn receive_notice(server: &Server, body: &[u8]) -> Response<Body> {
    let notice: StreamNotice = match rmp_serde::from_slice(body) {
        Ok(notice) => notice,
        Err(error) => {
            tracing::warn!(%error, "notice of a stream not decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let now_ms = now_ms();
    let until_ms = now_ms + notice.remaining_ms;
    let mut origins = lock(&server.stream_origins);
    origins.insert(now_ms, notice.request_id, notice.origin, until_ms);
    empty_response(StatusCode::OK)
}

/// Answers another VM who began a stream.
pub(crate) fn answer_query(server: &Server, body: &[u8]) -> Response<Body> {
    let request: Name = match rmp_serde::from_slice(body) {
        Ok(request) => request,
        Err(error) => {
            tracing::warn!(%error, "question about a stream not decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let origin = lock(&server.stream_origins)
        .get(now_ms(), &request)
        .cloned();
    encode(&origin).map_or_else(
        || empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        |bytes| Response::new(full_body(bytes)),
    )
}

fn encode<T>(message: &T) -> Option<Bytes>
where
    T: Serialize,
{
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            tracing::error!(%error, "message about a stream not encoded");
            None
        }
    }
}
