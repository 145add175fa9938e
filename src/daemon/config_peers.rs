//! Exchanges configuration versions between daemons.
//!
//! A new version is announced to all members. A daemon fetches only the changes
//! that it lacks. While the table does not answer, members vouch for the
//! version in force.

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

const ANNOUNCE_PATH: &str = "/peer/config/announce";
const CHANGES_SINCE_PATH: &str = "/peer/config/since";
const VOUCHES_PATH: &str = "/peer/config/vouches";
const MESSAGE_TIMEOUT_MS: u64 = 1_000;
/// Longer than [`MESSAGE_TIMEOUT_MS`], because a relay waits for the other
/// members of its data centre before it answers.
const RELAY_TIMEOUT_MS: u64 = 2_500;
const FETCH_TIMEOUT_MS: u64 = 2_000;
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// How many members are asked for an update before the table is read.
const MAX_FETCH_MEMBERS: usize = 2;

/// Handles `POST /peer/config/announce`: applies a new version and relays it to
/// the members listed in the request.
#[handler]
pub(crate) async fn answer_announce(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let announce: AnnounceRequest = match read_message(&daemon, ANNOUNCE_PATH, body).await {
        Ok(announce) => announce,
        Err(refusal) => return refusal_response(&daemon, &refusal),
    };
    let mut announce = announce;
    let pass_on = std::mem::take(&mut announce.pass_on);
    let relayed_announce = announce.clone();
    let relayed = send_announcement(&daemon, &pass_on, &relayed_announce, MESSAGE_TIMEOUT_MS);
    let (mut in_force, is_in_force_here) =
        tokio::join!(relayed, apply_announcement(&daemon, announce));
    if is_in_force_here {
        in_force.insert(daemon.own_record.vm.clone());
    }
    message_response(
        &daemon,
        ANNOUNCE_PATH,
        &AnnounceResponse {
            in_force: in_force.into_iter().collect(),
        },
    )
}

/// Puts an announced version in force, and returns whether it or a later one
/// is in force now.
async fn apply_announcement(daemon: &Daemon, announce: AnnounceRequest) -> bool {
    let changes = announce.change.into_iter().collect();
    // A change that cannot be applied yet is fetched with the missing ones
    // before it.
    let _ = config::apply_update(daemon, Update::Changes(changes));
    config::current_number(daemon) >= announce.number
        || fetch_update(daemon, announce.source, announce.number).await
}

/// Handles `POST /peer/config/since`: returns the changes that a member lacks.
#[handler]
pub(crate) async fn answer_changes_since(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    match read_message::<ChangesSinceRequest>(&daemon, CHANGES_SINCE_PATH, body).await {
        Ok(request) => {
            let update = lock(&daemon.replica).update_since(request.number);
            message_response(&daemon, CHANGES_SINCE_PATH, &update)
        }
        Err(refusal) => refusal_response(&daemon, &refusal),
    }
}

/// Handles `POST /peer/config/vouches`: returns the version in force here, and
/// which versions other members vouched for.
#[handler]
pub(crate) async fn answer_vouches(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let request: VouchRequest = match read_message(&daemon, VOUCHES_PATH, body).await {
        Ok(request) => request,
        Err(refusal) => return refusal_response(&daemon, &refusal),
    };
    let now_ms = now_ms();
    let vouches = lock(&daemon.freshness)
        .vouches(now_ms, request.with_near)
        .map(|(vm, vouch)| MemberVouch {
            vm: vm.clone(),
            age_ms: now_ms.saturating_sub(vouch.asked_ms),
            number: vouch.number,
        })
        .collect();
    let number = config::current_number(&daemon);
    message_response(&daemon, VOUCHES_PATH, &VouchResponse { number, vouches })
}

/// Passes the expected members to the freshness state. Does nothing until the
/// members have been read from the table.
pub(crate) fn update_expected_members(daemon: &Daemon) {
    if !daemon.has_read_members.load(Ordering::SeqCst) {
        return;
    }
    let expected = expected_members(daemon);
    lock(&daemon.freshness).on_expected_members(expected);
}

/// Returns the data centre of each expected member, this one included.
fn expected_members(daemon: &Daemon) -> BTreeMap<Name, Name> {
    let members = lock(&daemon.membership);
    let mut expected: BTreeMap<Name, Name> = members
        .expected_records()
        .map(|record| (record.vm.clone(), record.data_centre.clone()))
        .collect();
    // A leaving member still vouches for the version that it has in force.
    expected.insert(
        daemon.own_record.vm.clone(),
        daemon.own_record.data_centre.clone(),
    );
    expected
}

/// Returns the records of the other expected members.
fn other_records(daemon: &Daemon) -> BTreeMap<Name, MemberRecord> {
    let members = lock(&daemon.membership);
    let others = members
        .expected_records()
        .filter(|record| record.vm != daemon.own_record.vm);
    others
        .map(|record| (record.vm.clone(), record.clone()))
        .collect()
}

/// Asks members which version they have in force, and fetches it if it is
/// later than the one here.
///
/// `round` selects the members if there are too many to ask all at once.
pub(crate) async fn ask_members(daemon: &Daemon, round: u64) {
    let asked_ms = now_ms();
    let vms = lock(&daemon.freshness).members_to_ask(asked_ms, round);
    let records = other_records(daemon);
    let calls = vms
        .iter()
        .filter_map(|vm| records.get(vm))
        .map(|record| ask_member(daemon, record));
    join_all(calls).await;
}

