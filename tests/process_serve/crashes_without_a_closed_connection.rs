//! Guards against crashes of samplers that are not counted because no connection
//! closes at the moment of the crash.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use standins::fleet::{Sampler, SamplerSettings, WhenDown};

use super::requests_that_crash_samplers::{
    CONTACT, CRASHES_BEFORE_BOUND, CULPRIT, Damage, run_batch_with_culprit, send, start_fleet,
};
use crate::fleet::{Fleet, SAMPLER_SETTINGS, batch_body};

/// How long the culprit keeps coming: several times as long as a sampler is down.
const RESEND_DURATION: Duration = Duration::from_secs(20);
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// The prefix of the body with which a held content is refused.
const HELD: &[u8] = b"content_held";

/// Sends copies of the culprit whose callers still wait when its sampler is no
/// longer listed.
async fn send_patient_copies(fleet: &Fleet) {
    let copies = RESEND_DURATION.as_millis() / RESEND_INTERVAL.as_millis();
    let sends = (0..u32::try_from(copies).expect("few")).map(|copy| async move {
        tokio::time::sleep(copy * RESEND_INTERVAL).await;
        let callers = fleet.vms[copy as usize % fleet.vms.len()].addresses["callers"];
        let id = format!("patient-{copy}");
        let body = Bytes::from_static(CULPRIT);
        fleet
            .call(Method::POST, callers, "/patient/1", &id, body)
            .await
    });
    futures_util::future::join_all(sends).await;
}

/// Guards against crashes that are not counted because their runs still wait when the
/// list drops the sampler.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_count_although_their_callers_wait_longer_than_the_list() {
    let fleet = start_fleet(3).await;
    for sampler in &fleet.plain_samplers {
        sampler.set_when_down(WhenDown::Hangs);
    }
    send_patient_copies(&fleet).await;
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Guards against crashes that are not counted because the store was away shortly
/// before the list drops the samplers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_count_although_the_store_was_away_before_the_list_tells() {
    const STORE_OUTAGE: Duration = Duration::from_millis(1_500);
    const DOWN_MS: u64 = 4_000;
    let fleet = start_fleet(3).await;
    for sampler in &fleet.plain_samplers {
        sampler.set_when_down(WhenDown::Hangs);
        sampler.set_restart_ms(DOWN_MS);
    }
    fleet.store.refuse_vms([0, 1, 2]);
    let outage = async {
        tokio::time::sleep(STORE_OUTAGE).await;
        fleet.store.refuse_vms([]);
    };
    let copies = (0..40).map(|copy| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(copy * 2 * RESEND_INTERVAL).await;
            let id = format!("copy-{copy}");
            send(fleet, copy as usize % 3, &id, CULPRIT).await
        }
    });
    futures_util::future::join(outage, futures_util::future::join_all(copies)).await;
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Guards against crashes of unreachable samplers that become known only with the list
/// of samplers, later than the users' bound begins.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_of_unreachable_samplers_are_known_before_the_list_tells() {
    let fleet = start_fleet(3).await;
    for sampler in &fleet.plain_samplers {
        sampler.set_when_down(WhenDown::Unreachable);
    }
    let crash_count = || -> usize { fleet.plain_samplers.iter().map(|s| s.crashes().len()).sum() };
    let started = Instant::now();
    let mut number = 0;
    while crash_count() < CRASHES_BEFORE_BOUND {
        assert!(
            started.elapsed() < CONTACT,
            "the culprit crashes no sampler"
        );
        let sends = (0..3).map(|vm| {
            let id = format!("culprit-{vm}-{number}");
            let fleet = &fleet;
            async move {
                let answer = send(fleet, vm, &id, CULPRIT);
                let limit = Duration::from_millis(200);
                // The caller gives up and sends it again.
                let _ = tokio::time::timeout(limit, answer).await;
            }
        });
        futures_util::future::join_all(sends).await;
        number += 1;
    }
    let crashes = fleet.plain_samplers.iter().flat_map(Sampler::crashes);
    let last = crashes.max().expect("samplers crashed");
    tokio::time::sleep_until((last + CONTACT).into()).await;
    for vm in 0..3 {
        let id = format!("late-{vm}");
        let answer = send(&fleet, vm, &id, CULPRIT).await.expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.body.starts_with(HELD), "VM {vm}: {text}");
    }
}

/// Guards against a content that is taken for harmless because the sampler that it
/// crashes has just sent an answer to another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_to_another_request_clears_no_content() {
    let fleet = start_fleet(3).await;
    for sampler in &fleet.plain_samplers {
        sampler.answer_before_crash();
    }
    let mut body = batch_body("b1", 12, 1);
    body["requests"][5]["scorer"]["body"] = json!(STANDARD.encode(CULPRIT));
    let results = run_batch_with_culprit(&fleet, &body).await;
    Damage::of_delayed_crashes(&fleet.plain_samplers).assert_bounded();
    assert_eq!(results.len(), 11, "all other items are listed");
}

/// Guards against slow samplers that are taken for crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_samplers_are_not_taken_for_crashed() {
    const WORK_MS: u64 = 1_500;
    let settings = SamplerSettings {
        work_ms: WORK_MS,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start(3, settings).await;
    let calls = (0..12).map(|call| {
        let fleet = &fleet;
        async move {
            let callers = fleet.vms[call % 3].addresses["callers"];
            let id = format!("slow-{call}");
            let body = Bytes::from_static(b"slow");
            let answer = fleet.call(Method::POST, callers, "/patient/1", &id, body);
            assert_eq!(answer.await.map(|answer| answer.status), Some(200));
        }
    });
    futures_util::future::join_all(calls).await;
    for vm in &fleet.vms {
        let metrics = fleet
            .get(vm.addresses["metrics"], "/metrics", "metrics")
            .await;
        let metrics = metrics.expect("an answer").body;
        let text = String::from_utf8_lossy(&metrics);
        assert!(text.contains("endpoint_crashes_total 0\n"), "{text}");
    }
}
