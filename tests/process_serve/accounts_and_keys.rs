//! Guards against requests that run for the wrong client account or without one, and
//! against keys that reach an endpoint, a log or a row of the store.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use standins::fleet::{AnswerFault, RunStart, Sampler};

use crate::fleet::{Fleet, HOST, SAMPLER_SETTINGS, WAIT_TIMEOUT, batch_body, config};

const SAMPLES: usize = 8;
const CLUB_KEYS: [&str; 2] = ["club-key-one", "club-key-two"];
const TEAM_KEY: &str = "team-key";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn accounts() -> Value {
    json!([{"name": "club", "keys": CLUB_KEYS, "priority": 1}, {"name": "team", "keys": [TEAM_KEY]}])
}

/// Writes a configuration with accounts, whose route for lookups is public.
fn write_config(fleet: &Fleet, version: u64, accounts: &Value) {
    let mut document = config(version);
    let routes = document["routes"].as_array_mut().expect("a list");
    routes.push(
        json!({"name": "public", "host": HOST, "prefix": "/public/", "kind": "safe",
        "timeout_ms": 2000, "target_latency_ms": 150, "service": "slips", "attempts": 3,
        "public": true}),
    );
    document["tenants"] = accounts.clone();
    let text = STANDARD.encode(document.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", text));
}

async fn wait_for_log(fleet: &Fleet, vm: usize, text: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !fleet.vms[vm].log_text().contains(text) {
        assert!(Instant::now() < deadline, "VM {vm} does not log {text}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_version(fleet: &Fleet, vm: usize, version: u64) {
    let in_force = format!("\"configuration in force\",\"version\":{version},");
    wait_for_log(fleet, vm, &in_force).await;
}

/// Starts VMs and puts accounts in force.
async fn start(vms: usize) -> Fleet {
    let fleet = Fleet::start(vms, SAMPLER_SETTINGS).await;
    write_config(&fleet, 2, &accounts());
    for vm in 0..vms {
        wait_for_version(&fleet, vm, 2).await;
    }
    fleet
}

async fn post(fleet: &Fleet, vm: usize, path: &str, id: &str, key: &str) -> u16 {
    let answer = fleet.call_with_key(Method::POST, vm, path, id, key, Bytes::new());
    answer.await.map_or(0, |answer| answer.status)
}

fn runs(fleet: &Fleet) -> Vec<RunStart> {
    let samplers = fleet.plain_samplers.iter().chain(&fleet.model_samplers);
    samplers.flat_map(Sampler::all_runs).collect()
}

/// Asserts that no key has left the VMs.
fn assert_keys_are_secret(fleet: &Fleet) {
    assert!(
        runs(fleet).iter().all(|run| !run.has_key),
        "a key was passed on"
    );
    let keys = CLUB_KEYS.iter().chain([&TEAM_KEY, &"other-key"]);
    for (key, vm) in keys.flat_map(|key| fleet.vms.iter().map(move |vm| (key, vm))) {
        assert!(!vm.log_text().contains(key), "{} logs {key}", vm.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_for_the_account_that_holds_the_key() {
    let fleet = start(1).await;
    assert_eq!(
        post(&fleet, 0, "/slips/1", "known", CLUB_KEYS[1]).await,
        200
    );
    assert_eq!(
        post(&fleet, 0, "/slips/1", "unknown", "other-key").await,
        401
    );
    assert_eq!(post(&fleet, 0, "/public/1", "public", TEAM_KEY).await, 200);
    assert_eq!(
        post(&fleet, 0, "/public/1", "nobody", "other-key").await,
        200
    );
    assert_eq!(
        post(&fleet, 0, "/nowhere/1", "nowhere", "other-key").await,
        404
    );
    let callers = fleet.vms[0].addresses["callers"];
    let missing = fleet.call(Method::POST, callers, "/slips/1", "missing", Bytes::new());
    assert_eq!(missing.await.expect("an answer").status, 401);
    // Two of three samplers refuse it, so that the request is sent again.
    for sampler in &fleet.plain_samplers[1..] {
        sampler.inject_answer_faults(AnswerFault::Refused, 1);
    }
    assert_eq!(post(&fleet, 0, "/slips/2", "again", TEAM_KEY).await, 200);
    let account_of = |id: &str| {
        let found = runs(&fleet).into_iter().find(|run| run.id == id);
        found.map(|run| run.account)
    };
    assert_eq!(account_of("known"), Some(Some("club".to_owned())));
    assert_eq!(account_of("public"), Some(Some("team".to_owned())));
    assert_eq!(account_of("again"), Some(Some("team".to_owned())));
    assert_eq!(
        account_of("nobody"),
        Some(None),
        "a forged account was passed on"
    );
    assert_eq!((account_of("unknown"), account_of("missing")), (None, None));
    assert_keys_are_secret(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn batches_belong_to_their_account() {
    let fleet = start(2).await;
    let mut body = batch_body("b1", SAMPLES, 1);
    for sample in body["requests"].as_array_mut().expect("a list") {
        sample["headers"]["Authorization"] = json!("Bearer club-key-one");
        sample["headers"]["X-Tenant"] = json!("forged");
    }
    let body = Bytes::from(body.to_string());
    let submit = async |vm: usize, key: &str| {
        let answer = fleet.call_with_key(Method::POST, vm, "/lots/b1", "b1", key, body.clone());
        answer.await.expect("an answer").status
    };
    let call = async |method: Method, path: &str, key: &str| {
        let answer = fleet.call_with_key(method, 1, path, "reader", key, Bytes::new());
        answer.await.expect("an answer")
    };
    assert_eq!(submit(0, CLUB_KEYS[0]).await, 200);
    assert_eq!(submit(1, TEAM_KEY).await, 403);
    assert_eq!(submit(1, CLUB_KEYS[1]).await, 200);
    let body_path = "/v1/items/b1?id=b1-s0";
    for (method, path) in [
        (Method::GET, "/v1/lots/b1?after=0"),
        (Method::GET, body_path),
        (Method::DELETE, "/v1/lots/b1"),
    ] {
        assert_eq!(call(method.clone(), path, TEAM_KEY).await.status, 403);
        assert_eq!(call(method, path, "other-key").await.status, 401);
    }
    // The key under which the batch was submitted is taken away.
    write_config(
        &fleet,
        3,
        &json!([{"name": "club", "keys": [CLUB_KEYS[1]]}]),
    );
    wait_for_version(&fleet, 1, 3).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut listed = 0;
    while listed < SAMPLES {
        assert!(
            Instant::now() < deadline,
            "only {listed} samples are listed"
        );
        assert_eq!(call(Method::GET, body_path, CLUB_KEYS[0]).await.status, 401);
        let path = format!("/v1/lots/b1?after={listed}");
        let page = call(Method::GET, &path, CLUB_KEYS[1]).await;
        let page: Value = serde_json::from_slice(&page.body).expect("JSON");
        listed += page["results"].as_array().expect("a list").len();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(
        call(Method::DELETE, "/v1/lots/b1", CLUB_KEYS[1])
            .await
            .status,
        200
    );
    let of_samples = |run: &&RunStart| run.id.contains("-s") && !run.id.contains("-score");
    let all = runs(&fleet);
    let samples: Vec<&RunStart> = all.iter().filter(of_samples).collect();
    assert!(samples.len() >= SAMPLES);
    assert!(
        samples
            .iter()
            .all(|run| run.account.as_deref() == Some("club"))
    );
    let scores = all.iter().filter(|run| run.id.contains("-score"));
    assert!(scores.clone().count() >= SAMPLES);
    assert!(
        scores.clone().all(|run| run.account.is_none()),
        "a score call names an account"
    );
    assert_keys_are_secret(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_revoked_key_is_refused_and_stays_refused() {
    let mut fleet = start(2).await;
    // The second VM is turned away by the store while the key is revoked.
    fleet.store.refuse_vms([1]);
    let no_keys = json!([{"name": "club", "keys": []}, {"name": "team", "keys": [TEAM_KEY]}]);
    write_config(&fleet, 3, &no_keys);
    wait_for_version(&fleet, 0, 3).await;
    assert_eq!(
        post(&fleet, 0, "/slips/1", "revoked", CLUB_KEYS[0]).await,
        401
    );
    assert_eq!(post(&fleet, 0, "/slips/1", "other", TEAM_KEY).await, 200);
    // Its calls to the store are relayed by the first VM.
    wait_for_version(&fleet, 1, 3).await;
    assert_eq!(
        post(&fleet, 1, "/slips/1", "revoked-1", CLUB_KEYS[0]).await,
        401
    );
    fleet.store.refuse_vms([]);
    // A configuration that cannot be told apart changes nothing and is logged.
    let shared =
        json!([{"name": "club", "keys": [TEAM_KEY]}, {"name": "team", "keys": [TEAM_KEY]}]);
    write_config(&fleet, 4, &shared);
    wait_for_log(&fleet, 0, "accounts club and team hold the same key").await;
    let mistyped = json!([{"name": "club", "keys": CLUB_KEYS[0]}]);
    write_config(&fleet, 5, &mistyped);
    wait_for_log(&fleet, 0, "tenants[0].keys: not a list").await;
    assert_eq!(post(&fleet, 0, "/slips/1", "kept", TEAM_KEY).await, 200);
    assert_eq!(
        post(&fleet, 0, "/slips/1", "again", CLUB_KEYS[0]).await,
        401
    );
    assert_keys_are_secret(&fleet);
    fleet.keeps_logs = false;
}
