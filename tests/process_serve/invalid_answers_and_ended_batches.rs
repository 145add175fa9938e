//! Real processes whose samplers answer wrongly, or whose trainers leave.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use standins::fleet::{Sampler, SamplerSettings, Spoil};

use crate::fleet::{Fleet, PATIENCE, SAMPLERS};

/// How soon nothing runs any more for a batch that has ended.
const CANCEL: Duration = Duration::from_secs(3);

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_spoilt_answer_reaches_no_caller(
    #[values(Spoil::Foreign, Spoil::Unstamped, Spoil::Encoded, Spoil::Cut)] spoil: Spoil,
) {
    let fleet = Fleet::start(1, SAMPLERS).await;
    let callers = fleet.vms[0].addresses["callers"];
    for sampler in &fleet.plain {
        sampler.spoil(spoil, 2);
    }
    let mut whole = 0;
    for number in 0..8 {
        let id = format!("call-{number}");
        let answer = fleet.get(callers, "/slips/1", &id).await;
        let answer = answer.expect("an answer in time");
        if answer.status == 200 {
            assert_eq!(&*answer.body, b"GET /slips/1 0 bytes");
            whole += 1;
        }
    }
    // Six spoilt answers of three attempts each fail two calls at the most.
    assert!(whole >= 6, "{whole} of 8 calls were served");
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_spoilt_run_leaves_no_trace_in_a_text(
    #[values(
        Spoil::Foreign,
        Spoil::Unstamped,
        Spoil::Encoded,
        Spoil::Cut,
        Spoil::Doubled,
        Spoil::Gap,
        Spoil::Versionless
    )]
    spoil: Spoil,
) {
    let fleet = Fleet::start(1, SAMPLERS).await;
    for sampler in &fleet.models {
        sampler.spoil(spoil, 4);
    }
    fleet.hand_in(0, "b1", 16, 1).await;
    let results = fleet.read_all(0, "b1", 16).await;
    fleet.check_whole("b1", &results, 16, SAMPLERS.events);
    // Each spoilt run was noticed, and its sample run again.
    assert!(fleet.sample_runs().len() >= 16 + 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sample_that_always_fails_is_given_up_after_its_attempts() {
    let fleet = Fleet::start(2, SAMPLERS).await;
    for sampler in &fleet.models {
        sampler.fail("b1-s3");
    }
    fleet.hand_in(0, "b1", 8, 1).await;
    let results = fleet.read_all(1, "b1", 8).await;
    for result in &results {
        let is_failing = result["id"] == "b1-s3";
        assert_eq!(result["state"], if is_failing { "dead" } else { "done" });
    }
    let runs = fleet.sample_runs();
    let attempts = runs.iter().filter(|id| *id == "b1-s3").count();
    assert_eq!(attempts, 3, "the route allows three attempts");
    assert_eq!(runs.len(), 7 + 3);
}

/// Ends a batch of long samples at a VM while two shares of it run.
async fn end_while_running() -> Fleet {
    let long = SamplerSettings {
        events: 2_000,
        ..SAMPLERS
    };
    let fleet = Fleet::start(3, long).await;
    fleet.hand_in(0, "b1", 60, 1).await;
    let deadline = Instant::now() + PATIENCE;
    while active(&fleet) < 20 {
        assert!(Instant::now() < deadline, "{} run", active(&fleet));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let reader = fleet.vms[2].addresses["callers"];
    let end = fleet.call(Method::DELETE, reader, "/v1/lots/b1", "x", Bytes::new());
    assert_eq!(end.await.expect("an answer").status, 200);
    fleet
}

fn active(fleet: &Fleet) -> u32 {
    fleet.models.iter().map(Sampler::active).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_ended_batch_stops_what_runs_for_it_at_every_vm() {
    let fleet = end_while_running().await;
    let ended = Instant::now();
    while active(&fleet) > 0 {
        assert!(ended.elapsed() < CANCEL, "{} still run", active(&fleet));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let runs = fleet.sample_runs().len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.sample_runs().len(), runs, "runs began after the end");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_runs_for_an_ended_batch_from_the_bound_on() {
    let fleet = end_while_running().await;
    tokio::time::sleep(CANCEL).await;
    assert_eq!(active(&fleet), 0, "some still run");
    let runs = fleet.sample_runs().len();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        fleet.sample_runs().len(),
        runs,
        "runs began after the bound"
    );
    assert_eq!(active(&fleet), 0, "some run again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_batch_runs_nowhere_until_it_comes_again() {
    let fleet = Fleet::start(2, SAMPLERS).await;
    fleet.store.turn_away([0, 1]);
    let body = Bytes::from(crate::fleet::batch_body("b1", 8, 1).to_string());
    let callers = fleet.vms[0].addresses["callers"];
    let refused = fleet.call(Method::POST, callers, "/lots/b1", "b1", body);
    assert_eq!(refused.await.expect("an answer").status, 503);
    fleet.store.turn_away([]);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(fleet.sample_runs().is_empty(), "it ran after the refusal");
    fleet.hand_in(1, "b1", 8, 1).await;
    let results = fleet.read_all(0, "b1", 8).await;
    fleet.check_whole("b1", &results, 8, SAMPLERS.events);
}
