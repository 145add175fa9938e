//! Other daemons: probes, news, anti-entropy, and the configuration's number.

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

const GOSSIP: &str = "/peer/gossip";
const PROBE: &str = "/peer/probe";
const SYNCHRONISE: &str = "/peer/synchronise";
const PROBE_TIMEOUT_MS: u64 = 500;
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
const MAX_SYNCHRONISED: usize = 64;
const VM_PREFIX: &str = "vm/";

/// Probes other members and spreads news, until the daemon stops.
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

/// Tells the membership what happened, and starts what follows from it.
pub(crate) fn handle(daemon: &Arc<Daemon>, event: MembershipEvent) {
    let mut effects = Vec::new();
    lock(&daemon.membership).handle(now_ms(), event, &mut effects);
    for effect in effects {
        if effect == MembershipEffect::LeavingChanged {
            let leaving = lock(&daemon.membership).leaving_vms();
            lock(&daemon.endpoints).set_listed_leaving(leaving);
        } else {
            tokio::spawn(carry_out(daemon.clone(), effect));
        }
    }
}

async fn carry_out(daemon: Arc<Daemon>, effect: MembershipEffect) {
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
            let reached = post(&daemon, &through, PROBE, &request).await;
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

async fn post<T, A>(daemon: &Daemon, to: &MemberRecord, path: &str, body: &T) -> Option<A>
where
    T: Serialize + Sync,
    A: DeserializeOwned,
{
    let answer = daemon
        .control_http
        .post_rmp(to.control_address, path, body, PROBE_TIMEOUT_MS);
    answer.await.ok()
}

async fn probe_member(daemon: &Arc<Daemon>, probe: u64, to: &MemberRecord) {
    let request = with_number(
        daemon,
        lock(&daemon.membership).build_gossip_request(now_ms(), &to.vm),
    );
    let Some(gossip) = post::<_, Gossip>(daemon, to, GOSSIP, &request).await else {
        handle(daemon, MembershipEvent::ProbeUnanswered { probe });
        return;
    };
    let config_number = gossip.config_number;
    handle(daemon, MembershipEvent::ProbeAnswered { probe, gossip });
    if config_number > config::current_number(daemon) {
        config_peers::fetch_update(daemon, to.control_address, config_number).await;
    }
}

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
    if let Some(records) = post(daemon, with, SYNCHRONISE, &request).await {
        handle(daemon, MembershipEvent::RecordsReceived(records));
    }
}

fn with_number(daemon: &Daemon, gossip: Gossip) -> Gossip {
    let config_number = daemon.config.borrow().number;
    Gossip {
        config_number,
        ..gossip
    }
}

/// `POST /peer/gossip`: takes another member's news and answers with own ones.
#[handler]
pub(crate) async fn answer_gossip(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let received: Gossip = match read(&daemon, GOSSIP, body).await {
        Ok(received) => received,
        Err(refused) => return refused,
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
    write(&daemon, GOSSIP, &with_number(&daemon, answer))
}

/// `POST /peer/probe`: probes a member for another one.
#[handler]
pub(crate) async fn answer_probe(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let request: ProbeRequest = match read(&daemon, PROBE, body).await {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    let gossip = with_number(
        &daemon,
        lock(&daemon.membership).build_gossip_request(now_ms(), ""),
    );
    let answer: Result<Gossip, _> = daemon
        .control_http
        .post_rmp(request.target, GOSSIP, &gossip, PROBE_TIMEOUT_MS)
        .await;
    write(&daemon, PROBE, &answer.is_ok())
}

/// `POST /peer/synchronise`: answers with the records of buckets that differ.
#[handler]
pub(crate) async fn answer_synchronise(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let request: SynchroniseRequest = match read(&daemon, SYNCHRONISE, body).await {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    let records = lock(&daemon.membership).differing_records(
        &request.digests,
        request.first_bucket,
        MAX_SYNCHRONISED,
    );
    write(&daemon, SYNCHRONISE, &records)
}

async fn read<T>(daemon: &Daemon, path: &str, body: Body) -> Result<T, Response>
where
    T: DeserializeOwned,
{
    let bytes = body.into_bytes_limit(MAX_MESSAGE_BYTES).await;
    let bytes = bytes.unwrap_or_default();
    daemon.traffic.on_request_received(path, bytes.len());
    rmp_serde::from_slice(&bytes).map_err(|_| {
        let refusal = Refusal::new(ErrorKind::BadRequest, "the message cannot be read");
        refusal_response(daemon, &refusal)
    })
}

fn write<T>(daemon: &Daemon, path: &str, answer: &T) -> Response
where
    T: Serialize,
{
    let answer = rmp_serde::to_vec(answer).unwrap_or_default();
    daemon.traffic.on_response_sent(path, answer.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(answer)
}

async fn read_table(daemon: &Arc<Daemon>) {
    daemon.metrics.platform_reads.inc();
    let Ok(rows) = daemon.platform.scan(VM_PREFIX).await else {
        return;
    };
    let records = rows
        .into_iter()
        .filter_map(|row| serde_json::from_value(row.value).ok());
    handle(daemon, MembershipEvent::RecordsReceived(records.collect()));
    daemon.has_read_members.store(true, Ordering::SeqCst);
}

/// Writes this member's record to the table, where starting members look.
pub(crate) async fn write_own_row(daemon: &Daemon) -> bool {
    let me = lock(&daemon.membership).own_record().clone();
    let key = format!("{VM_PREFIX}{}", me.vm).into();
    let transaction = Transaction {
        checks: Vec::new(),
        writes: vec![Write {
            key,
            value: serde_json::to_value(&me).ok(),
        }],
    };
    daemon.metrics.platform_writes.inc();
    matches!(
        daemon.platform.transact(&transaction).await,
        TransactResult::Committed(_)
    )
}

/// Deletes the row of a member that is gone, unless a later start wrote it.
pub(crate) async fn delete_row(daemon: &Daemon, record: &MemberRecord) {
    let key: Arc<str> = format!("{VM_PREFIX}{}", record.vm).into();
    daemon.metrics.platform_reads.inc();
    let Ok(Some(row)) = daemon.platform.get(&key).await else {
        return;
    };
    let written: Option<MemberRecord> = serde_json::from_value(row.value).ok();
    if written.is_some_and(|written| written.incarnation > record.incarnation) {
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
    // What is left behind costs a probe at the next start, and no more.
    let _ = daemon.platform.transact(&transaction).await;
}
