//! Guards against batches that are never accepted since they are larger than an object of
//! the store.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use standins::fleet::OBJECT_BYTES;

use crate::fleet::{Fleet, SAMPLER_SETTINGS, batch_body, config};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_batch_larger_than_an_object_is_accepted_and_run() {
    const SAMPLES: usize = 32;
    const BODY_BYTES: usize = OBJECT_BYTES / SAMPLES + 64 * 1024;
    let mut fleet = Fleet::start_without_vms(2, SAMPLER_SETTINGS).await;
    let mut limits = config(2);
    limits["limits"]["body_bytes"] = (4 * OBJECT_BYTES).into();
    let limits = STANDARD.encode(limits.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", limits));
    fleet.start_vms(2).await;
    let mut spec = batch_body("b1", SAMPLES, 1);
    for sample in spec["requests"].as_array_mut().expect("a list") {
        sample["body"] = STANDARD.encode("x".repeat(BODY_BYTES)).into();
    }
    let callers = [0, 1].map(|vm: usize| fleet.vms[vm].addresses["callers"]);
    let body = Bytes::from(spec.to_string());
    let accepted = fleet.call(Method::POST, callers[0], "/lots/b1", "b1", body);
    let accepted = accepted.await.expect("the VM answers");
    assert_eq!(accepted.status, 200, "{:?}", accepted.body);
    for sample in [0, SAMPLES - 1] {
        let path = format!("/v1/items/b1?id=b1-s{sample}");
        let answer = fleet.get(callers[1], &path, "reader").await;
        let answer = answer.expect("the VM answers");
        assert_eq!((answer.status, answer.body.len()), (200, BODY_BYTES));
    }
    let results = fleet.read_all_results(1, "b1", SAMPLES).await;
    fleet.assert_all_complete("b1", &results, SAMPLES, SAMPLER_SETTINGS.events);
}
