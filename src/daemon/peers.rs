//! Other daemons: records of members, and the configuration's number.

use std::sync::{Arc, atomic::Ordering};

use poem::{Body, Response, handler, web::Data};

use super::{
    answer::refuse,
    clock::{now_ms, sleep_until},
    config_peers,
    state::{Daemon, lock},
};
use crate::{
    error::{ErrorKind, Refusal},
    wire::{
        peers::Gossip,
        platform::{Transaction, Write},
    },
};

const EXCHANGE_MS: u64 = 500;
const TIMEOUT_MS: u64 = 1_000;
const MAX_GOSSIP_BYTES: usize = 1024 * 1024;
const VM_PREFIX: &str = "vm/";
const TABLE_EVERY: u32 = 10;

fn gossip(daemon: &Daemon) -> Gossip {
    let config_number = daemon.config.borrow().number;
    let members = lock(&daemon.membership);
    Gossip {
        from: daemon.me.vm.clone(),
        config_number,
        records: members.records().cloned().collect(),
        crashes: Vec::new(),
    }
}

/// `POST /peer/gossip`: takes another member's records and answers with own ones.
#[handler]
pub(crate) async fn exchange(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let bytes = body
        .into_bytes_limit(MAX_GOSSIP_BYTES)
        .await
        .unwrap_or_default();
    let Ok(received) = rmp_serde::from_slice::<Gossip>(&bytes) else {
        return refuse(
            &daemon,
            &Refusal::new(ErrorKind::BadRequest, "the gossip cannot be read"),
        );
    };
    lock(&daemon.membership).merge(received.records);
    let answer = rmp_serde::to_vec(&gossip(&daemon)).unwrap_or_default();
    daemon.metrics.control_messages.inc_by(2);
    daemon
        .metrics
        .control_bytes
        .inc_by((bytes.len() + answer.len()) as u64);
    Response::builder()
        .content_type("application/msgpack")
        .body(answer)
}

/// Exchanges records with a member drawn at random, again and again.
pub(crate) async fn gossip_loop(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop.subscribe();
    let mut turn = 0;
    while !*stop.borrow_and_update() {
        if turn % TABLE_EVERY == 0 {
            read_table(&daemon).await;
        }
        turn += 1;
        exchange_once(&daemon).await;
        tokio::select! {
            () = sleep_until(now_ms() + EXCHANGE_MS) => {}
            _ = stop.changed() => {}
        }
    }
}

async fn exchange_once(daemon: &Daemon) {
    let peer = lock(&daemon.membership)
        .draw_peer(&mut *lock(&daemon.rng))
        .cloned();
    let Some(peer) = peer else { return };
    let own = gossip(daemon);
    let answer = daemon
        .http
        .post_rmp(peer.control_address, "/peer/gossip", &own, TIMEOUT_MS)
        .await;
    let Ok(received): Result<Gossip, _> = answer else {
        return;
    };
    lock(&daemon.membership).merge(received.records);
    if received.config_number > daemon.config.borrow().number {
        config_peers::fetch(daemon, peer.control_address, received.config_number).await;
    }
}

async fn read_table(daemon: &Daemon) {
    daemon.metrics.platform_reads.inc();
    let Ok(rows) = daemon.platform.scan(VM_PREFIX).await else {
        return;
    };
    let records = rows
        .into_iter()
        .filter_map(|row| serde_json::from_value(row.value).ok());
    lock(&daemon.membership).merge(records);
    daemon.has_read_members.store(true, Ordering::SeqCst);
}

/// Writes this member's record to the table, where starting members look.
pub(crate) async fn announce(daemon: &Daemon) -> bool {
    let me = lock(&daemon.membership).me().clone();
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
        super::platform::Written::Committed(_)
    )
}
