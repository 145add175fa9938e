//! Guards against callers of VMs that reach no endpoint being served worse than the others.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::{LinkState, Sampler, SamplerSettings};

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT};

/// From how long after a cut the users' bound holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Of ten tries that other VMs serve, a cut VM has to serve this many at least.
const MIN_SERVED_OF_TEN: usize = 7;
const MOST: [&str; 4] = ["dc-1", "dc-1", "dc-1", "dc-1"];
const BY_DATA_CENTRE: [&str; 4] = ["dc-1", "dc-1", "dc-1", "dc-2"];
/// The VMs that are cut off: most of them, and all of the first data centre.
const CUT_VMS: [usize; 3] = [0, 1, 2];
const CALLS_PER_VM: usize = 20;
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// What callers ask for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Repeatable,
    AtMostOnce,
    Stream,
}

impl Kind {
    const fn prefix(self) -> &'static str {
        match self {
            Self::Repeatable => "/slips/",
            Self::AtMostOnce => "/bookings/",
            Self::Stream => "/chats/",
        }
    }

    fn is_whole(self, path: &str, id: &str, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body);
        match self {
            Self::Repeatable | Self::AtMostOnce => text == format!("POST {path} 4 bytes"),
            Self::Stream => (1..=SAMPLER_SETTINGS.events)
                .all(|number| text.matches(&format!("{id} event {number}\n")).count() == 1),
        }
    }
}

fn cut(fleet: &Fleet, state: LinkState) {
    for vm in CUT_VMS {
        fleet.set_links(vm, state);
    }
}

/// Sends requests to a VM one after the other; returns how many were served at the first
/// try.
async fn count_served(fleet: &Fleet, vm: usize, kind: Kind, round: &str) -> usize {
    let callers = fleet.vms[vm].addresses["callers"];
    let calls = (0..CALLS_PER_VM).map(|number| async move {
        tokio::time::sleep(CALL_INTERVAL * u32::try_from(number).expect("few")).await;
        let id = format!("{round}-{kind:?}-{vm}-{number}");
        let path = format!("{}{number}", kind.prefix());
        let body = Bytes::from_static(b"body");
        let answer = fleet.call(Method::POST, callers, &path, &id, body).await;
        let Some(answer) = answer.filter(|answer| answer.status == 200) else {
            return false;
        };
        assert!(
            kind.is_whole(&path, &id, &answer.body),
            "{id}: {:?}",
            answer.body
        );
        true
    });
    let served = join_all(calls).await;
    served.into_iter().filter(|is_served| *is_served).count()
}

fn assert_no_run_is_repeated(fleet: &Fleet, kind: Kind) {
    let samplers = fleet.plain_samplers.iter().chain(&fleet.model_samplers);
    let mut ids: Vec<String> = samplers.flat_map(Sampler::run_request_ids).collect();
    ids.retain(|id| id.contains(&format!("{kind:?}")));
    let runs = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), runs, "requests ran twice");
}

/// RECOVER: callers of VMs that are cut off from all endpoints get answers as the others do.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_vms_serve_first_tries(
    #[values(LinkState::Silent, LinkState::Reset, LinkState::HalfOpen)] form: LinkState,
    #[values(Kind::Repeatable, Kind::AtMostOnce, Kind::Stream)] kind: Kind,
    #[values(MOST, BY_DATA_CENTRE)] data_centres: [&str; 4],
) {
    let fleet = Fleet::start_linked(&data_centres, SAMPLER_SETTINGS).await;
    let before = join_all((0..4).map(|vm| count_served(&fleet, vm, kind, "before"))).await;
    assert_eq!(before, [CALLS_PER_VM; 4], "served before the cut");
    cut(&fleet, form);
    tokio::time::sleep(CONTACT).await;
    let served = join_all((0..4).map(|vm| count_served(&fleet, vm, kind, "during"))).await;
    let least = CUT_VMS.map(|vm| served[vm]).into_iter().min();
    let bound = served[3] * MIN_SERVED_OF_TEN / 10;
    assert!(served[3] > 0 && least >= Some(bound), "served: {served:?}");
    if kind == Kind::AtMostOnce {
        assert_no_run_is_repeated(&fleet, kind);
    }
}

/// RECOVER: a batch that cut-off VMs accept and own is complete in its usual time.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_vms_complete_batches(
    #[values(LinkState::Silent, LinkState::Reset, LinkState::HalfOpen)] form: LinkState,
) {
    const SAMPLES: usize = 96;
    const TARGET: Duration = Duration::from_millis(7_500);
    let fleet = Fleet::start_linked(&MOST, SAMPLER_SETTINGS).await;
    fleet.submit_batch(0, "before", SAMPLES, 1).await;
    cut(&fleet, form);
    tokio::time::sleep(CONTACT).await;
    fleet.submit_batch(0, "during", SAMPLES, 1).await;
    for batch in ["before", "during"] {
        let results = fleet.read_all_results(1, batch, SAMPLES);
        let results = tokio::time::timeout(TARGET, results).await;
        let results = results.expect("the batch is complete in time");
        fleet.assert_all_complete(batch, &results, SAMPLES, SAMPLER_SETTINGS.events);
    }
}

async fn crash_count(fleet: &Fleet) -> u64 {
    let mut count = 0;
    for vm in &fleet.vms {
        let answer = fleet
            .get(vm.addresses["metrics"], "/metrics", "metrics")
            .await;
        let text = answer.expect("an answer").body;
        let text = String::from_utf8_lossy(&text).into_owned();
        let line = text.lines().find_map(|line| {
            let value = line.strip_prefix("chicoryreach_endpoint_crashes_total ")?;
            value.parse::<u64>().ok()
        });
        count += line.expect("the counter is there");
    }
    count
}

