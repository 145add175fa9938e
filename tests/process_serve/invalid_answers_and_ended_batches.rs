//! Guards against invalid answers of samplers that reach callers or texts, and
//! against runs for batches that were ended or refused.
//!
//! Samplers of real processes give some invalid answers or always fail, and a
//! trainer ends its batch while samples run.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use rustix::process::Signal;
use standins::fleet::{AnswerFault, Sampler, SamplerSettings};

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT};

/// The time within which every run of an ended batch stops.
const CANCELLATION_TIMEOUT: Duration = Duration::from_secs(3);

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_answer_reaches_no_caller(
    #[values(
        AnswerFault::Foreign,
        AnswerFault::Unstamped,
        AnswerFault::Encoded,
        AnswerFault::Cut
    )]
    fault: AnswerFault,
) {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    let callers = fleet.vms[0].addresses["callers"];
    for sampler in &fleet.plain_samplers {
        sampler.inject_answer_faults(fault, 2);
    }
    let mut served_count = 0;
    for number in 0..8 {
        let id = format!("call-{number}");
        let answer = fleet.get(callers, "/slips/1", &id).await;
        let answer = answer.expect("an answer in time");
        if answer.status == 200 {
            assert_eq!(&*answer.body, b"GET /slips/1 0 bytes");
            served_count += 1;
        }
    }
    // Six answers are invalid and each call has three attempts, so at most two
    // calls fail.
    assert!(served_count >= 6, "{served_count} of 8 calls were served");
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sample_with_invalid_runs_still_gets_its_complete_text(
    #[values(
        AnswerFault::Foreign,
        AnswerFault::Unstamped,
        AnswerFault::Encoded,
        AnswerFault::Cut,
        AnswerFault::Duplicated,
        AnswerFault::Gap,
        AnswerFault::Versionless
    )]
    fault: AnswerFault,
) {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    for sampler in &fleet.model_samplers {
        sampler.inject_answer_faults(fault, 4);
    }
    fleet.submit_batch(0, "b1", 16, 1).await;
    let results = fleet.read_all_results(0, "b1", 16).await;
    fleet.assert_all_complete("b1", &results, 16, SAMPLER_SETTINGS.events);
    // Each of the twelve invalid runs was detected, and its sample ran again.
    let run_count = fleet.sample_run_ids().len();
    assert!(run_count >= 16 + 12, "only {run_count} runs");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sample_that_always_fails_is_dead_after_three_attempts() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    for sampler in &fleet.model_samplers {
        sampler.fail_request("b1-s3");
    }
    fleet.submit_batch(0, "b1", 8, 1).await;
    let results = fleet.read_all_results(1, "b1", 8).await;
    for result in &results {
        let is_failing = result["id"] == "b1-s3";
        assert_eq!(result["state"], if is_failing { "dead" } else { "done" });
    }
    let runs = fleet.sample_run_ids();
    let attempts = runs.iter().filter(|id| *id == "b1-s3").count();
    assert_eq!(attempts, 3, "the route allows three attempts");
    assert_eq!(runs.len(), 7 + 3);
}

/// Guards against failures of a sample that each VM which takes its share over counts
/// anew: the users allow three times the attempts of the route.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failures_of_a_sample_are_counted_over_all_owners_of_its_share() {
    const VMS: usize = 2;
    const ATTEMPTS: usize = 3;
    const OWNERS: usize = 5;
    let mut fleet = Fleet::start(VMS, SAMPLER_SETTINGS).await;
    for sampler in &fleet.model_samplers {
        sampler.fail_request("b1-s3");
    }
    fleet.submit_batch(0, "b1", 4, 1).await;
    let run_count = |fleet: &Fleet| {
        let runs = fleet.sample_run_ids();
        runs.iter().filter(|id| *id == "b1-s3").count()
    };
    for _ in 0..OWNERS {
        // Each owner is killed when it has seen the sample fail as often as the route
        // allows, before it can list the sample.
        let deadline = Instant::now() + Duration::from_secs(6);
        let runs_before = run_count(&fleet);
        while run_count(&fleet) < runs_before + ATTEMPTS && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fleet.store.refuse_vms(0..VMS);
        for vm in 0..VMS {
            fleet.signal(vm, Signal::KILL);
        }
        for vm in 0..VMS {
            while fleet.is_running(vm) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            fleet.restart(vm).await;
        }
        fleet.store.refuse_vms([]);
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    let runs = run_count(&fleet);
    println!("{runs} runs");
    assert!((ATTEMPTS..=3 * ATTEMPTS).contains(&runs), "{runs} runs");
}

/// Ends a batch of long samples through one VM while its two shares run.
async fn start_and_end_batch() -> Fleet {
    let long = SamplerSettings {
        events: 2_000,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start(3, long).await;
    fleet.submit_batch(0, "b1", 60, 1).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while count_running(&fleet) < 20 {
        assert!(
            Instant::now() < deadline,
            "only {} samples run",
            count_running(&fleet)
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let reader = fleet.vms[2].addresses["callers"];
    let end = fleet.call(Method::DELETE, reader, "/v1/lots/b1", "x", Bytes::new());
    assert_eq!(end.await.expect("an answer").status, 200);
    fleet
}

/// Returns the number of samples that run now.
fn count_running(fleet: &Fleet) -> u32 {
    fleet
        .model_samplers
        .iter()
        .map(Sampler::active_streams)
        .sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_ended_batch_stops_what_runs_for_it_at_every_vm() {
    let mut fleet = start_and_end_batch().await;
    fleet.keeps_logs = true;
    let ended = Instant::now();
    // A VM that does not know of the end yet may still begin runs.
    let is_known = |fleet: &Fleet| {
        let mut vms = fleet.vms.iter();
        vms.all(|vm| vm.log_text().contains("batch ended"))
    };
    while !is_known(&fleet) || count_running(&fleet) > 0 {
        assert!(
            ended.elapsed() < CANCELLATION_TIMEOUT,
            "all VMs know: {}, {} samples still run",
            is_known(&fleet),
            count_running(&fleet)
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let runs = fleet.sample_run_ids().len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        fleet.sample_run_ids().len(),
        runs,
        "runs began after the end"
    );
    fleet.keeps_logs = false;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_seconds_after_a_batch_ends_nothing_runs_for_it() {
    let fleet = start_and_end_batch().await;
    tokio::time::sleep(CANCELLATION_TIMEOUT).await;
    assert_eq!(count_running(&fleet), 0, "samples still run");
    let runs = fleet.sample_run_ids().len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        fleet.sample_run_ids().len(),
        runs,
        "runs began after the time limit"
    );
    assert_eq!(count_running(&fleet), 0, "samples run again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_batch_runs_only_after_it_is_submitted_again() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    fleet.store.refuse_vms([0, 1]);
    let body = Bytes::from(crate::fleet::batch_body("b1", 8, 1).to_string());
    let callers = fleet.vms[0].addresses["callers"];
    let refused = fleet.call(Method::POST, callers, "/lots/b1", "b1", body);
    assert_eq!(refused.await.expect("an answer").status, 503);
    fleet.store.refuse_vms([]);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(
        fleet.sample_run_ids().is_empty(),
        "samples ran after the refusal"
    );
    fleet.submit_batch(1, "b1", 8, 1).await;
    let results = fleet.read_all_results(0, "b1", 8).await;
    fleet.assert_all_complete("b1", &results, 8, SAMPLER_SETTINGS.events);
}
