//! Measures the cost of agreement in bytes and CPU time at several sizes.

use std::{sync::Arc, time::Instant};

use chicoryreach::{
    core::{
        Name,
        config::{
            Change, Freshness, NumberRow, Replica, Update, VersionedDocument, Vouch, apply_patch,
        },
        endpoint::EndpointTable,
        weights::{MAX_ORDER_DELAY_MS, Sampler, WeightsRollout},
    },
    wire::{
        config::{AnnounceRequest, AnnounceResponse, MemberVouch, VouchResponse},
        platform::Row,
    },
};
use serde::Serialize;
use serde_json::{Value, json};

/// The numbers of endpoints and daemons.
const SIZES: [(usize, usize); 5] = [(25, 12), (260, 36), (650, 90), (1_300, 180), (2_600, 360)];
/// The number of repetitions over which a mean time is taken.
const REPETITIONS: u32 = 20;
const DATA_CENTRE_COUNT: usize = 9;
/// The time for which the table and the members have been silent when a daemon
/// chooses the members to ask.
const SILENCE_MS: u64 = 4_000;
/// The interval between two rounds of orders.
const ORDER_INTERVAL_MS: u64 = 250;

/// The costs at one size.
#[derive(Debug, Serialize)]
pub struct Costs {
    endpoints: usize,
    daemons: usize,
    document_json_bytes: usize,
    document_msgpack_bytes: usize,
    number_row_bytes: usize,
    change_row_bytes: usize,
    announce_bytes: usize,
    announced_bytes: usize,
    vouches_bytes: usize,
    apply_us: u128,
    configure_us: u128,
    members_to_ask: usize,
    order_us: u128,
    orders: usize,
}

/// Measures the costs at several sizes and prints one line of JSON for each.
///
/// # Errors
///
/// Returns a message if the costs cannot be serialized as JSON.
pub fn print_costs() -> Result<(), String> {
    for (endpoints, daemons) in SIZES {
        let costs = measure(endpoints, daemons);
        let line = serde_json::to_string(&costs).map_err(|error| error.to_string())?;
        println!("{line}");
    }
    Ok(())
}

/// Measures the costs with a number of endpoints and daemons.
///
/// # Panics
///
/// Never in practice: all values that it measures are built here and valid.
#[must_use]
pub fn measure(endpoints: usize, daemons: usize) -> Costs {
    let current = versioned_document(endpoints);
    let change = weights_change(current.number + 1);
    let number_row = NumberRow {
        number: current.number,
    };
    let row = |value| Row {
        key: "config/number".into(),
        row_version: current.number,
        value,
    };
    let members_per_data_centre = daemons.div_ceil(DATA_CENTRE_COUNT);
    let address = ([127, 0, 0, 1], 40_000).into();
    let announce = AnnounceRequest {
        change: Some(change.clone()),
        number: change.number,
        source: address,
        pass_on: vec![address; members_per_data_centre],
    };
    let names = (0..members_per_data_centre).map(vm_name).collect();
    let (order_us, orders) = simulate_rollout(endpoints);
    Costs {
        endpoints,
        daemons,
        document_json_bytes: json_len(&current),
        document_msgpack_bytes: msgpack_len(&current),
        number_row_bytes: json_len(&row(json!(number_row))),
        change_row_bytes: json_len(&row(json!(change))),
        announce_bytes: msgpack_len(&announce),
        announced_bytes: msgpack_len(&AnnounceResponse { in_force: names }),
        vouches_bytes: vouches_len(members_per_data_centre),
        apply_us: mean_us(|| {
            let mut replica = Replica::default();
            replica
                .apply_update(Update::Whole(current.clone()))
                .expect("the document is newer");
            let started = Instant::now();
            let update = Update::Changes(vec![change.clone()]);
            assert!(
                replica
                    .apply_update(update)
                    .expect("the change follows the document")
            );
            started
        }),
        configure_us: mean_us(|| {
            let mut table = EndpointTable::default();
            table.configure(&current.document);
            let started = Instant::now();
            table.configure(&current.document);
            started
        }),
        members_to_ask: members_to_ask(daemons),
        order_us,
        orders,
    }
}

