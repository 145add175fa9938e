//! Guards against samplers that get more requests, over all VMs, than the limit that
//! their answers name.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use chicoryreach::daemon::HttpClient;
use hyper::Method;
use rstest::rstest;
use rustix::process::Signal;
use standins::fleet::Sampler;

use crate::fleet::{Fleet, SAMPLER_SETTINGS, call};

/// The users' bounds: a sampler may get one and a half times its limit and five more
/// requests within each window, from `CONTACT` after it first named the limit.
const WINDOW: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);
const MAX_FACTOR: f64 = 1.5;
const MAX_MORE: f64 = 5.0;

/// What happens to VMs while samplers are limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// A VM is killed and started again.
    Kill,
    /// A VM is stopped for longer than the others wait for it.
    Freeze,
    /// A VM shuts down and is started again.
    Term,
    /// A VM that has never heard of the limits joins.
    Join,
    /// The store does not answer for a while.
    StoreDown,
}

/// Returns the most requests that arrived within a window that began after a time.
fn most_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let late: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        let end = *start + WINDOW;
        late.iter().filter(|at| *at >= start && **at < end).count()
    };
    late.iter().map(in_window).max().unwrap_or(0)
}

fn caller_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let addresses = fleet.vms.iter().map(|vm| vm.addresses["callers"]);
    addresses.collect()
}

/// Sends callers' requests to VMs in turn, at a steady rate; returns how many were
/// answered with each status, 0 for no answer.
async fn send_requests(
    vms: Vec<SocketAddr>,
    name: &str,
    per_s: u32,
    for_s: u32,
) -> BTreeMap<u16, usize> {
    let http = HttpClient::new();
    let http = &http;
    let sends = (0..per_s * for_s).map(|number| {
        let address = vms[number as usize % vms.len()];
        async move {
            tokio::time::sleep(Duration::from_secs(1) * number / per_s).await;
            let id = format!("{name}-{number}");
            let body = Bytes::from(id.clone());
            let answer = call(http, Method::POST, address, "/slips/1", &id, body);
            answer.await.map_or(0, |answer| answer.status)
        }
    });
    let mut counts = BTreeMap::new();
    for status in futures_util::future::join_all(sends).await {
        *counts.entry(status).or_default() += 1;
    }
    counts
}

fn assert_limit_kept(sampler: &Sampler, limit_per_s: f64, from: Instant) {
    let most = most_in_window(&sampler.arrivals(), from);
    let allowed = limit_per_s * WINDOW.as_secs_f64() * MAX_FACTOR + MAX_MORE;
    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    let most = most as f64;
    assert!(
        most <= allowed,
        "{}: {most} requests in {WINDOW:?}, {allowed} are allowed",
        sampler.id
    );
}

/// Returns what each VM counts of requests to limited samplers, by purpose.
async fn limited_requests(fleet: &Fleet) -> Vec<String> {
    let mut lines = Vec::new();
    for vm in &fleet.vms {
        let metrics = fleet.get(vm.addresses["metrics"], "/metrics", "metrics");
        let metrics = metrics.await.map(|answer| answer.body).unwrap_or_default();
        let text = String::from_utf8_lossy(&metrics).into_owned();
        let counts = text
            .lines()
            .filter(|line| line.contains("limited_requests_total{"));
        lines.push(format!(
            "{}: {}",
            vm.name,
            counts.collect::<Vec<_>>().join(" ")
        ));
    }
    lines
}

/// The least share of its limit that a sampler gets while more is asked.
const MIN_USE: f64 = 0.7;

fn assert_limit_used(sampler: &Sampler, limit_per_s: f64, since: Instant) {
    let arrivals = sampler.arrivals();
    let count = arrivals.iter().filter(|at| **at >= since).count();
    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    let used = count as f64 / WINDOW.as_secs_f64() / limit_per_s;
    assert!(used >= MIN_USE, "{}: {used:.2} of its limit", sampler.id);
}

async fn disturb(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::None => {}
        Fault::Kill => {
            fleet.signal(1, Signal::KILL);
            tokio::time::sleep(Duration::from_millis(500)).await;
            fleet.restart(1).await;
        }
        Fault::Freeze => {
            fleet.signal(1, Signal::STOP);
            tokio::time::sleep(Duration::from_millis(4_500)).await;
            fleet.signal(1, Signal::CONT);
        }
        Fault::Term => {
            fleet.signal(1, Signal::TERM);
            while fleet.is_running(1) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            fleet.restart(1).await;
        }
        Fault::Join => fleet.restart(3).await,
        Fault::StoreDown => {
            fleet.store.refuse_vms(0..fleet.vms.len());
            tokio::time::sleep(Duration::from_secs(5)).await;
            fleet.store.refuse_vms([]);
        }
    }
}

