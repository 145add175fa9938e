//! The configuration between daemons: announced, fetched by difference, and
//! vouched for while the table is silent.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use futures_util::future::join_all;
use poem::{Body, Response, handler, web::Data};
use rand::seq::IteratorRandom;
use serde::{Serialize, de::DeserializeOwned};

use super::{
    clock::now_ms,
    config,
    response::refusal_response,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        config::{Change, Update, Vouch},
    },
    error::{ErrorKind, Refusal},
    wire::{
        config::{
            AnnounceRequest, AnnounceResponse, ChangesSinceRequest, MemberVouch, VouchRequest,
            VouchResponse,
        },
        peers::MemberRecord,
    },
};

const ANNOUNCE: &str = "/peer/config/announce";
const SINCE: &str = "/peer/config/since";
const VOUCHES: &str = "/peer/config/vouches";
const TIMEOUT_MS: u64 = 1_000;
/// A member that passes an announcement on waits for others meanwhile.
const PASS_ON_TIMEOUT_MS: u64 = 2_500;
const FETCH_TIMEOUT_MS: u64 = 2_000;
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Members asked for an update before the table is.
const FETCH_TRIES: usize = 2;

/// `POST /peer/config/announce`: takes a new version, and passes it on.
#[handler]
pub(crate) async fn answer_announce(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let announce: AnnounceRequest = match read(&daemon, ANNOUNCE, body).await {
        Ok(announce) => announce,
        Err(refusal) => return refusal_response(&daemon, &refusal),
    };
    let mut announce = announce;
    let pass_on = std::mem::take(&mut announce.pass_on);
    let onward = announce.clone();
    let others = tell(&daemon, &pass_on, &onward, TIMEOUT_MS);
    let (mut in_force, is_here) = tokio::join!(others, take(&daemon, announce));
    if is_here {
        in_force.insert(daemon.own_record.vm.clone());
    }
    answer(
        &daemon,
        ANNOUNCE,
        &AnnounceResponse {
            in_force: in_force.into_iter().collect(),
        },
    )
}

async fn take(daemon: &Daemon, announce: AnnounceRequest) -> bool {
    let changes = announce.change.into_iter().collect();
    // A change that does not fit is fetched with those before it.
    let _ = config::apply_update(daemon, Update::Changes(changes));
    config::current_number(daemon) >= announce.number
        || fetch_update(daemon, announce.source, announce.number).await
}

/// `POST /peer/config/since`: what a member lacks.
#[handler]
pub(crate) async fn answer_changes_since(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    match read::<ChangesSinceRequest>(&daemon, SINCE, body).await {
        Ok(since) => {
            let update = lock(&daemon.replica).update_since(since.number);
            answer(&daemon, SINCE, &update)
        }
        Err(refusal) => refusal_response(&daemon, &refusal),
    }
}

/// `POST /peer/config/vouches`: which versions are in force here and around.
#[handler]
pub(crate) async fn answer_vouches(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let asked: VouchRequest = match read(&daemon, VOUCHES, body).await {
        Ok(asked) => asked,
        Err(refusal) => return refusal_response(&daemon, &refusal),
    };
    let now_ms = now_ms();
    let vouches = lock(&daemon.freshness)
        .vouches(now_ms, asked.with_near)
        .map(|(vm, vouch)| MemberVouch {
            vm: vm.clone(),
            age_ms: now_ms.saturating_sub(vouch.asked_ms),
            number: vouch.number,
        })
        .collect();
    let number = config::current_number(&daemon);
    answer(&daemon, VOUCHES, &VouchResponse { number, vouches })
}

/// Tells the freshness which members are expected, once that is known.
pub(crate) fn update_expected_members(daemon: &Daemon) {
    if !daemon.has_read_members.load(Ordering::SeqCst) {
        return;
    }
    let expected = expected(daemon);
    lock(&daemon.freshness).on_expected_members(expected);
}

fn expected(daemon: &Daemon) -> BTreeMap<Name, Name> {
    let members = lock(&daemon.membership);
    let mut expected: BTreeMap<Name, Name> = members
        .expected_records()
        .map(|record| (record.vm.clone(), record.data_centre.clone()))
        .collect();
    // One that leaves still answers for what it has in force.
    expected.insert(
        daemon.own_record.vm.clone(),
        daemon.own_record.data_centre.clone(),
    );
    expected
}

fn records(daemon: &Daemon) -> BTreeMap<Name, MemberRecord> {
    let members = lock(&daemon.membership);
    let others = members
        .expected_records()
        .filter(|record| record.vm != daemon.own_record.vm);
    others
        .map(|record| (record.vm.clone(), record.clone()))
        .collect()
}

/// Asks members which version they have in force, and catches up if it is later.
pub(crate) async fn ask_members(daemon: &Daemon, turn: u64) {
    let asked_ms = now_ms();
    let to_ask = lock(&daemon.freshness).members_to_ask(asked_ms, turn);
    let records = records(daemon);
    let asks = to_ask
        .iter()
        .filter_map(|vm| records.get(vm))
        .map(|record| ask(daemon, record));
    join_all(asks).await;
}

