//! Guards against requests that reach a sampler although its answers have said that it
//! is about to leave. Its entry in the store says nothing of it.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use serde_json::json;
use standins::fleet::{AnswerFault, RowStore, Sampler, SamplerSettings};

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT};

/// The users' bound: how long after such an answer requests may still reach the
/// sampler.
const DRAIN: Duration = Duration::from_secs(2);

/// The way of a VM to the sampler on which the sampler says that it leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Caller,
    CallerError,
    CallerRefusal,
    Sample,
    Score,
    Order,
}

impl Way {
    /// Returns the sampler that leaves.
    fn sampler(self, fleet: &Fleet) -> &Sampler {
        match self {
            Self::Sample | Self::Order => &fleet.model_samplers[0],
            Self::Caller | Self::CallerError | Self::CallerRefusal | Self::Score => {
                &fleet.plain_samplers[0]
            }
        }
    }
}

const SEND_INTERVAL: Duration = Duration::from_millis(10);

async fn send_requests(fleet: &Fleet, name: &str, interval: Duration) {
    let callers = fleet.vms[0].addresses["callers"];
    let sends = (0..40).map(|number| async move {
        tokio::time::sleep(number * interval).await;
        let id = format!("{name}-{number}");
        let answer = fleet.call(Method::POST, callers, "/slips/1", &id, Bytes::new());
        answer.await.map(|answer| answer.status)
    });
    let statuses = futures_util::future::join_all(sends).await;
    assert!(statuses.iter().all(Option::is_some));
}

async fn run_batch(fleet: &Fleet, batch: &str) {
    const SAMPLES: usize = 24;
    fleet.submit_batch(0, batch, SAMPLES, 1).await;
    fleet.read_all_results(0, batch, SAMPLES).await;
}

/// Lets the VM hear from the sampler on one way only.
async fn hear_from(fleet: &Fleet, way: Way) {
    let sampler = way.sampler(fleet);
    match way {
        Way::CallerError => {
            for number in 0..40 {
                sampler.fail_request(&format!("before-{number}"));
            }
            send_requests(fleet, "before", SEND_INTERVAL).await;
        }
        Way::CallerRefusal => {
            sampler.inject_answer_faults(AnswerFault::Refused, 40);
            send_requests(fleet, "before", SEND_INTERVAL).await;
            sampler.clear_answer_faults();
        }
        Way::Caller => send_requests(fleet, "before", SEND_INTERVAL).await,
        Way::Sample | Way::Score => run_batch(fleet, "b1").await,
        Way::Order => {
            let version = json!({"model": "advice", "version": 2}).to_string();
            let version = STANDARD.encode(version);
            let name = |store: &mut RowStore| store.put("op", "version/advice", version);
            fleet.store.with_store(name);
            let deadline = Instant::now() + WAIT_TIMEOUT;
            while sampler.accepted_orders().is_empty() {
                assert!(Instant::now() < deadline, "no order arrives");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Guards against a VM that goes on sending to a sampler that leaves, whichever answer
/// said so, and although its entry is written again as ready.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sampler_that_says_that_it_leaves_gets_no_more_requests(
    #[values(
        Way::Caller,
        Way::CallerError,
        Way::CallerRefusal,
        Way::Sample,
        Way::Score,
        Way::Order
    )]
    way: Way,
) {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    let sampler = way.sampler(&fleet);
    sampler.announce_leaving();
    hear_from(&fleet, way).await;
    sampler.register_again();
    let bound = Instant::now() + DRAIN;
    tokio::time::sleep_until(bound.into()).await;
    send_requests(&fleet, "after", SEND_INTERVAL).await;
    run_batch(&fleet, "b2").await;
    let late = sampler.runs_after(bound);
    assert!(
        late.is_empty(),
        "{way:?}: {} late runs: {:?}",
        late.len(),
        late[0]
    );
}

/// Guards against a sampler that counts as crashed when it closes its connections after
/// it has said that it leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sampler_that_leaves_has_not_crashed() {
    let slow = SamplerSettings {
        work_ms: 400,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start(1, slow).await;
    let sampler = &fleet.plain_samplers[0];
    let running = send_requests(&fleet, "running", Duration::ZERO);
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        sampler.announce_leaving();
        sampler.inject_answer_faults(AnswerFault::Refused, 40);
        let refused = send_requests(&fleet, "refused", Duration::ZERO);
        let crash = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            sampler.crash();
        };
        futures_util::future::join(refused, crash).await;
    };
    futures_util::future::join(running, leave).await;
    tokio::time::sleep(DRAIN).await;
    let metrics = fleet.vms[0].addresses["metrics"];
    let metrics = fleet.get(metrics, "/metrics", "metrics").await;
    let metrics = metrics.expect("an answer").body;
    let text = String::from_utf8_lossy(&metrics);
    assert!(text.contains("endpoint_crashes_total 0\n"), "{text}");
}

/// Guards against a sampler that gets no requests any more after it has left and
/// started again under the same id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sampler_that_starts_again_gets_requests() {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    let sampler = &fleet.plain_samplers[0];
    sampler.announce_leaving();
    send_requests(&fleet, "before", SEND_INTERVAL).await;
    sampler.set_restart_ms(200);
    sampler.crash();
    tokio::time::sleep(DRAIN).await;
    let restarted = Instant::now();
    // More than the other two samplers can run at once.
    send_requests(&fleet, "after", Duration::ZERO).await;
    assert!(!sampler.runs_after(restarted).is_empty());
}
