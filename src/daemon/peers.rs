//! Exchanges membership records with other daemons: gossip, probes, anti-entropy
//! and the platform's table.
//!
//! Gossip also carries the number of the configuration in force.

use std::sync::{Arc, atomic::Ordering};

use poem::{Body, Response, handler, web::Data};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    clock::{now_ms, sleep_until},
    config, config_peers,
    platform::TransactResult,
    response::refusal_response,
    state::{Daemon, lock},
};
use crate::{
    core::membership::{Digests, MembershipEffect, MembershipEvent},
    error::{ErrorKind, Refusal},
    wire::{
        peers::{Gossip, MemberRecord, ProbeRequest, SynchroniseRequest},
        platform::{Check, Transaction, Write},
    },
};

const GOSSIP_PATH: &str = "/peer/gossip";
const PROBE_PATH: &str = "/peer/probe";
const SYNCHRONISE_PATH: &str = "/peer/synchronise";
const PROBE_TIMEOUT_MS: u64 = 500;
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
const MAX_SYNCHRONISED_RECORDS: usize = 64;
const VM_KEY_PREFIX: &str = "vm/";

/// Probes other members and gossips with them until the daemon stops.
pub(crate) async fn run_membership(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    let mut config = daemon.config.subscribe();
    while !*stop.borrow_and_update() {
        let next_ms = lock(&daemon.membership).next_deadline_ms();
        tokio::select! {
            () = sleep_until(next_ms) => handle(&daemon, MembershipEvent::Deadline),
            Ok(()) = config.changed() => handle(&daemon, MembershipEvent::UrgentChange),
            _ = stop.changed() => {}
        }
    }
}

/// Passes an event to the membership, and starts the effects that it returns.
pub(crate) fn handle(daemon: &Arc<Daemon>, event: MembershipEvent) {
    let mut effects = Vec::new();
    lock(&daemon.membership).handle(now_ms(), event, &mut effects);
    for effect in effects {
        if effect == MembershipEffect::LeavingChanged {
            let leaving = lock(&daemon.membership).leaving_vms();
            lock(&daemon.endpoints).set_listed_leaving(leaving);
        } else {
            tokio::spawn(run_effect(daemon.clone(), effect));
        }
    }
}

async fn run_effect(daemon: Arc<Daemon>, effect: MembershipEffect) {
    match effect {
        MembershipEffect::Probe { probe, to } => probe_member(&daemon, probe, &to).await,
        MembershipEffect::ProbeThrough {
            probe,
            through,
            target,
        } => {
            let request = ProbeRequest {
                target: target.control_address,
            };
            let reached = post(&daemon, &through, PROBE_PATH, &request).await;
            if reached == Some(true) {
                handle(&daemon, MembershipEvent::ReachedIndirectly { probe });
            }
        }
        MembershipEffect::Synchronise {
            with,
            digests,
            first_bucket,
        } => synchronise(&daemon, &with, digests, first_bucket).await,
        MembershipEffect::ReadTable => read_table(&daemon).await,
        MembershipEffect::DeleteRow { record } => delete_row(&daemon, &record).await,
        MembershipEffect::LeavingChanged => {}
    }
}

/// Sends a message to a member and returns its response, or `None` if there is
/// none.
async fn post<T, A>(daemon: &Daemon, to: &MemberRecord, path: &str, body: &T) -> Option<A>
where
    T: Serialize + Sync,
    A: DeserializeOwned,
{
    let response = daemon
        .control_http
        .post_rmp(to.control_address, path, body, PROBE_TIMEOUT_MS);
    response.await.ok()
}

/// Gossips with a member, which also probes it, and fetches its configuration if
/// that is newer.
async fn probe_member(daemon: &Arc<Daemon>, probe: u64, to: &MemberRecord) {
    let request = with_config_number(
        daemon,
        lock(&daemon.membership).build_gossip_request(now_ms(), &to.vm),
    );
    let Some(gossip) = post::<_, Gossip>(daemon, to, GOSSIP_PATH, &request).await else {
        handle(daemon, MembershipEvent::ProbeUnanswered { probe });
        return;
    };
    let config_number = gossip.config_number;
    handle(daemon, MembershipEvent::ProbeAnswered { probe, gossip });
    if config_number > config::current_number(daemon) {
        config_peers::fetch_update(daemon, to.control_address, config_number).await;
    }
}

/// Compares digests with a member, and takes over the records that differ.
async fn synchronise(
    daemon: &Arc<Daemon>,
    with: &MemberRecord,
    digests: Digests,
    first_bucket: usize,
) {
    let request = SynchroniseRequest {
        digests: digests.to_vec(),
        first_bucket,
    };
    if let Some(records) = post(daemon, with, SYNCHRONISE_PATH, &request).await {
        handle(daemon, MembershipEvent::RecordsReceived(records));
    }
}

/// Sets the number of the configuration in force here.
fn with_config_number(daemon: &Daemon, gossip: Gossip) -> Gossip {
    let config_number = daemon.config.borrow().number;
    Gossip {
        config_number,
        ..gossip
    }
}

