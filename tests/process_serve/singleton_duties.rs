//! Guards against two holders of the duties whose calls mix, against two reports with
//! different counts for one window, and against requests that are counted twice or not.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::fleet::{AnswerFault, ApiState, DutyCall, PlatformApi};

use crate::fleet::{Fleet, HOST, ORDER_GAP_MS, SAMPLER_SETTINGS, WAIT_TIMEOUT, config};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CLUB_KEY: &str = "club-key";
const TEAM_KEY: &str = "team-key";
/// A second, so that a test sees many windows; reports are stored 2 s after their end.
const WINDOW_S: u64 = 1;
const DUE_S: u64 = 5;
/// In which counts have been written, in calm conditions.
const COUNTS_WRITTEN: Duration = Duration::from_millis(400);
const REQUESTS_PER_VM: usize = 10;

/// Starts VMs with the usage duty and two accounts.
async fn start(vms: usize) -> (Fleet, PlatformApi) {
    let api = PlatformApi::try_start().await.expect("a port is free");
    let mut fleet = Fleet::start_without_vms(vms, SAMPLER_SETTINGS).await;
    fleet.platform_api = Some(json!({"address": api.address, "calls_per_s": 50,
        "duties": ["usage"], "usage_window_s": WINDOW_S, "usage_due_s": DUE_S}));
    let mut document = config(2);
    document["tenants"] = json!([{"name": "club", "keys": [CLUB_KEY]},
        {"name": "team", "keys": [TEAM_KEY]}]);
    let routes = document["routes"].as_array_mut().expect("a list");
    routes.push(
        json!({"name": "public", "host": HOST, "prefix": "/public/", "kind": "safe",
        "timeout_ms": 2000, "target_latency_ms": 150, "service": "slips", "attempts": 3,
        "public": true}),
    );
    let text = STANDARD.encode(document.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", text));
    fleet.start_vms(vms).await;
    (fleet, api)
}

async fn wait_until<F, T>(what: &str, mut found: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = found() {
            return value;
        }
        assert!(Instant::now() < deadline, "waited in vain: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn post(fleet: &Fleet, vm: usize, path: &str, id: &str, key: &str) -> u16 {
    let answer = fleet.call_with_key(Method::POST, vm, path, id, key, Bytes::new());
    answer.await.map_or(0, |answer| answer.status)
}

/// Returns the number of the VM that made the last call.
fn holder(fleet: &Fleet, api: &PlatformApi) -> Option<usize> {
    let last = api.calls().pop()?;
    fleet.vms.iter().position(|vm| vm.name == last.holder)
}

async fn wait_for_holder(fleet: &Fleet, api: &PlatformApi) -> usize {
    wait_until("the first call", || holder(fleet, api)).await
}

/// Returns the content of the reports, by window.
fn reports(api: &PlatformApi) -> BTreeMap<u64, Value> {
    let mut reports = BTreeMap::new();
    for call in api.calls() {
        assert_eq!(call.path, "/usage");
        let window = call.body["window"].as_u64().expect("a window");
        let counts = &call.body["instance_counts"];
        let known = reports.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(known, counts, "two reports for window {window} differ");
    }
    reports
}

/// Asserts that calls of different holders do not mix, and that the content of the report
/// for a window does not change.
fn assert_orderly(api: &PlatformApi) {
    let calls = api.calls();
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for call in &calls {
        let known = holders.entry(call.fence).or_insert(call.holder.clone());
        assert_eq!(known, &call.holder, "two holders have fence {}", call.fence);
    }
    let fences: Vec<u64> = calls.iter().map(|call| call.fence).collect();
    assert!(fences.is_sorted(), "a lower fence came later: {fences:?}");
    let gap = Duration::from_millis(ORDER_GAP_MS);
    for pair in calls
        .windows(2)
        .filter(|pair| pair[0].fence != pair[1].fence)
    {
        let returns = |call: &&DutyCall| call.at > pair[1].at && call.holder == pair[0].holder;
        if let Some(back) = calls.iter().find(returns)
            && pair[0].holder != pair[1].holder
        {
            assert!(back.at - pair[0].at >= gap, "{} came back", back.holder);
        }
    }
    reports(api);
}

/// Returns the sum of all reports for an account.
fn reported(api: &PlatformApi, account: &str) -> u64 {
    let reports = reports(api).into_values();
    reports.filter_map(|counts| counts[account].as_u64()).sum()
}

/// Waits until the window that is current now and all before it are reported.
async fn wait_for_reports(api: &PlatformApi) {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let window = unix.expect("after 1970").as_secs() / WINDOW_S;
    wait_until("the report for the current window", || {
        reports(api).contains_key(&window).then_some(())
    })
    .await;
    let windows: Vec<u64> = reports(api).into_keys().collect();
    let gap = windows.windows(2).find(|pair| pair[1] != pair[0] + 1);
    assert_eq!(gap, None, "a window is missing");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_count_each_request_once_over_vms_of_which_one_is_killed() {
    let (fleet, api) = start(3).await;
    // A request that no endpoint runs counts nothing.
    for sampler in &fleet.plain_samplers {
        sampler.inject_answer_faults(AnswerFault::Refused, 3);
    }
    let status = post(&fleet, 0, "/slips/1", "refused", CLUB_KEY).await;
    assert_eq!(status, 429);
    for sampler in &fleet.plain_samplers {
        sampler.clear_answer_faults();
    }
    // One that is refused and sent again counts once.
    for sampler in &fleet.plain_samplers[1..] {
        sampler.inject_answer_faults(AnswerFault::Refused, 4);
    }
    let mut served: BTreeMap<&str, u64> = BTreeMap::new();
    for vm in 0..3 {
        for number in 0..REQUESTS_PER_VM {
            let (account, key) = [("club", CLUB_KEY), ("team", TEAM_KEY)][number % 3 / 2];
            let id = format!("r-{vm}-{number}");
            if post(&fleet, vm, "/slips/1", &id, key).await == 200 {
                *served.entry(account).or_default() += 1;
            }
            let public = format!("p-{vm}-{number}");
            post(&fleet, vm, "/public/1", &public, "unknown-key").await;
        }
    }
    // An answer that is lost does not make a second request of it.
    for sampler in &fleet.plain_samplers {
        sampler.inject_answer_faults(AnswerFault::Cut, 1);
    }
    for number in 0..4 {
        let status = post(&fleet, 0, "/slips/1", &format!("cut-{number}"), TEAM_KEY).await;
        assert_ne!(status, 429);
        *served.entry("team").or_default() += 1;
    }
    tokio::time::sleep(COUNTS_WRITTEN).await;
    fleet.signal(2, Signal::KILL);
    wait_for_reports(&api).await;
    assert_orderly(&api);
    for (account, count) in served {
        assert_eq!(reported(&api, account), count, "{account}");
    }
}

/// Guards against a report that another holder composes anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_next_holder_sends_what_was_stored() {
    let (fleet, api) = start(3).await;
    let first = wait_for_holder(&fleet, &api).await;
    api.set_state(ApiState::Down);
    for vm in (0..3).filter(|vm| *vm != first) {
        for number in 0..3 {
            let id = format!("r-{vm}-{number}");
            assert_eq!(post(&fleet, vm, "/slips/1", &id, CLUB_KEY).await, 200);
        }
    }
    let is_stored = "\"report of usage stored\",\"window\":";
    let counted = wait_until("a stored report with counts", || {
        let log = fleet.vms[first].log_text();
        let mut lines = log.lines().filter(|line| line.contains(is_stored));
        let line = lines.find(|line| !line.contains("\"requests\":0"))?;
        serde_json::from_str::<Value>(line).ok()
    })
    .await;
    let window = counted["window"].as_u64().expect("a window");
    let requests = counted["requests"].as_u64().expect("a number");
    assert!(!reports(&api).contains_key(&window));
    fleet.signal(first, Signal::KILL);
    // A report that is composed anew would contain these late counts.
    let late = rmp_serde::to_vec_named(&json!({"counts": {"club": 5}})).expect("it is encoded");
    let key = format!("{window:012}/vm-late/1");
    let late = STANDARD.encode(late);
    fleet
        .store
        .with_store(|store| store.put("usage", &key, late));
    api.set_state(ApiState::Up);
    wait_for_reports(&api).await;
    assert_orderly(&api);
    assert_ne!(holder(&fleet, &api), Some(first));
    assert_eq!(reports(&api)[&window]["club"], requests);
    assert_eq!(reported(&api, "club"), 6);
}

/// Guards against a holder that acts after its tenure, since it has not noticed the time
/// during which it was frozen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_that_was_frozen_past_its_tenure_makes_no_call() {
    let (fleet, api) = start(2).await;
    let first = wait_for_holder(&fleet, &api).await;
    // It is frozen within the back-off of at least 200 ms before its fourth call, which it
    // would send as soon as it runs again.
    api.set_state(ApiState::Down);
    wait_until("reports that are not accepted", || {
        let log = fleet.vms[first].log_text();
        (log.matches("report of usage not accepted").count() >= 3).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.signal(first, Signal::STOP);
    api.set_state(ApiState::Up);
    wait_until("another holder", || {
        holder(&fleet, &api).filter(|holder| *holder != first)
    })
    .await;
    fleet.signal(first, Signal::CONT);
    assert_eq!(
        post(&fleet, first, "/slips/1", "thawed", CLUB_KEY).await,
        200
    );
    wait_for_reports(&api).await;
    assert_orderly(&api);
    assert_ne!(holder(&fleet, &api), Some(first));
    assert_eq!(reported(&api, "club"), 1);
}

/// Guards against a repeated report with other counts, and against a holder that keeps the
/// duties although it gets no answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_without_an_answer_are_repeated_by_another_holder_in_turn() {
    let (fleet, api) = start(2).await;
    let first = wait_for_holder(&fleet, &api).await;
    api.set_state(ApiState::LosesAnswers);
    assert_eq!(post(&fleet, 0, "/slips/1", "r1", CLUB_KEY).await, 200);
    wait_until("another holder", || {
        holder(&fleet, &api).filter(|holder| *holder != first)
    })
    .await;
    assert_eq!(post(&fleet, 1, "/slips/1", "r2", CLUB_KEY).await, 200);
    api.set_state(ApiState::Up);
    // The transactions of the holder lose answers as well.
    fleet.store.lose_answers(6);
    wait_for_reports(&api).await;
    assert_orderly(&api);
    assert_eq!(reported(&api, "club"), 2);
    let calls = api.calls();
    let windows: Vec<u64> = calls
        .iter()
        .filter_map(|c| c.body["window"].as_u64())
        .collect();
    let repeated = windows.windows(2).any(|pair| pair[0] == pair[1]);
    assert!(repeated, "nothing was repeated: {windows:?}");
}

/// Guards against a draining holder that keeps the duties, or ends with counts unwritten.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_holder_hands_over() {
    let (fleet, api) = start(2).await;
    let first = wait_for_holder(&fleet, &api).await;
    assert_eq!(post(&fleet, first, "/slips/1", "r1", CLUB_KEY).await, 200);
    fleet.signal(first, Signal::TERM);
    wait_until("another holder", || {
        holder(&fleet, &api).filter(|holder| *holder != first)
    })
    .await;
    wait_for_reports(&api).await;
    assert_orderly(&api);
    assert_eq!(reported(&api, "club"), 1);
    let log = fleet.vms[first].log_text();
    assert!(log.contains("duties lost"), "{log}");
}
