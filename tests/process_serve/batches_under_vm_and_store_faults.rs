//! Guards against lost, duplicated or stuck batches and calls when VMs and the store
//! fail.
//!
//! Real processes are killed, stopped and reloaded by signals. The store refuses
//! a VM, loses answers or its history, or lists malformed entries.

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

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_vm_serves_all_results_of_a_batch() {
    let fleet = Fleet::start(3, SAMPLER_SETTINGS).await;
    fleet.submit_batch(0, "b1", 24, 1).await;
    let results = fleet.read_all_results(1, "b1", 24).await;
    fleet.assert_all_complete("b1", &results, 24, SAMPLER_SETTINGS.events);
    assert_eq!(
        fleet.read_all_results(2, "b1", 24).await,
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
    // The ended batch, submitted again, is neither refused nor run again.
    let before = fleet.sample_run_ids();
    fleet.submit_batch(1, "b1", 24, 1).await;
    let after = fleet.sample_run_ids();
    assert_eq!(before, after);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killing_the_vms_of_a_step_loses_and_duplicates_no_sample() {
    let slow = SamplerSettings {
        events: 60,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start(3, slow).await;
    fleet.submit_batch(0, "b1", 60, 1).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    // At this point, some texts have been saved and no run is done.
    while fleet
        .store
        .with_store(|store| store.read("texts", "b1", "", None).len())
        < 5
    {
        assert!(
            Instant::now() < deadline,
            "fewer than five texts were saved"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let runs_share = |n: &usize| fleet.vms[*n].log_text().contains("share starts");
    let owners: Vec<usize> = (0..3).filter(runs_share).collect();
    assert!(
        (1..=2).contains(&owners.len()),
        "VMs {owners:?} run shares, expected one or two"
    );
    for owner in &owners {
        fleet.signal(*owner, Signal::KILL);
    }
    let reader = (0..3)
        .find(|n| !owners.contains(n))
        .expect("one VM is left");
    let results = fleet.read_all_results(reader, "b1", 60).await;
    fleet.assert_all_complete("b1", &results, 60, slow.events);
    // Each share was claimed by one of the VMs that are left.
    let is_resumed = (0..3).filter(|n| !owners.contains(n)).any(|n| {
        let log = fleet.vms[n].log_text();
        log.lines()
            .any(|line| line.contains("share starts") && !line.contains("\"kept\":0"))
    });
    assert!(is_resumed, "no saved text was resumed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_refused_by_the_store_serves_through_another_vm() {
    let fleet = Fleet::start(3, SAMPLER_SETTINGS).await;
    // VM 1 must have read the rows of the other VMs once.
    fleet.submit_batch(1, "b0", 4, 1).await;
    fleet.read_all_results(1, "b0", 4).await;
    fleet.store.refuse_vms([1]);
    fleet.submit_batch(1, "b1", 12, 1).await;
    let results = fleet.read_all_results(1, "b1", 12).await;
    fleet.assert_all_complete("b1", &results, 12, SAMPLER_SETTINGS.events);
    assert!(fleet.vms[1].log_text().contains("way to the store changes"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_lost_store_answers_a_batch_is_accepted_and_listed_once() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    fleet.store.lose_answers(6);
    fleet.submit_batch(0, "b1", 12, 1).await;
    fleet.store.lose_answers(4);
    let results = fleet.read_all_results(1, "b1", 12).await;
    fleet.assert_all_complete("b1", &results, 12, SAMPLER_SETTINGS.events);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_the_store_loses_its_history_the_configuration_is_read_again() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    fleet.store.with_store(|store| {
        store.put(
            "op",
            "config",
            STANDARD.encode(crate::fleet::config(9).to_string()),
        );
        store.clear_history();
    });
    let deadline = Instant::now() + WAIT_TIMEOUT;
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
async fn malformed_endpoint_entries_do_not_affect_valid_ones() {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
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
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !fleet.vms[0].log_text().contains("i-odd-bytes") {
        assert!(
            Instant::now() < deadline,
            "the malformed entries were not read"
        );
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
async fn a_hangup_cuts_no_request_and_a_stop_finishes_those_in_progress() {
    let slow = SamplerSettings {
        work_ms: 1_500,
        ..SAMPLER_SETTINGS
    };
    let mut fleet = Fleet::start(2, slow).await;
    let callers = fleet.vms[0].addresses["callers"];
    fleet.signal(0, Signal::HUP);
    let request = fleet.get(callers, "/slips/1", "r1");
    let stop = async {
        // The VM is stopped while a sampler runs the request, not before.
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let runs = |sampler: &Sampler| sampler.run_request_ids().iter().any(|id| id == "r1");
        while !fleet.plain_samplers.iter().any(runs) {
            assert!(Instant::now() < deadline, "the request did not begin");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.signal(0, Signal::TERM);
    };
    let (answer, ()) = tokio::join!(request, stop);
    assert_eq!(answer.expect("an answer").status, 200);
    assert!(fleet.vms[0].log_text().contains("reload"));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while fleet.is_running(0) {
        assert!(Instant::now() < deadline, "the stopped VM still runs");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The other VM now directs callers only to itself.
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
            "callers are still directed to the stopped VM: {addresses:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_weights_reach_the_samplers_by_orders_of_one_vm() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    let announced = r#"{"model": "advice", "version": 2}"#;
    fleet
        .store
        .with_store(|store| store.put("op", "version/advice", STANDARD.encode(announced)));
    // The batch accepts only the newest weights, so every sampler loads them.
    fleet.submit_batch(0, "b1", 12, 2).await;
    let results = fleet.read_all_results(0, "b1", 12).await;
    for result in &results {
        assert_eq!(
            result["versions"],
            serde_json::json!([2]),
            "{}",
            result["id"]
        );
    }
    for sampler in &fleet.model_samplers {
        let orders = sampler.accepted_orders();
        let holders: BTreeSet<&str> = orders.iter().filter_map(|o| o["holder"].as_str()).collect();
        assert!(
            holders.len() <= 1,
            "more than one VM sent orders: {holders:?}"
        );
    }
}
