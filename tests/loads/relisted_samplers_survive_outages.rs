//! The platform is away for seconds; entries of living samplers lapse and come
//! back one by one, and some samplers start again under their identity.

use chicoryreach::core::pool::EndpointStage;

use super::support::{SERVICE, name, pool, record};

const BACK_MS: u64 = 60_000;
/// Within which living samplers are back, by the platform's promise.
const PROMISED_MS: u64 = 2_000;

#[test]
fn samplers_that_come_back_in_time_were_never_gone() {
    let mut pool = pool(6, 8, &[("lm", 3)]);
    pool.on_platform_back(BACK_MS);
    for number in 0..6 {
        pool.on_unlisted(BACK_MS + 10, &name(number));
    }
    assert_eq!(pool.of_service(SERVICE).count(), 6);
    for number in 0..5 {
        pool.on_listed(record(number, 8, &[("lm", 3)]));
    }
    assert!(pool.expire(BACK_MS + PROMISED_MS).is_empty());
    let gone = pool.expire(BACK_MS + PROMISED_MS + 500);
    assert_eq!(gone, [name(5)]);
    assert_eq!(pool.of_service(SERVICE).count(), 5);
}

#[test]
fn in_calm_times_an_unlisted_sampler_is_gone_at_once() {
    let mut pool = pool(2, 8, &[]);
    pool.on_platform_back(1_000);
    pool.on_unlisted(60_000, &name(1));
    assert!(pool.get(&name(1)).is_none());
}

#[test]
fn a_sampler_that_starts_again_has_a_clean_record() {
    let mut pool = pool(1, 8, &[("lm", 3)]);
    let known = pool.get_mut(&name(0)).expect("listed");
    known.on_failure(1_000);
    known.orders_accepted = Some(4);
    let mut reborn = record(0, 8, &[("lm", 2)]);
    reborn.started_unix_ms = 2;
    pool.on_listed(reborn);
    let known = pool.get(&name(0)).expect("listed");
    assert_eq!(known.orders_accepted, None);
    assert_eq!(
        (known.penalty_until_ms, known.weights_version("lm")),
        (0, 2)
    );
}

#[test]
fn a_list_that_lags_takes_no_weights_back() {
    let mut pool = pool(1, 8, &[("lm", 3)]);
    let known = pool.get_mut(&name(0)).expect("listed");
    known.record.weights.insert("lm".into(), 4);
    pool.on_listed(record(0, 8, &[("lm", 3)]));
    assert_eq!(pool.get(&name(0)).expect("listed").weights_version("lm"), 4);
}

#[test]
fn a_leaving_sampler_takes_nothing_new() {
    let mut pool = pool(1, 8, &[]);
    let mut leaving = record(0, 8, &[]);
    leaving.stage = EndpointStage::Leaving;
    pool.on_listed(leaving);
    assert!(!pool.has_ready_endpoint(SERVICE));
}
