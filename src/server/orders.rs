//! Moving endpoints to the weights version that was named.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{
    members::{LEADER_LEASE_KEY, VM_TABLE},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        leader_lease::LeaseClaim,
        weights::{LoadOrder, ModelTarget, SentOrder, plan_load_orders},
    },
    daemon::now_ms,
    platform::{
        Condition, Order, OrderOutcome, Tx, TxOutcome, build_order_request, build_report_request,
        decode_orders_accepted, order_outcome,
    },
};

/// How often it is looked at who orders and what is to be ordered, in
/// milliseconds.
const LOOK_MS: u64 = 50;
/// How long an order may go without an answer, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_000;
/// How long an order counts as being carried out, in milliseconds: loading
/// weights takes about a second, and the list of endpoints lags.
const CARRIED_OUT_MS: u64 = 2_500;

/// Takes and keeps the leader lease, and orders while it is held.
pub(crate) async fn order(server: Arc<Server>) {
    let mut sent: BTreeMap<Name, SentOrder> = BTreeMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        if server.is_draining() {
            step_down(&server).await;
            return;
        }
        if !server.is_ready() {
            continue;
        }
        keep_leader_lease(&server).await;
        let now_ms = now_ms();
        if fence(&server).is_none() {
            sent.clear();
            continue;
        }
        sent.retain(|_, order| order.until_ms > now_ms);
        let due = {
            let named = named(&server);
            let pool = lock(&server.pool);
            sent.retain(|id, order| !is_carried_out(&pool, id, order));
            plan_load_orders(&pool, &named, &sent, now_ms)
        };
        for entry in due {
            let order = SentOrder {
                model: entry.model.clone(),
                version: entry.version,
                until_ms: now_ms + CARRIED_OUT_MS,
            };
            sent.insert(entry.endpoint.clone(), order);
            let (server, entry) = (server.clone(), entry.clone());
            tokio::spawn(async move { send(&server, &entry).await });
        }
    }
}

fn is_carried_out(pool: &crate::core::pool::Pool, id: &str, order: &SentOrder) -> bool {
    pool.get(id).is_none_or(|endpoint| {
        let loaded = endpoint.weights_version(&order.model);
        loaded >= order.version
    })
}

/// How far behind the named version samples may be where no batch has said.
const DEFAULT_LAG: u64 = 1;
/// More than this is a trainer that has fallen behind, not what it allows.
const MAX_LAG: u64 = 1;

/// Returns what trainers ask for of each model.
fn named(server: &Server) -> BTreeMap<Name, ModelTarget> {
    let named = lock(&server.named_weights);
    let batches = lock(&server.batches);
    let of_model = |(model, version): (&Name, &u64)| {
        let asked = batches.demand.get(model);
        let lag = asked.map_or(DEFAULT_LAG, |asked| {
            version.saturating_sub(asked.min_version)
        });
        let named = ModelTarget {
            version: *version,
            allowed_lag: lag.min(MAX_LAG),
            step_tokens: asked.map_or(0, |asked| asked.tokens),
        };
        (model.clone(), named)
    };
    named.iter().map(of_model).collect()
}

fn fence(server: &Server) -> Option<u64> {
    let (_, latest_ms) = server.store.clock_bounds_ms()?;
    lock(&server.leader_lease).fence(latest_ms)
}

async fn keep_leader_lease(server: &Server) {
    let Some((earliest_ms, _)) = server.store.clock_bounds_ms() else {
        return;
    };
    let claim = lock(&server.leader_lease).claim(now_ms(), earliest_ms);
    if let Some(claim) = claim {
        let had_fence = fence(server).is_some();
        let fence = claim.row.fence;
        if write(server, claim).await && !had_fence {
            tracing::info!(fence, "orders endpoints from now on");
        }
    }
}