/// Handles `POST /peer/gossip`: applies another member's records and answers
/// with records of this one.
#[handler]
pub(crate) async fn answer_gossip(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let received: Gossip = match read_message(&daemon, GOSSIP_PATH, body).await {
        Ok(received) => received,
        Err(response) => return response,
    };
    let (from, config_number) = (received.from.clone(), received.config_number);
    handle(&daemon, MembershipEvent::GossipReceived(received));
    let answer = lock(&daemon.membership).build_gossip_answer(now_ms(), &from);
    let sender = lock(&daemon.membership)
        .records()
        .find(|record| record.vm == from)
        .cloned();
    if let Some(sender) = sender.filter(|_| config_number > daemon.config.borrow().number) {
        let daemon = daemon.clone();
        tokio::spawn(async move {
            config_peers::fetch_update(&daemon, sender.control_address, config_number).await;
        });
    }
    message_response(&daemon, GOSSIP_PATH, &with_config_number(&daemon, answer))
}

/// Handles `POST /peer/probe`: probes a member on behalf of another one.
#[handler]
pub(crate) async fn answer_probe(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let request: ProbeRequest = match read_message(&daemon, PROBE_PATH, body).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let gossip = with_config_number(
        &daemon,
        lock(&daemon.membership).build_gossip_request(now_ms(), ""),
    );
    let response: Result<Gossip, _> = daemon
        .control_http
        .post_rmp(request.target, GOSSIP_PATH, &gossip, PROBE_TIMEOUT_MS)
        .await;
    message_response(&daemon, PROBE_PATH, &response.is_ok())
}

/// Handles `POST /peer/synchronise`: returns records of the buckets whose
/// digests differ.
#[handler]
pub(crate) async fn answer_synchronise(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let request: SynchroniseRequest = match read_message(&daemon, SYNCHRONISE_PATH, body).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let records = lock(&daemon.membership).differing_records(
        &request.digests,
        request.first_bucket,
        MAX_SYNCHRONISED_RECORDS,
    );
    message_response(&daemon, SYNCHRONISE_PATH, &records)
}

/// Reads and decodes the body of a member's message.
///
/// # Errors
///
/// A response with [`ErrorKind::BadRequest`] if the body cannot be read, exceeds
/// [`MAX_MESSAGE_BYTES`] or cannot be decoded.
async fn read_message<T>(daemon: &Daemon, path: &str, body: Body) -> Result<T, Response>
where
    T: DeserializeOwned,
{
    let bytes = body.into_bytes_limit(MAX_MESSAGE_BYTES).await;
    let bytes = bytes.unwrap_or_default();
    daemon.traffic.on_request_received(path, bytes.len());
    rmp_serde::from_slice(&bytes).map_err(|_| {
        let refusal = Refusal::new(
            ErrorKind::BadRequest,
            format!("the body of the message to {path} cannot be read or decoded"),
        );
        refusal_response(daemon, &refusal)
    })
}

fn message_response<T>(daemon: &Daemon, path: &str, message: &T) -> Response
where
    T: Serialize,
{
    let body = rmp_serde::to_vec(message).unwrap_or_default();
    daemon.traffic.on_response_sent(path, body.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(body)
}

/// Reads the records of all members from the table.
async fn read_table(daemon: &Arc<Daemon>) {
    daemon.metrics.platform_reads.inc();
    let Ok(rows) = daemon.platform.scan(VM_KEY_PREFIX).await else {
        return;
    };
    let records = rows
        .into_iter()
        .filter_map(|row| serde_json::from_value(row.value).ok());
    handle(daemon, MembershipEvent::RecordsReceived(records.collect()));
    daemon.has_read_members.store(true, Ordering::SeqCst);
}

/// Writes this member's record to the table, from which starting members read,
/// and returns whether it was committed.
pub(crate) async fn write_own_row(daemon: &Daemon) -> bool {
    let record = lock(&daemon.membership).own_record().clone();
    let key = format!("{VM_KEY_PREFIX}{}", record.vm).into();
    let transaction = Transaction {
        checks: Vec::new(),
        writes: vec![Write {
            key,
            value: serde_json::to_value(&record).ok(),
        }],
    };
    daemon.metrics.platform_writes.inc();
    matches!(
        daemon.platform.transact(&transaction).await,
        TransactResult::Committed(_)
    )
}

/// Deletes the row of a member that has gone, unless a later incarnation of it
/// wrote the row.
pub(crate) async fn delete_row(daemon: &Daemon, record: &MemberRecord) {
    let key: Arc<str> = format!("{VM_KEY_PREFIX}{}", record.vm).into();
    daemon.metrics.platform_reads.inc();
    let Ok(Some(row)) = daemon.platform.get(&key).await else {
        return;
    };
    let stored: Option<MemberRecord> = serde_json::from_value(row.value).ok();
    if stored.is_some_and(|stored| stored.incarnation > record.incarnation) {
        return;
    }
    let transaction = Transaction {
        checks: vec![Check {
            key: key.clone(),
            row_version: row.row_version,
        }],
        writes: vec![Write { key, value: None }],
    };
    daemon.metrics.platform_writes.inc();
    // If the row remains, it only costs one probe at the next start.
    let _ = daemon.platform.transact(&transaction).await;
}
