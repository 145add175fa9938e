//! Orders endpoints to load the newest weights versions that trainers named.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::{
    endpoint_exchange::{self, Outgoing, SendProgress, SendTerms},
    members::{LEADER_LEASE_KEY, VM_TABLE},
    paths,
    permits::{self, Permit},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        leader_lease::LeaseClaim,
        rate_limit::Purpose,
        weights::{LoadOrder, ModelTarget, SentOrder, plan_load_orders},
    },
    daemon::now_ms,
    platform::{
        Condition, Order, OrderOutcome, Tx, TxOutcome, build_order_request, build_report_request,
        decode_orders_accepted, order_outcome,
    },
};

/// The interval at which the leader lease is checked and due orders are sent,
/// in milliseconds.
const ORDER_CHECK_INTERVAL_MS: u64 = 50;
/// The timeout of an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_000;
/// How long an order counts as in progress, in milliseconds: loading weights
/// takes about a second, and the list of endpoints lags behind.
const ORDER_IN_PROGRESS_MS: u64 = 2_500;

/// Acquires and renews the leader lease, and sends orders while this VM holds
/// it.
///
/// Returns once the VM drains, after it has stepped down.
pub(crate) async fn run_orders(server: Arc<Server>) {
    let mut sent: BTreeMap<Name, SentOrder> = BTreeMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(ORDER_CHECK_INTERVAL_MS)).await;
        if server.is_draining() {
            step_down(&server).await;
            return;
        }
        if !server.is_ready() {
            continue;
        }
        if paths::leaves_orders_to_others(&server) {
            step_down(&server).await;
            continue;
        }
        keep_leader_lease(&server).await;
        let now_ms = now_ms();
        if current_fence(&server).is_none() {
            sent.clear();
            continue;
        }
        sent.retain(|_, order| order.until_ms > now_ms);
        let due = {
            let targets = model_targets(&server);
            let pool = lock(&server.pool);
            sent.retain(|id, order| !is_loaded_or_gone(&pool, id, order));
            plan_load_orders(&pool, &targets, &sent, now_ms)
        };
        for load_order in due {
            let order = SentOrder {
                model: load_order.model.clone(),
                version: load_order.version,
                until_ms: now_ms + ORDER_IN_PROGRESS_MS,
            };
            sent.insert(load_order.endpoint.clone(), order);
            let (server, load_order) = (server.clone(), load_order.clone());
            tokio::spawn(async move { send_order(&server, &load_order).await });
        }
    }
}

fn is_loaded_or_gone(pool: &crate::core::pool::Pool, id: &str, order: &SentOrder) -> bool {
    pool.get(id).is_none_or(|endpoint| {
        let loaded = endpoint.weights_version(&order.model);
        loaded >= order.version
    })
}

/// How many versions behind the newest samples may be if no batch of the model
/// is known.
const DEFAULT_ALLOWED_LAG: u64 = 1;
/// The maximum allowed lag, in versions: a greater difference means that the
/// trainer itself has fallen behind.
const MAX_ALLOWED_LAG: u64 = 1;

/// Returns what the trainer of each model needs: the newest weights version,
/// the allowed lag behind it and the tokens of a step.
fn model_targets(server: &Server) -> BTreeMap<Name, ModelTarget> {
    let newest = lock(&server.newest_weights);
    let batches = lock(&server.batches);
    let target_of = |(model, version): (&Name, &u64)| {
        let demand = batches.demand.get(model);
        let lag = demand.map_or(DEFAULT_ALLOWED_LAG, |demand| {
            version.saturating_sub(demand.min_version)
        });
        let target = ModelTarget {
            version: *version,
            allowed_lag: lag.min(MAX_ALLOWED_LAG),
            step_tokens: demand.map_or(0, |demand| demand.tokens),
        };
        (model.clone(), target)
    };
    newest.iter().map(target_of).collect()
}

fn current_fence(server: &Server) -> Option<u64> {
    let (_, latest_ms) = server.store.clock_bounds_ms()?;
    lock(&server.leader_lease).fence(latest_ms)
}

async fn keep_leader_lease(server: &Server) {
    let Some((earliest_ms, _)) = server.store.clock_bounds_ms() else {
        return;
    };
    let claim = lock(&server.leader_lease).claim(now_ms(), earliest_ms);
    if let Some(claim) = claim {
        let had_fence = current_fence(server).is_some();
        let fence = claim.row.fence;
        if write_leader_lease(server, claim).await && !had_fence {
            tracing::info!(fence, "this VM now sends orders to endpoints");
        }
    }
}