/// Guards against limits that each VM keeps, or none at all, so that a sampler in need
/// gets the sum: while VMs are killed, frozen, stopped, started or new, and during an
/// outage of the store.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limited_samplers_get_no_more_than_their_limit_from_all_vms(
    #[values(
        Fault::None,
        Fault::Kill,
        Fault::Freeze,
        Fault::Term,
        Fault::Join,
        Fault::StoreDown
    )]
    fault: Fault,
) {
    const LIMIT_PER_S: f64 = 3.0;
    let mut fleet = Fleet::start(4, SAMPLER_SETTINGS).await;
    if fault == Fault::Join {
        fleet.signal(3, Signal::KILL);
    }
    let started = Instant::now();
    for sampler in &fleet.plain_samplers {
        sampler.name_limit(Some("3.0"));
    }
    let addresses = caller_addresses(&fleet);
    send_requests(addresses.clone(), "before", 30, 4).await;
    fleet.submit_batch(0, "b1", 60, 1).await;
    let sending = send_requests(addresses, "meanwhile", 30, 6);
    tokio::join!(sending, disturb(&mut fleet, fault));
    send_requests(caller_addresses(&fleet), "after", 30, 6).await;
    println!("{:#?}", limited_requests(&fleet).await);
    if fault == Fault::None {
        let since = Instant::now()
            .checked_sub(WINDOW)
            .expect("it runs for longer");
        for sampler in &fleet.plain_samplers {
            assert_limit_used(sampler, LIMIT_PER_S, since);
        }
    }
    for sampler in &fleet.plain_samplers {
        assert_limit_kept(sampler, LIMIT_PER_S, started + CONTACT);
    }
}

/// The longest time after which a request that cannot be served is refused.
const MAX_REFUSAL: Duration = Duration::from_secs(1);

/// Guards against requests that are held although no sampler may take them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_beyond_all_limits_are_refused_at_once() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    for sampler in &fleet.plain_samplers {
        sampler.name_limit(Some("1"));
    }
    let vms = caller_addresses(&fleet);
    send_requests(vms.clone(), "before", 10, 2).await;
    let http = HttpClient::new();
    let mut refused = 0;
    for number in 0..40 {
        let sent = Instant::now();
        let (vm, id) = (vms[number % vms.len()], format!("then-{number}"));
        let answer = call(&http, Method::POST, vm, "/slips/1", &id, Bytes::new()).await;
        match answer.map(|answer| answer.status) {
            Some(200) => {}
            Some(429) => {
                refused += 1;
                assert!(sent.elapsed() < MAX_REFUSAL, "{:?}", sent.elapsed());
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(refused > 20, "only {refused} refused");
}

/// Guards against a sampler that is taken for limited, or no longer limited, since its
/// answers name something that is not a positive number.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_that_is_no_positive_number_changes_nothing(
    #[values("0", "-1", "many", "nan", "inf", "")] stated: &str,
) {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    let name = |limit: Option<&str>| {
        for sampler in &fleet.plain_samplers {
            sampler.name_limit(limit);
        }
    };
    let vms = caller_addresses(&fleet);
    name(Some(stated));
    let counts = send_requests(vms.clone(), "unlimited", 20, 2).await;
    assert_eq!(counts, BTreeMap::from([(200, 40)]));
    name(Some("1.0"));
    send_requests(vms.clone(), "limited", 20, 2).await;
    name(Some(stated));
    let counts = send_requests(vms, "still-limited", 20, 2).await;
    let served = counts.get(&200).copied().unwrap_or(0);
    assert!(served <= 20, "{counts:?}");
}

/// Guards against a sampler that stays limited after its answers name no limit any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_ends_with_the_first_answer_that_names_none() {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    let name = |limit: Option<&str>| {
        for sampler in &fleet.plain_samplers {
            sampler.name_limit(limit);
        }
    };
    let vms = caller_addresses(&fleet);
    name(Some("2"));
    send_requests(vms.clone(), "limited", 10, 2).await;
    name(None);
    send_requests(vms.clone(), "lifting", 2, 3).await;
    let counts = send_requests(vms, "unlimited", 20, 2).await;
    assert_eq!(counts, BTreeMap::from([(200, 40)]));
}