async fn ask_member(daemon: &Daemon, record: &MemberRecord) {
    let asked_ms = now_ms();
    let request = VouchRequest {
        with_near: record.data_centre != daemon.own_record.data_centre,
    };
    let Some(response) = exchange::<_, VouchResponse>(
        daemon,
        record.control_address,
        VOUCHES_PATH,
        &request,
        MESSAGE_TIMEOUT_MS,
    )
    .await
    else {
        return;
    };
    if response.number > config::current_number(daemon) {
        fetch_update(daemon, record.control_address, response.number).await;
    }
    let mut freshness = lock(&daemon.freshness);
    for vouch in response.vouches {
        let number = vouch.number;
        let asked_ms = asked_ms.saturating_sub(vouch.age_ms);
        freshness.on_member_vouch(&vouch.vm, Vouch { asked_ms, number });
    }
}

/// Fetches the missing changes from members drawn at random, and returns
/// whether version `number` or a later one is in force here now.
pub(crate) async fn fetch_from_members(daemon: &Daemon, number: u64) -> bool {
    let members = other_records(daemon);
    let drawn = members
        .values()
        .choose_multiple(&mut *lock(&daemon.rng), MAX_FETCH_MEMBERS);
    for record in drawn {
        if fetch_update(daemon, record.control_address, number).await {
            return true;
        }
    }
    false
}

/// Fetches the missing changes from the member at `source`, and returns whether
/// version `number` or a later one is in force here now.
pub(crate) async fn fetch_update(daemon: &Daemon, source: SocketAddr, number: u64) -> bool {
    let request = ChangesSinceRequest {
        number: config::current_number(daemon),
    };
    let update = exchange::<_, Update>(
        daemon,
        source,
        CHANGES_SINCE_PATH,
        &request,
        FETCH_TIMEOUT_MS,
    )
    .await;
    if let Some(update) = update
        && let Err(refusal) = config::apply_update(daemon, update)
    {
        tracing::warn!(%refusal, "an update from a member could not be applied");
    }
    config::current_number(daemon) >= number
}

/// Announces a version to the members, and returns whether at least `quorum`
/// of them, this one included, have it in force.
///
/// One member of each data centre relays the announcement. If that does not
/// give a quorum, the members that did not confirm are sent it directly.
pub(crate) async fn announce(
    daemon: &Daemon,
    change: Option<Change>,
    number: u64,
    quorum: usize,
) -> bool {
    let records = other_records(daemon);
    let announce = AnnounceRequest {
        change,
        number,
        source: daemon.own_record.control_address,
        pass_on: Vec::new(),
    };
    let relays = draw_relays(daemon, &records);
    let relayed = relays.into_iter().map(|(relay, pass_on)| {
        let announce = AnnounceRequest {
            pass_on,
            ..announce.clone()
        };
        async move { send_announcement(daemon, &[relay], &announce, RELAY_TIMEOUT_MS).await }
    });
    let mut in_force: BTreeSet<Name> = join_all(relayed).await.into_iter().flatten().collect();
    in_force.insert(daemon.own_record.vm.clone());
    if in_force.len() < quorum {
        let missing = records.iter().filter(|(vm, _)| !in_force.contains(*vm));
        let missing: Vec<_> = missing.map(|(_, record)| record.control_address).collect();
        in_force.extend(send_announcement(daemon, &missing, &announce, MESSAGE_TIMEOUT_MS).await);
    }
    in_force.len() >= quorum
}

/// Draws one member of each data centre at random, and returns its address with
/// those of the other members there.
fn draw_relays(
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

/// Sends an announcement to each address, and returns the members that report
/// its version as in force.
async fn send_announcement(
    daemon: &Daemon,
    addresses: &[SocketAddr],
    announce: &AnnounceRequest,
    timeout_ms: u64,
) -> BTreeSet<Name> {
    let calls = addresses.iter().map(|address| {
        exchange::<_, AnnounceResponse>(daemon, *address, ANNOUNCE_PATH, announce, timeout_ms)
    });
    let responses = join_all(calls).await;
    let responses = responses.into_iter().flatten();
    responses.flat_map(|response| response.in_force).collect()
}

/// Sends one message to a member and returns its response, or `None` if there is
/// none.
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
    let response = daemon
        .control_http
        .post_rmp(address, path, body, timeout_ms)
        .await;
    response
        .inspect_err(|error| tracing::debug!(%error, path, "a member gave no valid answer"))
        .ok()
}

/// Reads and decodes the body of a member's message.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] if the body cannot be read, exceeds
/// [`MAX_MESSAGE_BYTES`] or cannot be decoded.
async fn read_message<T>(daemon: &Daemon, path: &str, body: Body) -> Result<T, Refusal>
where
    T: DeserializeOwned,
{
    let bytes = body.into_bytes_limit(MAX_MESSAGE_BYTES).await;
    let bytes = bytes.map_err(|error| {
        let message = format!("the body of the message to {path} cannot be read: {error}");
        Refusal::new(ErrorKind::BadRequest, message)
    })?;
    daemon.traffic.on_request_received(path, bytes.len());
    rmp_serde::from_slice(&bytes).map_err(|error| {
        let message = format!("the body of the message to {path} cannot be decoded: {error}");
        Refusal::new(ErrorKind::BadRequest, message)
    })
}

fn message_response<T>(daemon: &Daemon, path: &str, body: &T) -> Response
where
    T: Serialize,
{
    let body = rmp_serde::to_vec(body).unwrap_or_default();
    daemon.traffic.on_response_sent(path, body.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(body)
}