/// Returns the mean time between the instant that `act` returns and its end.
fn mean_us<F>(mut act: F) -> u128
where
    F: FnMut() -> Instant,
{
    let total: u128 = (0..REPETITIONS).map(|_| act().elapsed().as_micros()).sum();
    total / u128::from(REPETITIONS)
}

fn vm_name(number: usize) -> Name {
    format!("vm-{number}").into()
}

fn data_centre_name(number: usize) -> Name {
    format!("data-centre-{}", number % DATA_CENTRE_COUNT).into()
}

fn versioned_document(endpoints: usize) -> VersionedDocument {
    let endpoints: serde_json::Map<String, Value> = (0..endpoints)
        .map(|number| {
            let endpoint = json!({"address": format!("10.1.{}.{}:8000", number / 250, number % 250),
                "data_centre": data_centre_name(number), "checks_fence": true});
            (format!("sampler-{number}"), endpoint)
        })
        .collect();
    let merge = json!({"services": {"demand-lm": {"kind": "model", "weights_version": 1,
        "max_in_flight_per_endpoint": 64, "endpoints": endpoints}}});
    apply_patch(&VersionedDocument::default(), 0, &merge).expect("the document is valid")
}

fn weights_change(number: u64) -> Change {
    Change {
        number,
        patch_id: Arc::from("0123456789abcdef"),
        merge: json!({"services": {"demand-lm": {"weights_version": 2}}}),
    }
}

fn vouches_len(members: usize) -> usize {
    let vouch = |number| MemberVouch {
        vm: vm_name(number),
        age_ms: 1_500,
        number: 7_900,
    };
    let vouches = (0..members).map(vouch).collect();
    msgpack_len(&VouchResponse {
        number: 7_900,
        vouches,
    })
}

/// Returns the number of members that a daemon asks in one round while the table
/// is silent.
fn members_to_ask(daemons: usize) -> usize {
    let mut freshness = Freshness::new(vm_name(0), 0);
    let expected = (0..daemons).map(|number| (vm_name(number), data_centre_name(number)));
    freshness.on_expected_members(expected.collect());
    for number in 1..daemons {
        let vouch = Vouch {
            asked_ms: 1,
            number: 0,
        };
        freshness.on_member_vouch(&vm_name(number), vouch);
    }
    freshness.members_to_ask(SILENCE_MS, 0).len()
}

/// Simulates a rollout of a weights version to all samplers, each of which has
/// loaded it by the next round of orders.
///
/// Returns the mean CPU time per order in microseconds and the number of orders.
fn simulate_rollout(samplers: usize) -> (u128, usize) {
    let mut samplers: Vec<_> = (0..samplers)
        .map(|number| Sampler {
            name: format!("{number:05}").into(),
            data_centre: data_centre_name(number),
            weights_version: 1,
            incarnation: 1,
        })
        .collect();
    let mut rollout = WeightsRollout::default();
    let (mut count, mut now_ms, mut spent_us) = (0, 0, 0);
    while samplers.iter().any(|sampler| sampler.weights_version == 1) {
        let started = Instant::now();
        let orders = rollout.take_due_orders(now_ms, 2, 1, &samplers);
        spent_us += started.elapsed().as_micros();
        count += orders.len();
        for (name, _) in orders {
            let index: usize = name.parse().expect("the name is a number");
            samplers[index].weights_version = 2;
        }
        now_ms += ORDER_INTERVAL_MS.min(MAX_ORDER_DELAY_MS);
    }
    (spent_us / count.max(1) as u128, count)
}

fn json_len<T>(value: &T) -> usize
where
    T: Serialize,
{
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

fn msgpack_len<T>(value: &T) -> usize
where
    T: Serialize,
{
    rmp_serde::to_vec(value).map_or(0, |bytes| bytes.len())
}
