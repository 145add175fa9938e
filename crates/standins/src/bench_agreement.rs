//! What agreement costs in bytes and processor time, at several sizes.

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

/// Endpoints and daemons.
const SIZES: [(usize, usize); 5] = [(25, 12), (260, 36), (650, 90), (1_300, 180), (2_600, 360)];
const ROUNDS: u32 = 20;
const DATA_CENTRES: usize = 9;
const SILENT_TURN_MS: u64 = 4_000;
const ORDER_TURN_MS: u64 = 250;

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

/// Measures the costs at several sizes, and prints a line of JSON for each.
///
/// # Errors
///
/// A sentence if a line cannot be written as JSON.
pub fn print() -> Result<(), String> {
    for (endpoints, daemons) in SIZES {
        let costs = measure(endpoints, daemons);
        let line = serde_json::to_string(&costs).map_err(|error| error.to_string())?;
        println!("{line}");
    }
    Ok(())
}

/// Measures the costs for so many endpoints and daemons.
///
/// # Panics
///
/// Never: what is measured is built here and valid.
#[must_use]
pub fn measure(endpoints: usize, daemons: usize) -> Costs {
    let current = versioned(endpoints);
    let change = change(current.number + 1);
    let number = NumberRow {
        number: current.number,
    };
    let row = |value| Row {
        key: "config/number".into(),
        row_version: current.number,
        value,
    };
    let near = daemons.div_ceil(DATA_CENTRES);
    let address = ([127, 0, 0, 1], 40_000).into();
    let announce = AnnounceRequest {
        change: Some(change.clone()),
        number: change.number,
        source: address,
        pass_on: vec![address; near],
    };
    let names = (0..near).map(vm_name).collect();
    let (order_us, orders) = orders(endpoints);
    Costs {
        endpoints,
        daemons,
        document_json_bytes: json_len(&current),
        document_msgpack_bytes: msgpack_len(&current),
        number_row_bytes: json_len(&row(json!(number))),
        change_row_bytes: json_len(&row(json!(change))),
        announce_bytes: msgpack_len(&announce),
        announced_bytes: msgpack_len(&AnnounceResponse { in_force: names }),
        vouches_bytes: vouches_len(near),
        apply_us: mean_us(|| {
            let mut replica = Replica::default();
            replica
                .apply_update(Update::Whole(current.clone()))
                .expect("it is newer");
            let from = Instant::now();
            let update = Update::Changes(vec![change.clone()]);
            assert!(replica.apply_update(update).expect("it fits"));
            from
        }),
        configure_us: mean_us(|| {
            let mut table = EndpointTable::default();
            table.configure(&current.document);
            let from = Instant::now();
            table.configure(&current.document);
            from
        }),
        members_to_ask: members_to_ask(daemons),
        order_us,
        orders,
    }
}

fn mean_us<F>(mut act: F) -> u128
where
    F: FnMut() -> Instant,
{
    let total: u128 = (0..ROUNDS).map(|_| act().elapsed().as_micros()).sum();
    total / u128::from(ROUNDS)
}

fn vm_name(number: usize) -> Name {
    format!("vm-{number}").into()
}

fn place(number: usize) -> Name {
    format!("data-centre-{}", number % DATA_CENTRES).into()
}

fn versioned(endpoints: usize) -> VersionedDocument {
    let endpoints: serde_json::Map<String, Value> = (0..endpoints)
        .map(|number| {
            let endpoint = json!({"address": format!("10.1.{}.{}:8000", number / 250, number % 250),
                "data_centre": place(number), "checks_fence": true});
            (format!("sampler-{number}"), endpoint)
        })
        .collect();
    let merge = json!({"services": {"demand-lm": {"kind": "model", "weights_version": 1,
        "max_in_flight_per_endpoint": 64, "endpoints": endpoints}}});
    apply_patch(&VersionedDocument::default(), 0, &merge).expect("the document is valid")
}

fn change(number: u64) -> Change {
    Change {
        number,
        patch_id: Arc::from("0123456789abcdef"),
        merge: json!({"services": {"demand-lm": {"weights_version": 2}}}),
    }
}

fn vouches_len(near: usize) -> usize {
    let vouch = |number| MemberVouch {
        vm: vm_name(number),
        age_ms: 1_500,
        number: 7_900,
    };
    let vouches = (0..near).map(vouch).collect();
    msgpack_len(&VouchResponse {
        number: 7_900,
        vouches,
    })
}

/// Returns how many members a daemon asks in one turn while the table is silent.
fn members_to_ask(daemons: usize) -> usize {
    let mut freshness = Freshness::new(vm_name(0), 0);
    let expected = (0..daemons).map(|number| (vm_name(number), place(number)));
    freshness.on_expected_members(expected.collect());
    for number in 1..daemons {
        let vouch = Vouch {
            asked_ms: 1,
            number: 0,
        };
        freshness.on_member_vouch(&vm_name(number), vouch);
    }
    freshness.members_to_ask(SILENT_TURN_MS, 0).len()
}

/// Brings a version onto all samplers, each of which obeys by the next turn.
fn orders(samplers: usize) -> (u128, usize) {
    let mut samplers: Vec<_> = (0..samplers)
        .map(|number| Sampler {
            name: format!("{number:05}").into(),
            data_centre: place(number),
            weights_version: 1,
            incarnation: 1,
        })
        .collect();
    let mut rollout = WeightsRollout::default();
    let (mut count, mut now_ms, mut spent_us) = (0, 0, 0);
    while samplers.iter().any(|sampler| sampler.weights_version == 1) {
        let from = Instant::now();
        let orders = rollout.take_due_orders(now_ms, 2, 1, &samplers);
        spent_us += from.elapsed().as_micros();
        count += orders.len();
        for (name, _) in orders {
            let index: usize = name.parse().expect("the name is a number");
            samplers[index].weights_version = 2;
        }
        now_ms += ORDER_TURN_MS.min(MAX_ORDER_DELAY_MS);
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
