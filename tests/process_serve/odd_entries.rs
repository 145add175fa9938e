//! Guards against odd rows of the store that end a VM, or make it stop following a table:
//! very deep nesting, numbers that are too large, ports out of range, missing fields,
//! other types, bytes that cannot be read. One such row names nothing; the others hold.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::Sampler;

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT};

const VMS: usize = 2;
const SAMPLES: usize = 12;
const ODD_ENTRIES: usize = 150;
/// Deeper than any parser may recurse.
const DEPTH: usize = 20_000;
/// How long VMs take to read what was written.
const ENTRIES_KNOWN: Duration = Duration::from_millis(1_500);

/// The tables that VMs write, each with a part and a key of a row that is read.
const OWN_ROWS: [(&str, &str, &str); 13] = [
    ("vms", "", "vm-odd"),
    ("vms", "", "~orders"),
    ("batches", "b-odd", "head"),
    ("batches", "b-odd", "owner/000"),
    ("batches", "b1", "owner/odd"),
    ("listed", "b1", "0000000999"),
    ("failures", "b1", "run/odd"),
    ("streams", "streams", "vm-odd/1"),
    ("crashes", "", "odd"),
    ("vms", "", "~duties"),
    ("usage", "", "000000000001/vm-odd/1"),
    ("usage", "", "~progress"),
    ("usage", "", "~report/000000000001"),
];

fn real_entry(service: &str) -> Value {
    // Nothing listens there.
    json!({"service": service, "address": "127.0.0.1:9", "zone": "dc-1", "slots": 8,
        "version": "v1", "state": "ready", "cold_ms": 0, "seq": 4, "born": 1_700_000_000_000_u64,
        "models": [{"name": "advice", "version": 1, "adapters": []}], "stage": "both"})
}

/// Returns the text of an odd value for a field.
fn odd_value(rng: &mut SmallRng) -> String {
    let nested = |open: &str, close: &str| open.repeat(DEPTH) + &close.repeat(DEPTH);
    let numbers = [
        "18446744073709551615",
        "18446744073709551616",
        "-1",
        "1e308",
        "1e400",
        "4294967295",
        "0.5",
        "0",
    ];
    match rng.random_range(0..7) {
        0 => nested("[", "]"),
        1 => nested("{\"a\":", "}").replace(":}", ":1}"),
        2 | 3 => (*numbers.choose(rng).expect("numbers")).to_owned(),
        4 => "\"127.0.0.1:70000\"".to_owned(),
        5 => "null".to_owned(),
        _ => "\"\\ud800 \\u0000\"".to_owned(),
    }
}

/// Returns the bytes of an odd entry of a sampler.
fn odd_entry(rng: &mut SmallRng) -> Vec<u8> {
    // Some changes leave a proper entry, of a service that no route leads to.
    let entry = real_entry("unrouted");
    let fields = entry.as_object().expect("an object");
    let names: Vec<&String> = fields.keys().collect();
    let changed = (*names.choose(rng).expect("fields")).clone();
    let is_left_out = rng.random_bool(0.2);
    let odd = odd_value(rng);
    let mut texts: Vec<String> = Vec::new();
    for (name, value) in fields {
        if *name != changed {
            texts.push(format!("{name:?}:{value}"));
        } else if !is_left_out {
            texts.push(format!("{name:?}:{odd}"));
        }
    }
    if rng.random_bool(0.2) {
        texts.push(format!("\"unknown\":{}", odd_value(rng)));
    }
    let mut bytes = format!("{{{}}}", texts.join(",")).into_bytes();
    if rng.random_bool(0.2) {
        bytes.truncate(rng.random_range(0..bytes.len()));
    }
    if rng.random_bool(0.1) {
        let at = rng.random_range(0..=bytes.len());
        bytes.insert(at, 0xff);
    }
    bytes
}

/// Returns the bytes of an odd row of a VM: nested deeply, or a row whose bytes changed.
fn odd_row(rng: &mut SmallRng) -> Vec<u8> {
    match rng.random_range(0..5) {
        // Arrays with one element each.
        0 => [vec![0x91; 50_000], vec![0xc0]].concat(),
        // Maps with an unknown field each.
        1 => [b"\x81\xa1a".repeat(20_000), vec![0xc0]].concat(),
        // A map, an array or text of 4 GiB.
        2 => vec![
            *[0xdf, 0xdd, 0xdb].choose(rng).expect("markers"),
            0xff,
            0xff,
            0xff,
            0xff,
        ],
        3 => (0..rng.random_range(0..40)).map(|_| rng.random()).collect(),
        _ => {
            let numbers = [
                "incarnation",
                "fence",
                "accepted_platform_ms",
                "cpu_share",
                "count",
            ];
            let row: serde_json::Map<String, Value> = numbers
                .iter()
                .map(|name| ((*name).to_owned(), json!(u64::MAX)))
                .collect();
            rmp_serde::to_vec(&row).expect("it is encoded")
        }
    }
}

