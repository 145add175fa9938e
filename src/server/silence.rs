//! Finds endpoints that have become unreachable under runs, before the platform's
//! list tells.
//!
//! An endpoint that this VM alone cannot reach may be cut off from it. It counts as
//! crashed only if VMs of other data centres that reach other endpoints do not reach it
//! either.

use std::{collections::BTreeMap, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, join, join_all, select};
use hyper::{Response, StatusCode};
use rand::seq::IteratorRandom;
use tokio::sync::OnceCell;

use super::{
    crash,
    http_client::Reachability,
    paths,
    peer_call::post_to_peer,
    response::{Body, empty_response, full_body},
    state::{Server, lock},
};
use crate::{
    core::{Name, paths::Testimony, pool::EndpointRecord},
    daemon::{now_ms, sleep_until},
    wire::peers::{REACHABILITY_PATH, ReachabilityQuery},
};

/// The interval at which endpoints are searched that are silent, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 100;
/// How long an endpoint may take to accept a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// How long an endpoint may take before others are checked as well, in milliseconds.
const OTHERS_DELAY_MS: u64 = 20;
/// How long another VM may take to answer, in milliseconds: its own attempts to
/// connect and a round trip.
const ANSWER_TIMEOUT_MS: u64 = CONNECT_TIMEOUT_MS + 150;
/// For how long a verdict on an endpoint that refuses connections holds, in milliseconds.
const VERDICT_KEEP_MS: u64 = 500;
/// The most VMs that are asked about one endpoint.
const MAX_ASKED_VMS: usize = 3;

/// Whether an incarnation of an endpoint has ended, and until when that holds.
pub(crate) type EndVerdicts = BTreeMap<(Name, u64), (u64, Arc<OnceCell<bool>>)>;

/// Checks endpoints that are silent during runs, for as long as the process runs.
pub(crate) async fn check_silent_endpoints(server: Arc<Server>) {
    loop {
        tokio::time::sleep(Duration::from_millis(SEARCH_INTERVAL_MS)).await;
        let silent = lock(&server.pool).take_silent(now_ms());
        for record in silent {
            tokio::spawn(check_endpoint(server.clone(), record));
        }
    }
}

async fn check_endpoint(server: Arc<Server>, record: EndpointRecord) {
    let reachability = paths::check(&server, &record, CONNECT_TIMEOUT_MS).await;
    if reachability == Reachability::Accepts {
        if let Some(known) = lock(&server.pool).get_mut(&record.id) {
            known.on_heard(now_ms());
        }
        return;
    }
    paths::check_others_in_background(&server, &record.id);
    let testimonies = ask_other_vms(&server, &record).await;
    let is_gone = Testimony::show_gone(&testimonies);
    tracing::info!(endpoint = %record.id, incarnation = record.started_unix_ms, %reachability,
        ?testimonies, is_gone, "endpoint is silent");
    if is_gone {
        crash::on_endpoint_unreachable(&server, &record).await;
    } else if testimonies.contains(&Testimony::Reached)
        && let Some(known) = lock(&server.pool).get_mut(&record.id)
    {
        known.on_heard(now_ms());
    }
}

/// Returns whether an endpoint that refuses connections of this VM has ended, by the word
/// of this VM and others.
///
/// Connections are refused as well where this VM is cut off. Runs that break off together
/// share one verdict.
pub(crate) async fn has_ended(server: &Arc<Server>, record: &EndpointRecord) -> bool {
    let verdict = {
        let now_ms = now_ms();
        let mut verdicts = lock(&server.end_verdicts);
        verdicts.retain(|_, (until_ms, _)| *until_ms > now_ms);
        let key = (record.id.clone(), record.started_unix_ms);
        let fresh = || (now_ms + VERDICT_KEEP_MS, Arc::default());
        verdicts.entry(key).or_insert_with(fresh).1.clone()
    };
    *verdict.get_or_init(|| judge_end(server, record)).await
}

async fn judge_end(server: &Arc<Server>, record: &EndpointRecord) -> bool {
    let own = paths::reaches_other(server, record);
    let (reaches_other, mut testimonies) = join(own, ask_other_vms(server, record)).await;
    testimonies.push(if reaches_other {
        Testimony::Unreached
    } else {
        Testimony::CutOff
    });
    let has_ended = Testimony::show_gone(&testimonies);
    tracing::info!(endpoint = %record.id, incarnation = record.started_unix_ms, ?testimonies,
        has_ended, "endpoint refuses connections");
    has_ended
}

