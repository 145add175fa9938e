//! Guards against an item of a batch that is given up because several endpoints crashed
//! while they ran it: what is handed in for later does not crash endpoints by itself, and
//! is owed.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use standins::fleet::{Sampler, SamplerSettings};

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT, batch_body};

const EVENTS: u64 = 30;
const SLOW: SamplerSettings = SamplerSettings {
    events: EVENTS,
    event_ms: 40,
    work_ms: 400,
    ..SAMPLER_SETTINGS
};
/// More than a request may have, late retries included.
const CRASHES: usize = 7;
const RESTART_MS: u64 = 200;
/// By when, after the last crash, an item has to be at an endpoint again.
const PLACED_WITHIN: Duration = Duration::from_secs(5);

/// Which run of the item is unlucky.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UnluckyRun {
    Sample,
    Score,
}

fn samplers_of(fleet: &Fleet, run: UnluckyRun) -> &[Sampler] {
    match run {
        UnluckyRun::Sample => &fleet.model_samplers,
        UnluckyRun::Score => &fleet.plain_samplers,
    }
}

/// Waits until the item runs once more, and returns where.
async fn next_run(samplers: &[Sampler], runs_before: usize, within: Duration) -> &Sampler {
    let deadline = Instant::now() + within;
    loop {
        let runs = samplers.iter().map(|sampler| sampler.all_runs().len());
        if runs.sum::<usize>() > runs_before {
            let last = samplers.iter().max_by_key(|sampler| {
                let runs = sampler.all_runs();
                runs.last().map(|run| run.at)
            });
            return last.expect("there are samplers");
        }
        assert!(
            Instant::now() < deadline,
            "not placed again after {runs_before} runs"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_is_placed_again_after_crashes_under_it(
    #[values(UnluckyRun::Sample, UnluckyRun::Score)] run: UnluckyRun,
) {
    let fleet = Fleet::start(2, SLOW).await;
    for sampler in samplers_of(&fleet, run) {
        sampler.set_restart_ms(RESTART_MS);
    }
    let body = Bytes::from(batch_body("b1", 1, 1).to_string());
    let callers = fleet.vms[0].addresses["callers"];
    let sent = fleet
        .call(Method::POST, callers, "/lots/b1", "b1", body)
        .await;
    assert_eq!(sent.expect("an answer").status, 200);
    let samplers = samplers_of(&fleet, run);
    for crash in 0..CRASHES {
        let sampler = next_run(samplers, crash, WAIT_TIMEOUT).await;
        // The item has begun to run.
        tokio::time::sleep(Duration::from_millis(60)).await;
        sampler.crash();
    }
    next_run(samplers, CRASHES, PLACED_WITHIN).await;
    let results: Vec<Value> = fleet.read_all_results(0, "b1", 1).await;
    fleet.assert_all_complete("b1", &results, 1, EVENTS);
}
