//! Guards against a second copy of an answer that comes late, on a connection that is in
//! use again, and is taken for the answer to what was sent there next.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use standins::fleet::{AnswerFault, Sampler};

use crate::fleet::{Fleet, SAMPLER_SETTINGS};

/// By when all samplers have loaded a version whose first order each was lost.
const LOADED_WITHIN: Duration = Duration::from_secs(12);

/// Guards against samplers that are taken to hold weights that they never loaded: the
/// copy names another request, or none, as the answers to orders do.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_is_no_answer_to_an_order(
    #[values(AnswerFault::LateCopy, AnswerFault::LateUnnamedCopy)] fault: AnswerFault,
) {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    for sampler in &fleet.model_samplers {
        sampler.inject_answer_faults(fault, 1);
    }
    let announced = r#"{"model": "advice", "version": 2}"#;
    fleet
        .store
        .with_store(|store| store.put("op", "version/advice", STANDARD.encode(announced)));
    // The batch accepts only the newest weights, so every sampler has to load them.
    fleet.submit_batch(0, "b1", 12, 2).await;
    let deadline = Instant::now() + LOADED_WITHIN;
    let has_loaded = |sampler: &Sampler| !sampler.accepted_orders().is_empty();
    while !fleet.model_samplers.iter().all(has_loaded) {
        let orders = fleet.model_samplers.iter().map(Sampler::accepted_orders);
        assert!(
            Instant::now() < deadline,
            "orders: {:?}",
            orders.collect::<Vec<_>>()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let results = fleet.read_all_results(0, "b1", 12).await;
    for result in &results {
        assert_eq!(result["versions"], serde_json::json!([2]));
    }
}

/// Guards against an unsafe request that runs twice, or whose caller is told that it has
/// not run, after a refusal that is not known to be to this request.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_refusal_is_no_answer_to_a_request(
    #[values(AnswerFault::LateRefusal, AnswerFault::UnnamedRefusal)] fault: AnswerFault,
) {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    for sampler in &fleet.plain_samplers {
        sampler.inject_answer_faults(fault, 1);
    }
    let callers = fleet.vms[0].addresses["callers"];
    let body = Bytes::from_static(b"one night");
    let path = "/bookings/1";
    let answer = fleet.call(Method::POST, callers, path, "b1", body.clone());
    let status = answer.await.expect("a whole answer").status;
    let samplers = fleet.plain_samplers.iter();
    let runs: usize = samplers.map(|sampler| sampler.runs_of(&body).len()).sum();
    assert_eq!((runs, status), (1, 502), "runs and status");
}
