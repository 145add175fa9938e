//! Real processes on the platform's protocol: batches, callers, signals and a
//! store that fails.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rustix::process::Signal;
use serde_json::Value;
use standins::fleet::{Sampler, SamplerSettings};

use crate::fleet::{Fleet, PATIENCE, SAMPLERS};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_batch_is_served_whole_at_every_vm() {
    let fleet = Fleet::start(3, SAMPLERS).await;
    fleet.hand_in(0, "b1", 24, 1).await;
    let results = fleet.read_all(1, "b1", 24).await;
    fleet.check_whole("b1", &results, 24, SAMPLERS.events);
    assert_eq!(
        fleet.read_all(2, "b1", 24).await,
        results,
        "positions differ"
    );
    let callers = fleet.vms[2].addresses["callers"];
    let body = fleet.get(callers, "/v1/items/b1?id=b1-s7", "x").await;
    assert_eq!(&*body.expect("an answer").body, b"prompt 7");
    let unknown = fleet.get(callers, "/v1/lots/none?after=0", "x").await;
    assert_eq!(unknown.expect("an answer").status, 404);
    for _ in 0..2 {
        let end = fleet.call(Method::DELETE, callers, "/v1/lots/b1", "x", Bytes::new());
        assert_eq!(end.await.expect("an answer").status, 200);
    }
    // Handed in again it is neither refused nor run again.
    let before = fleet.sample_runs();
    fleet.hand_in(1, "b1", 24, 1).await;
    let after = fleet.sample_runs();
    assert_eq!(before, after);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vms_killed_in_a_step_lose_and_double_nothing() {
    let slow = SamplerSettings {
        events: 60,
        ..SAMPLERS
    };
    let fleet = Fleet::start(3, slow).await;
    fleet.hand_in(0, "b1", 60, 1).await;
    let deadline = Instant::now() + PATIENCE;
    // Some text has been kept by then, and no run is done.
    while fleet
        .store
        .with_store(|store| store.read("texts", "b1", "", None).len())
        < 5
    {
        assert!(Instant::now() < deadline, "no text is kept");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let starts = |n: &usize| fleet.vms[*n].log_text().contains("share starts");
    let owners: Vec<usize> = (0..3).filter(starts).collect();
    assert!((1..=2).contains(&owners.len()), "two shares at the most");
    for owner in &owners {
        fleet.signal(*owner, Signal::KILL);
    }
    let reader = (0..3).find(|n| !owners.contains(n)).expect("one is left");
    let results = fleet.read_all(reader, "b1", 60).await;
    fleet.check_whole("b1", &results, 60, slow.events);
    // Each share went to one of those that are left.
    let went_on = (0..3).filter(|n| !owners.contains(n)).any(|n| {
        let log = fleet.vms[n].log_text();
        log.lines()
            .any(|line| line.contains("share starts") && !line.contains("\"kept\":0"))
    });
    assert!(went_on, "no kept text was taken up");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_the_store_turns_away_serves_through_another() {
    let fleet = Fleet::start(3, SAMPLERS).await;
    // It has to have read the other VMs' rows once.
    fleet.hand_in(1, "b0", 4, 1).await;
    fleet.read_all(1, "b0", 4).await;
    fleet.store.turn_away([1]);
    fleet.hand_in(1, "b1", 12, 1).await;
    let results = fleet.read_all(1, "b1", 12).await;
    fleet.check_whole("b1", &results, 12, SAMPLERS.events);
    assert!(fleet.vms[1].log_text().contains("way to the store changes"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_store_accept_and_list_once() {
    let fleet = Fleet::start(2, SAMPLERS).await;
    fleet.store.lose_answers(6);
    fleet.hand_in(0, "b1", 12, 1).await;
    fleet.store.lose_answers(4);
    let results = fleet.read_all(1, "b1", 12).await;
    fleet.check_whole("b1", &results, 12, SAMPLERS.events);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_loses_its_history_is_read_again() {
    let fleet = Fleet::start(2, SAMPLERS).await;
    fleet.store.with_store(|store| {
        store.put(
            "op",
            "config",
            STANDARD.encode(crate::fleet::config(9).to_string()),
        );
        store.forget_history();
    });
    let deadline = Instant::now() + PATIENCE;
    while !fleet.vms.iter().all(|vm| {
        let log = vm.log_text();
        log.lines()
            .any(|line| line.contains("configuration in force") && line.contains("\"version\":9"))
    }) {
        assert!(Instant::now() < deadline, "version 9 is not in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_of_another_writer_harms_no_other() {
    let fleet = Fleet::start(1, SAMPLERS).await;
    let entries = [
        "{}",
        "not JSON",
        r#"{"service": 3, "address": "127.0.0.1:1", "state": "ready"}"#,
        r#"{"service": "slips", "address": "nowhere", "state": "ready"}"#,
        r#"{"service": "slips", "address": "127.0.0.1:1", "state": "asleep"}"#,
    ];
    fleet.store.with_store(|store| {
        for (number, entry) in entries.iter().enumerate() {
            store.put(
                "servers",
                &format!("i-odd-{number}"),
                STANDARD.encode(entry),
            );
        }
        store.put("servers", "i-odd-bytes", "%%%".to_owned());
    });
    let callers = fleet.vms[0].addresses["callers"];
    let deadline = Instant::now() + PATIENCE;
    while !fleet.vms[0].log_text().contains("i-odd-bytes") {
        assert!(Instant::now() < deadline, "the entries were not read");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for number in 0..20 {
        let answer = fleet.get(callers, "/slips/1", &format!("r{number}")).await;
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status, &*answer.body),
            (200, &b"GET /slips/1 0 bytes"[..])
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hangup_cuts_nothing_and_a_stop_ends_what_is_in_progress() {
    let slow = SamplerSettings {
        work_ms: 1_500,
        ..SAMPLERS
    };
    let mut fleet = Fleet::start(2, slow).await;
    let callers = fleet.vms[0].addresses["callers"];
    fleet.signal(0, Signal::HUP);
    let held = fleet.get(callers, "/slips/1", "r1");
    let stop = async {
        // The stop comes while a sampler runs the request, not before.
        let deadline = Instant::now() + PATIENCE;
        let runs = |sampler: &Sampler| sampler.runs().iter().any(|id| id == "r1");
        while !fleet.plain.iter().any(runs) {
            assert!(Instant::now() < deadline, "the request did not begin");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.signal(0, Signal::TERM);
    };
    let (answer, ()) = tokio::join!(held, stop);
    assert_eq!(answer.expect("an answer").status, 200);
    assert!(fleet.vms[0].log_text().contains("reload"));
    let deadline = Instant::now() + PATIENCE;
    while fleet.is_running(0) {
        assert!(Instant::now() < deadline, "the stopped VM still runs");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The other VM sends callers to itself only.
    let directory = fleet.vms[1].addresses["directory"];
    let path = "/v1/resolve?name=rollouts.example&region=r&zone=dc-1";
    loop {
        let answer = fleet.get(directory, path, "x").await.expect("an answer");
        let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
        let addresses = body["addrs"].as_array().expect("a list");
        if addresses.len() == 1 {
            assert_eq!(addresses[0], fleet.vms[1].addresses["callers"].to_string());
            break;
        }
        assert!(
            Instant::now() < deadline,
            "callers are still sent to the stopped VM"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn weights_that_a_trainer_names_reach_the_samplers() {
    let fleet = Fleet::start(2, SAMPLERS).await;
    let named = r#"{"model": "advice", "version": 2}"#;
    fleet
        .store
        .with_store(|store| store.put("op", "version/advice", STANDARD.encode(named)));
    // A batch that takes the newest weights only has every sampler moved.
    fleet.hand_in(0, "b1", 12, 2).await;
    let results = fleet.read_all(0, "b1", 12).await;
    for result in &results {
        assert_eq!(
            result["versions"],
            serde_json::json!([2]),
            "{}",
            result["id"]
        );
    }
    for sampler in &fleet.models {
        let orders = sampler.orders();
        let holders: BTreeSet<&str> = orders.iter().filter_map(|o| o["holder"].as_str()).collect();
        assert!(holders.len() <= 1, "one VM orders: {holders:?}");
    }
}