/// Asserts that all VMs run, follow the list of samplers and serve.
async fn assert_well(fleet: &mut Fleet, batch: &str) {
    for number in 0..VMS {
        let log = fleet.vms[number].log_text();
        assert!(fleet.is_running(number), "VM {number} has ended");
        assert!(!log.contains("panicked"), "VM {number}: {log}");
    }
    let id = format!("i-after-{batch}");
    let after = Sampler::try_start(&id, "slips", None, SAMPLER_SETTINGS, &fleet.store);
    let _after = after.expect("a sampler starts");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    for vm in &fleet.vms {
        while !vm.log_text().contains(&id) {
            assert!(
                Instant::now() < deadline,
                "{} has stopped following the list",
                vm.name
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    for number in 0..VMS {
        let callers = fleet.vms[number].addresses["callers"];
        let request = fleet.call(Method::POST, callers, "/slips/1", "r", Bytes::new());
        assert_eq!(request.await.expect("an answer").status, 200);
    }
    fleet.submit_batch(0, batch, SAMPLES, 1).await;
    let results = fleet.read_all_results(1, batch, SAMPLES).await;
    assert!(
        results.iter().all(|result| result["state"] == "done"),
        "{results:?}"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_of_samplers_name_no_sampler(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::start(VMS, SAMPLER_SETTINGS).await;
    let mut rng = SmallRng::seed_from_u64(seed);
    for number in 0..ODD_ENTRIES {
        let entry = STANDARD.encode(odd_entry(&mut rng));
        fleet
            .store
            .writer()
            .put("servers", &format!("odd-{number}"), entry);
    }
    fleet
        .store
        .writer()
        .put("servers", "odd-text", "not base64 \u{0}".to_owned());
    tokio::time::sleep(ENTRIES_KNOWN).await;
    assert_well(&mut fleet, "b1").await;
    // A VM that starts reads all of them at once.
    fleet.signal(1, rustix::process::Signal::KILL);
    fleet.restart(1).await;
    tokio::time::sleep(ENTRIES_KNOWN).await;
    assert_well(&mut fleet, "b2").await;
}

/// Guards against requests to what an entry seems to name: nothing listens there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_without_a_proper_field_names_no_sampler() {
    let mut fleet = Fleet::start(VMS, SAMPLER_SETTINGS).await;
    let mut count = 0;
    for field in [
        "service", "address", "zone", "slots", "version", "state", "cold_ms", "seq",
    ] {
        for odd in [
            None,
            Some(Value::Null),
            Some(json!([1])),
            Some(json!(-1.5e300)),
        ] {
            // A time may be any number.
            if field == "cold_ms" && odd == Some(json!(-1.5e300)) {
                continue;
            }
            let mut entry = real_entry("slips");
            let fields = entry.as_object_mut().expect("an object");
            fields.remove(field);
            fields.extend(odd.map(|odd| (field.to_owned(), odd)));
            let text = STANDARD.encode(entry.to_string());
            fleet
                .store
                .writer()
                .put("servers", &format!("odd-{count}"), text);
            count += 1;
        }
    }
    tokio::time::sleep(ENTRIES_KNOWN).await;
    for vm in &fleet.vms {
        let ignored = vm
            .log_text()
            .matches("entry of an endpoint ignored")
            .count();
        assert!(
            ignored >= count,
            "{ignored} of {count} entries were ignored"
        );
    }
    assert_well(&mut fleet, "b1").await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_rows_of_vms_end_no_vm(#[values(1, 2, 3, 4)] seed: u64) {
    let mut fleet = Fleet::start_without_vms(VMS, SAMPLER_SETTINGS).await;
    // Nothing listens there; the rows of the duties are read all the same.
    fleet.platform_api = Some(json!({"address": "127.0.0.1:9", "calls_per_s": 50,
        "duties": ["usage"], "usage_window_s": 1, "usage_due_s": 5}));
    fleet.start_vms(VMS).await;
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..12 {
        for (table, part, key) in OWN_ROWS {
            let value = STANDARD.encode(odd_row(&mut rng));
            let change = json!({"set_keys": [
                {"table": table, "part": part, "key": key, "value": value}
            ]});
            fleet
                .store
                .with_store(|store| store.transact(&change))
                .expect("no condition");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(ENTRIES_KNOWN).await;
    assert_well(&mut fleet, "b1").await;
}