/// RECOVER: VMs that reach nothing themselves count no endpoint as crashed.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_vms_report_no_crashes(
    #[values(LinkState::Silent, LinkState::Reset, LinkState::HalfOpen)] form: LinkState,
) {
    let settings = SamplerSettings {
        work_ms: 300,
        events: 60,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start_linked(&MOST, settings).await;
    fleet.submit_batch(0, "b1", 96, 1).await;
    let calls = async {
        // Requests are in progress when the cut begins.
        join_all((0..4).map(|vm| count_served(&fleet, vm, Kind::Repeatable, "cut"))).await;
        join_all((0..4).map(|vm| count_served(&fleet, vm, Kind::AtMostOnce, "cut"))).await;
    };
    let cutting = async {
        tokio::time::sleep(10 * CALL_INTERVAL).await;
        cut(&fleet, form);
        tokio::time::sleep(CONTACT).await;
    };
    futures_util::future::join(calls, cutting).await;
    assert_eq!(crash_count(&fleet).await, 0, "no endpoint has crashed");
}

/// RECOVER: endpoints are ordered to load weights although the VM that orders them is cut off, and
/// from one VM at a time.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_go_on_from_a_vm_that_reaches_endpoints(
    #[values(LinkState::Silent, LinkState::Reset)] form: LinkState,
) {
    let fleet = Fleet::start_linked(&MOST, SAMPLER_SETTINGS).await;
    let name_version = |version: u64| {
        let body = json!({"model": "advice", "version": version}).to_string();
        fleet.store.with_store(|store| {
            use base64::{Engine as _, engine::general_purpose::STANDARD};
            store.put("op", "version/advice", STANDARD.encode(body));
        });
    };
    name_version(2);
    let holder = wait_for_orders(&fleet, 2).await;
    let leader = fleet
        .vms
        .iter()
        .position(|vm| holder.iter().all(|h| *h == *vm.name));
    let leader = leader.expect("one VM gives all orders");
    for vm in (0..4).filter(|vm| *vm != (leader + 1) % 4) {
        fleet.set_links(vm, form);
    }
    tokio::time::sleep(CONTACT).await;
    name_version(3);
    name_version(4);
    let holders = wait_for_orders(&fleet, 4).await;
    let reaching = &fleet.vms[(leader + 1) % 4].name;
    assert!(
        holders.iter().all(|holder| holder == reaching),
        "{holders:?}"
    );
}

/// GONE: a stream ends at its sampler when its caller leaves, also through another VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_callers_that_leave_end_behind_the_other_vm() {
    const LONG: SamplerSettings = SamplerSettings {
        events: 400,
        ..SAMPLER_SETTINGS
    };
    const BOUND: Duration = Duration::from_millis(500);
    let fleet = Fleet::start_linked(&MOST, LONG).await;
    cut(&fleet, LinkState::Reset);
    let callers = fleet.vms[0].addresses["callers"];
    let calls = (0..8).map(|number| {
        let fleet = &fleet;
        async move {
            let id = format!("left-{number}");
            let answer = fleet.call(Method::POST, callers, "/chats/1", &id, Bytes::new());
            // The caller closes its connection then.
            let _ = tokio::time::timeout(2 * BOUND, answer).await;
        }
    });
    join_all(calls).await;
    let active = || -> u32 {
        fleet
            .model_samplers
            .iter()
            .map(Sampler::active_streams)
            .sum()
    };
    tokio::time::sleep(BOUND).await;
    assert_eq!(active(), 0, "samplers still work");
    let runs = fleet
        .model_samplers
        .iter()
        .flat_map(Sampler::all_runs)
        .count();
    assert_eq!(runs, 8, "each stream has begun once");
}

/// RECOVER: a VM sends requests to endpoints itself again soon after a cut has healed.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healed_vms_send_requests_themselves(
    #[values(LinkState::Silent, LinkState::Reset, LinkState::HalfOpen)] form: LinkState,
) {
    const HEALED: Duration = Duration::from_secs(2);
    let fleet = Fleet::start_linked(&MOST, SAMPLER_SETTINGS).await;
    cut(&fleet, form);
    let served = count_served(&fleet, 0, Kind::Repeatable, "during").await;
    assert!(served >= CALLS_PER_VM * MIN_SERVED_OF_TEN / 10, "{served}");
    cut(&fleet, LinkState::Open);
    tokio::time::sleep(HEALED).await;
    let relayed = || {
        fleet.vms[0]
            .log_text()
            .matches("goes through another VM")
            .count()
    };
    let before = relayed();
    let served = count_served(&fleet, 0, Kind::Repeatable, "after").await;
    assert_eq!((served, relayed()), (CALLS_PER_VM, before));
}

/// Waits until a model sampler was ordered to load a version; returns who ordered that.
async fn wait_for_orders(fleet: &Fleet, version: u64) -> Vec<String> {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT / 3;
    loop {
        let orders = fleet
            .model_samplers
            .iter()
            .flat_map(Sampler::accepted_orders);
        let holders = orders
            .filter(|order| order["version"] == version)
            .filter_map(|order: Value| Some(order["holder"].as_str()?.to_owned()));
        let holders: Vec<String> = holders.collect();
        if !holders.is_empty() {
            return holders;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "nobody has ordered version {version}"
        );
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}