/// Asks VMs of different data centres whether they reach an endpoint, and returns the
/// answers that arrive in time.
pub(crate) async fn ask_other_vms(server: &Server, record: &EndpointRecord) -> Vec<Testimony> {
    let query = ReachabilityQuery {
        endpoint: record.id.clone(),
        incarnation: record.started_unix_ms,
    };
    let body: Bytes = match rmp_serde::to_vec(&query) {
        Ok(body) => body.into(),
        Err(error) => {
            tracing::error!(%error, "question about an endpoint not encoded");
            return Vec::new();
        }
    };
    let deadline_ms = now_ms() + ANSWER_TIMEOUT_MS;
    let asked = choose_vms(server).into_iter().map(|address| {
        let body = body.clone();
        async move {
            let reply = post_to_peer(server, address, REACHABILITY_PATH, body, deadline_ms).await;
            let reply = reply.inspect_err(
                |error| tracing::debug!(%address, %error, "VM does not tell of an endpoint"),
            );
            let reply = reply.ok().filter(|reply| reply.status == StatusCode::OK)?;
            rmp_serde::from_slice::<Testimony>(&reply.body).ok()
        }
    });
    join_all(asked).await.into_iter().flatten().collect()
}

/// Chooses one VM of each of some data centres at random, and other VMs if there are
/// too few data centres.
fn choose_vms(server: &Server) -> Vec<SocketAddr> {
    let own_address = server.settings.peer_address;
    let mut rng = lock(&server.rng);
    let members = lock(&server.members);
    let mut by_data_centre: BTreeMap<&Name, Vec<SocketAddr>> = BTreeMap::new();
    let others = members.live_vms().map(|(_, row)| row);
    for row in others.filter(|row| row.peer_address != own_address) {
        let addresses = by_data_centre.entry(&row.data_centre).or_default();
        addresses.push(row.peer_address);
    }
    let one_of = |addresses: &Vec<SocketAddr>, rng: &mut _| addresses.iter().copied().choose(rng);
    let spread: Vec<SocketAddr> = by_data_centre
        .values()
        .filter_map(|addresses| one_of(addresses, &mut *rng))
        .collect();
    let mut chosen = spread.into_iter().choose_multiple(&mut *rng, MAX_ASKED_VMS);
    let rest = by_data_centre.into_values().flatten();
    let rest: Vec<SocketAddr> = rest.filter(|other| !chosen.contains(other)).collect();
    let missing = MAX_ASKED_VMS - chosen.len();
    chosen.extend(rest.into_iter().choose_multiple(&mut *rng, missing));
    chosen
}

/// Finds out whether this VM reaches an endpoint, and if not, whether it reaches others.
async fn testify(server: &Arc<Server>, record: &EndpointRecord) -> Testimony {
    let reached = pin!(paths::check(server, record, CONNECT_TIMEOUT_MS));
    let others = pin!(async {
        sleep_until(now_ms() + OTHERS_DELAY_MS).await;
        paths::reaches_other(server, record).await
    });
    let reaches_other = match select(reached, others).await {
        Either::Left((Reachability::Accepts, _)) => return Testimony::Reached,
        Either::Left((_, others)) => others.await,
        Either::Right((reaches_other, reached)) => {
            if reached.await == Reachability::Accepts {
                return Testimony::Reached;
            }
            reaches_other
        }
    };
    if reaches_other {
        Testimony::Unreached
    } else {
        Testimony::CutOff
    }
}

/// Answers another VM whether this one reaches an endpoint.
pub(crate) async fn answer_query(server: &Arc<Server>, body: &[u8]) -> Response<Body> {
    let query: ReachabilityQuery = match rmp_serde::from_slice(body) {
        Ok(query) => query,
        Err(error) => {
            tracing::warn!(%error, "question about an endpoint not decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let listed = lock(&server.pool)
        .get(&query.endpoint)
        .map(|known| known.record.clone());
    let Some(record) = listed.filter(|record| record.started_unix_ms == query.incarnation) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    match rmp_serde::to_vec(&testify(server, &record).await) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            tracing::error!(%error, "answer about an endpoint not encoded");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
