//! Guards against urgent requests that wait behind or give way to others while all endpoints
//! are full, and against a change for deployments without accounts and priorities.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Method;
use serde_json::{Value, json};
use standins::fleet::{RunStart, Sampler, SamplerSettings};

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT, config};

/// What three samplers take: four requests for each of eight slots.
const PLACES: usize = 3 * 8 * 4;
const WAITING: usize = 100;
const SAMPLES: usize = 16;
const SEND_INTERVAL: Duration = Duration::from_millis(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SAMPLERS: SamplerSettings = SamplerSettings {
    work_ms: 700,
    ..SAMPLER_SETTINGS
};

fn runs(fleet: &Fleet) -> Vec<RunStart> {
    let mut runs: Vec<RunStart> = fleet
        .plain_samplers
        .iter()
        .flat_map(Sampler::all_runs)
        .collect();
    runs.sort_by_key(|run| run.at);
    runs
}

fn config_with_accounts() -> Value {
    let mut document = config(2);
    document["tenants"] = json!([{"name": "club", "keys": ["club-key"], "priority": 0},
        {"name": "team", "keys": ["team-key"], "priority": 5}]);
    document
}

/// Puts a configuration of version 2 in force.
async fn put(fleet: &Fleet, document: &Value) {
    let text = STANDARD.encode(document.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", text));
    let in_force = "\"configuration in force\",\"version\":2,";
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !fleet.vms[0].log_text().contains(in_force) {
        assert!(
            Instant::now() < deadline,
            "the configuration is not in force"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends requests of one account, faster than they run; returns the statuses.
async fn flood(fleet: &Fleet, count: usize) -> Vec<u16> {
    let calls = (0..count).map(async |number| {
        let (path, id) = (format!("/patient/{number}"), format!("team-{number}"));
        // Endpoints that get all connections at once refuse some of them.
        tokio::time::sleep(SEND_INTERVAL * u32::try_from(number).expect("few")).await;
        let answer = fleet.call_with_key(Method::POST, 0, &path, &id, "team-key", Bytes::new());
        answer.await.map_or(0, |answer| answer.status)
    });
    join_all(calls).await
}

async fn metric(fleet: &Fleet, name: &str) -> u64 {
    let address = fleet.vms[0].addresses["metrics"];
    let answer = fleet
        .get(address, "/metrics", "metrics")
        .await
        .expect("an answer");
    let text = String::from_utf8(answer.body.to_vec()).expect("text");
    let values = text.lines().filter(|line| line.starts_with(name));
    values
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Asserts that no request was refused for want of room. On a busy machine, endpoints may
/// still refuse single connections.
async fn assert_none_gave_way(fleet: &Fleet, statuses: &[u16]) {
    let refused = metric(fleet, "chicoryreach_shortage_refused_total{").await;
    assert_eq!(refused, 0, "{statuses:?}");
    let answered = statuses.iter().filter(|status| **status == 200).count();
    assert!(answered + 5 >= statuses.len(), "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_urgent_request_starts_before_those_that_wait() {
    let fleet = Fleet::start(1, SAMPLERS).await;
    put(&fleet, &config_with_accounts()).await;
    let urgent = async {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while metric(&fleet, "chicoryreach_shortage_waiting").await < 50 {
            assert!(Instant::now() < deadline, "nothing waits");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let call = fleet.call_with_key(
            Method::POST,
            0,
            "/patient/u",
            "urgent",
            "club-key",
            Bytes::new(),
        );
        call.await.map_or(0, |answer| answer.status)
    };
    let (statuses, urgent) = tokio::join!(flood(&fleet, PLACES + WAITING), urgent);
    assert_eq!(urgent, 200);
    assert_none_gave_way(&fleet, &statuses).await;
    let runs = runs(&fleet);
    let position = runs
        .iter()
        .position(|run| run.id == "urgent")
        .expect("it ran");
    println!("urgent request ran as {position} of {}", runs.len());
    assert!(
        position < PLACES + WAITING / 2,
        "it waited behind others: {position}"
    );
    assert!(metric(&fleet, "chicoryreach_shortage_started_total").await >= 50);
    assert!(fleet.vms[0].log_text().contains("short of room"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_accounts_and_priorities_a_full_service_refuses_at_once() {
    let fleet = Fleet::start(1, SAMPLERS).await;
    let statuses = flood(&fleet, PLACES + WAITING).await;
    let refused = statuses.iter().filter(|status| **status == 429).count();
    println!("{refused} of {} refused", statuses.len());
    assert!(refused > 0, "no request was refused");
    assert_eq!(
        metric(&fleet, "chicoryreach_shortage_started_total").await,
        0
    );
}

/// Routes of several priorities lead to both services; score calls use that of the callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn samples_and_score_calls_end_beside_a_flood_of_callers() {
    let fleet = Fleet::start(1, SAMPLERS).await;
    let mut document = config(2);
    document["routes"][2]["priority"] = json!(4);
    document["routes"][3]["priority"] = json!(0);
    put(&fleet, &document).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    let (statuses, results) = tokio::join!(
        flood(&fleet, PLACES + WAITING),
        fleet.read_all_results(0, "b1", SAMPLES)
    );
    assert_none_gave_way(&fleet, &statuses).await;
    fleet.assert_all_complete("b1", &results, SAMPLES, SAMPLERS.events);
    let runs = runs(&fleet);
    let scores = runs
        .iter()
        .enumerate()
        .filter(|(_, run)| run.id.contains("-score"));
    let positions: Vec<usize> = scores.map(|(position, _)| position).collect();
    println!("score calls ran as {positions:?} of {}", runs.len());
    assert!(positions.len() >= SAMPLES);
}