async fn write_leader_lease(server: &Server, claim: LeaseClaim) -> bool {
    let bytes = match rmp_serde::to_vec_named(&claim.row) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "leader lease row not encoded");
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
        // The holder is known after the next read of the table of VMs.
        Ok(TxOutcome::Conflict(_)) => false,
        Err(error) => {
            tracing::warn!(%error, "leader lease row not written");
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
        && write_leader_lease(server, claim).await
    {
        tracing::info!("this VM no longer sends orders to endpoints");
    }
}

async fn send_order(server: &Arc<Server>, load_order: &LoadOrder) {
    let known = lock(&server.pool)
        .get(&load_order.endpoint)
        .map(|known| (known.record.address, known.orders_accepted));
    let Some((address, orders_accepted)) = known else {
        return;
    };
    let orders_accepted = match orders_accepted {
        Some(count) => count,
        None => match read_orders_accepted(server, load_order, address).await {
            Ok(count) => count,
            Err(error) => {
                tracing::warn!(endpoint = %load_order.endpoint, error,
                    "count of accepted orders not read");
                return;
            }
        },
    };
    let permit = match permits::obtain(server, &load_order.endpoint, "-", Purpose::Order, 0).await {
        Ok(permit) => permit,
        Err(error) => {
            tracing::warn!(endpoint = %load_order.endpoint, %error, "order not sent");
            return;
        }
    };
    // Checked as late as possible, since another VM may hold the leader lease
    // by now.
    let Some(fence) = current_fence(server) else {
        return;
    };
    let host = address.to_string();
    let order = Order {
        endpoint: &load_order.endpoint,
        host: &host,
        model: &load_order.model,
        version: load_order.version,
        holder: &server.settings.vm,
        fence,
        orders_accepted,
    };
    let request = match build_order_request(&order) {
        Ok(request) => request,
        Err(error) => {
            tracing::error!(endpoint = %load_order.endpoint, %error, "order not encoded");
            return;
        }
    };
    server.metrics.orders.inc();
    let deadline_ms = now_ms() + ORDER_TIMEOUT_MS;
    let endpoint = &load_order.endpoint;
    let outgoing = outgoing_order(request, permit, deadline_ms);
    let reply =
        endpoint_exchange::exchange_whole(server, endpoint, address, outgoing, deadline_ms).await;
    let (endpoint, version) = (&load_order.endpoint, load_order.version);
    let outcome = match reply {
        Ok(reply) => {
            let outcome = order_outcome(reply.status);
            tracing::info!(%endpoint, version, fence, orders_accepted, ?outcome, "ordered");
            Some(outcome)
        }
        Err(error) => {
            tracing::warn!(%endpoint, version, fence, orders_accepted, %error,
                "order not answered");
            None
        }
    };
    record_outcome(server, load_order, outcome, orders_accepted);
}

/// Returns an order or the question that it needs, which no other VM may send: endpoints
/// take orders of one VM at a time.
fn outgoing_order(request: Request<Full<Bytes>>, permit: Permit, until_ms: u64) -> Outgoing {
    Outgoing {
        request,
        permit,
        terms: SendTerms {
            purpose: Purpose::Order,
            // It states how many orders the endpoint has accepted before.
            is_idempotent: true,
            may_relay: false,
            until_ms,
            progress: SendProgress::default(),
        },
    }
}

async fn read_orders_accepted(
    server: &Arc<Server>,
    load_order: &LoadOrder,
    address: SocketAddr,
) -> Result<u64, String> {
    let request = build_report_request(&load_order.endpoint, &address.to_string())?;
    let permit = permits::obtain(server, &load_order.endpoint, "-", Purpose::Order, 0).await;
    let permit = permit.map_err(|error| error.to_string())?;
    let deadline_ms = now_ms() + ORDER_TIMEOUT_MS;
    let endpoint = &load_order.endpoint;
    let outgoing = outgoing_order(request, permit, deadline_ms);
    let reply =
        endpoint_exchange::exchange_whole(server, endpoint, address, outgoing, deadline_ms).await;
    let reply = reply.map_err(|error| error.to_string())?;
    decode_orders_accepted(reply.status, &reply.body)
}

fn record_outcome(
    server: &Server,
    load_order: &LoadOrder,
    outcome: Option<OrderOutcome>,
    orders_accepted: u64,
) {
    let mut pool = lock(&server.pool);
    let Some(known) = pool.get_mut(&load_order.endpoint) else {
        return;
    };
    // Without an answer, the order may have been accepted or may still be.
    known.orders_accepted = None;
    match outcome {
        Some(OrderOutcome::Started) => known.orders_accepted = Some(orders_accepted + 1),
        Some(OrderOutcome::Holds) => {
            known
                .record
                .weights
                .insert(load_order.model.clone(), load_order.version);
        }
        Some(OrderOutcome::Conflict | OrderOutcome::Refused) | None => {}
    }
}