async fn write(server: &Server, claim: LeaseClaim) -> bool {
    let bytes = match rmp_serde::to_vec_named(&claim.row) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "row of orders cannot be written");
            return false;
        }
    };
    let tx = Tx {
        conditions: vec![Condition {
            table: VM_TABLE,
            key: LEADER_LEASE_KEY.into(),
            row_version: claim.row_version,
        }],
        set: vec![(VM_TABLE, LEADER_LEASE_KEY.into(), bytes)],
        ..Tx::default()
    };
    match server.store.transact(&tx).await {
        Ok(TxOutcome::Committed(row_version)) => {
            lock(&server.leader_lease).on_written(claim.row, row_version);
            true
        }
        // The next reading of the VMs' rows tells who holds it.
        Ok(TxOutcome::Conflict(_)) => false,
        Err(error) => {
            tracing::warn!(%error, "row of orders not written");
            false
        }
    }
}

async fn step_down(server: &Server) {
    let Some((_, latest_ms)) = server.store.clock_bounds_ms() else {
        return;
    };
    let claim = lock(&server.leader_lease).step_down(latest_ms);
    if let Some(claim) = claim
        && write(server, claim).await
    {
        tracing::info!("orders endpoints no longer");
    }
}

async fn send(server: &Arc<Server>, entry: &LoadOrder) {
    let known = lock(&server.pool)
        .get(&entry.endpoint)
        .map(|known| (known.record.address, known.orders_accepted));
    let Some((address, orders_accepted)) = known else {
        return;
    };
    let orders_accepted = match orders_accepted {
        Some(count) => count,
        None => match read_count(server, entry, address).await {
            Ok(count) => count,
            Err(error) => {
                tracing::warn!(endpoint = %entry.endpoint, error, "count of orders not read");
                return;
            }
        },
    };
    // Checked as late as possible: nobody else may have the leader lease by now.
    let Some(fence) = fence(server) else { return };
    let host = address.to_string();
    let order = Order {
        endpoint: &entry.endpoint,
        host: &host,
        model: &entry.model,
        version: entry.version,
        holder: &server.settings.vm,
        fence,
        orders_accepted,
    };
    let request = match build_order_request(&order) {
        Ok(request) => request,
        Err(error) => {
            tracing::error!(%error, "order cannot be written");
            return;
        }
    };
    server.metrics.orders.inc();
    let deadline_ms = now_ms() + ORDER_TIMEOUT_MS;
    let reply = server
        .http
        .exchange_whole(address, request, deadline_ms)
        .await;
    let (endpoint, version) = (&entry.endpoint, entry.version);
    let outcome = match reply {
        Ok(reply) => {
            let outcome = order_outcome(reply.status);
            tracing::info!(%endpoint, version, fence, orders_accepted, ?outcome, "ordered");
            Some(outcome)
        }
        Err(error) => {
            tracing::warn!(%endpoint, version, fence, orders_accepted, %error, "order unanswered");
            None
        }
    };
    note(server, entry, outcome, orders_accepted);
}

async fn read_count(
    server: &Arc<Server>,
    entry: &LoadOrder,
    address: SocketAddr,
) -> Result<u64, String> {
    let request = build_report_request(&entry.endpoint, &address.to_string())?;
    let deadline_ms = now_ms() + ORDER_TIMEOUT_MS;
    let reply = server
        .http
        .exchange_whole(address, request, deadline_ms)
        .await;
    let reply = reply.map_err(|error| error.to_string())?;
    decode_orders_accepted(reply.status, &reply.body)
}

fn note(server: &Server, entry: &LoadOrder, outcome: Option<OrderOutcome>, orders_accepted: u64) {
    let mut pool = lock(&server.pool);
    let Some(known) = pool.get_mut(&entry.endpoint) else {
        return;
    };
    // Without an answer the order may have been accepted, or may be later.
    known.orders_accepted = None;
    match outcome {
        Some(OrderOutcome::Started) => known.orders_accepted = Some(orders_accepted + 1),
        Some(OrderOutcome::Holds) => {
            known
                .record
                .weights
                .insert(entry.model.clone(), entry.version);
        }
        Some(OrderOutcome::Conflict | OrderOutcome::Refused) | None => {}
    }
}