async fn ask(daemon: &Daemon, record: &MemberRecord) {
    let asked_ms = now_ms();
    let ask = VouchRequest {
        with_near: record.data_centre != daemon.own_record.data_centre,
    };
    let Some(answer) =
        exchange::<_, VouchResponse>(daemon, record.control_address, VOUCHES, &ask, TIMEOUT_MS)
            .await
    else {
        return;
    };
    if answer.number > config::current_number(daemon) {
        fetch_update(daemon, record.control_address, answer.number).await;
    }
    let mut freshness = lock(&daemon.freshness);
    for vouch in answer.vouches {
        let number = vouch.number;
        let asked_ms = asked_ms.saturating_sub(vouch.age_ms);
        freshness.on_member_vouch(&vouch.vm, Vouch { asked_ms, number });
    }
}

/// Fetches what is missing here from members drawn at random, and returns
/// whether version `number` is in force now.
pub(crate) async fn fetch_from_members(daemon: &Daemon, number: u64) -> bool {
    let members = records(daemon);
    let drawn = members
        .values()
        .choose_multiple(&mut *lock(&daemon.rng), FETCH_TRIES);
    for record in drawn {
        if fetch_update(daemon, record.control_address, number).await {
            return true;
        }
    }
    false
}

/// Fetches what is missing here, and returns whether version `number` is in
/// force now.
pub(crate) async fn fetch_update(daemon: &Daemon, source: SocketAddr, number: u64) -> bool {
    let since = ChangesSinceRequest {
        number: config::current_number(daemon),
    };
    let update = exchange::<_, Update>(daemon, source, SINCE, &since, FETCH_TIMEOUT_MS).await;
    if let Some(update) = update
        && let Err(refusal) = config::apply_update(daemon, update)
    {
        tracing::warn!(%refusal, "a change does not fit the configuration here");
    }
    config::current_number(daemon) >= number
}

/// Puts a version in force at the members, and returns whether `quorum` of
/// them, this one included, have it.
///
/// One member of each data centre passes it on; whom none could reach is told
/// directly afterwards.
pub(crate) async fn announce(
    daemon: &Daemon,
    change: Option<Change>,
    number: u64,
    quorum: usize,
) -> bool {
    let records = records(daemon);
    let announce = AnnounceRequest {
        change,
        number,
        source: daemon.own_record.control_address,
        pass_on: Vec::new(),
    };
    let relays = relays(daemon, &records);
    let relayed = relays.into_iter().map(|(relay, pass_on)| {
        let announce = AnnounceRequest {
            pass_on,
            ..announce.clone()
        };
        async move { tell(daemon, &[relay], &announce, PASS_ON_TIMEOUT_MS).await }
    });
    let mut in_force: BTreeSet<Name> = join_all(relayed).await.into_iter().flatten().collect();
    in_force.insert(daemon.own_record.vm.clone());
    if in_force.len() < quorum {
        let missing = records.iter().filter(|(vm, _)| !in_force.contains(*vm));
        let missing: Vec<_> = missing.map(|(_, record)| record.control_address).collect();
        in_force.extend(tell(daemon, &missing, &announce, TIMEOUT_MS).await);
    }
    in_force.len() >= quorum
}

/// Draws one member of each data centre, and returns it with the others there.
fn relays(
    daemon: &Daemon,
    records: &BTreeMap<Name, MemberRecord>,
) -> Vec<(SocketAddr, Vec<SocketAddr>)> {
    let mut data_centres: BTreeMap<&Name, Vec<SocketAddr>> = BTreeMap::new();
    for record in records.values() {
        let addresses = data_centres.entry(&record.data_centre).or_default();
        addresses.push(record.control_address);
    }
    let mut rng = lock(&daemon.rng);
    data_centres
        .into_values()
        .filter_map(|mut addresses| {
            let index = (0..addresses.len()).choose(&mut *rng)?;
            let relay = addresses.swap_remove(index);
            Some((relay, addresses))
        })
        .collect()
}

/// Sends an announcement to each address, and returns who has it in force.
async fn tell(
    daemon: &Daemon,
    addresses: &[SocketAddr],
    announce: &AnnounceRequest,
    timeout_ms: u64,
) -> BTreeSet<Name> {
    let tells = addresses.iter().map(|address| {
        exchange::<_, AnnounceResponse>(daemon, *address, ANNOUNCE, announce, timeout_ms)
    });
    let answers = join_all(tells).await;
    let answers = answers.into_iter().flatten();
    answers.flat_map(|answer| answer.in_force).collect()
}

/// Exchanges one message with a member, and counts it.
async fn exchange<T, A>(
    daemon: &Daemon,
    address: SocketAddr,
    path: &str,
    body: &T,
    timeout_ms: u64,
) -> Option<A>
where
    T: Serialize + Sync,
    A: DeserializeOwned,
{
    let answer = daemon
        .control_http
        .post_rmp(address, path, body, timeout_ms)
        .await;
    answer
        .inspect_err(|error| tracing::debug!(%error, path, "a member did not answer"))
        .ok()
}

async fn read<T>(daemon: &Daemon, path: &str, body: Body) -> Result<T, Refusal>
where
    T: DeserializeOwned,
{
    let bytes = body.into_bytes_limit(MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
    daemon.traffic.on_request_received(path, bytes.len());
    rmp_serde::from_slice(&bytes)
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))
}

fn answer<T>(daemon: &Daemon, path: &str, body: &T) -> Response
where
    T: Serialize,
{
    let body = rmp_serde::to_vec(body).unwrap_or_default();
    daemon.traffic.on_response_sent(path, body.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(body)
}
