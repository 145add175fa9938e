//! Guards against removing running samplers after an outage of the platform.
//!
//! The platform is unreachable for seconds. The entries of running samplers
//! expire and are listed again one by one, and some samplers restart under the
//! same id.

use chicoryreach::core::pool::EndpointStage;

use super::support::{SERVICE, endpoint_name, endpoint_record, pool};

const OUTAGE_END_MS: u64 = 60_000;
/// The time within which the platform promises to list running samplers again.
const RELIST_TIMEOUT_MS: u64 = 2_000;

#[test]
fn samplers_relisted_in_time_after_an_outage_are_kept() {
    let mut pool = pool(6, 8, &[("lm", 3)]);
    pool.on_platform_back(OUTAGE_END_MS);
    for number in 0..6 {
        pool.on_unlisted(OUTAGE_END_MS + 10, &endpoint_name(number));
    }
    assert_eq!(pool.of_service(SERVICE).count(), 6);
    for number in 0..5 {
        pool.on_listed(endpoint_record(number, 8, &[("lm", 3)]));
    }
    assert!(pool.expire(OUTAGE_END_MS + RELIST_TIMEOUT_MS).is_empty());
    let expired = pool.expire(OUTAGE_END_MS + RELIST_TIMEOUT_MS + 500);
    let expired: Vec<_> = expired.iter().map(|e| e.record.id.clone()).collect();
    assert_eq!(expired, [endpoint_name(5)]);
    assert_eq!(pool.of_service(SERVICE).count(), 5);
}

#[test]
fn an_unlisted_sampler_is_removed_at_once_long_after_an_outage() {
    let mut pool = pool(2, 8, &[]);
    pool.on_platform_back(1_000);
    pool.on_unlisted(60_000, &endpoint_name(1));
    assert!(pool.get(&endpoint_name(1)).is_none());
}

#[test]
fn a_restarted_sampler_loses_its_penalty_and_order_count() {
    let mut pool = pool(1, 8, &[("lm", 3)]);
    let endpoint = pool.get_mut(&endpoint_name(0)).expect("listed");
    endpoint.on_failure(1_000);
    endpoint.orders_accepted = Some(4);
    let mut restarted = endpoint_record(0, 8, &[("lm", 2)]);
    restarted.started_unix_ms = 2;
    pool.on_listed(restarted);
    let endpoint = pool.get(&endpoint_name(0)).expect("listed");
    assert_eq!(endpoint.orders_accepted, None);
    assert_eq!(
        (endpoint.penalty_until_ms, endpoint.weights_version("lm")),
        (0, 2)
    );
}

#[test]
fn an_outdated_list_does_not_lower_the_weights_version() {
    let mut pool = pool(1, 8, &[("lm", 3)]);
    let endpoint = pool.get_mut(&endpoint_name(0)).expect("listed");
    endpoint.record.weights.insert("lm".into(), 4);
    pool.on_listed(endpoint_record(0, 8, &[("lm", 3)]));
    assert_eq!(
        pool.get(&endpoint_name(0))
            .expect("listed")
            .weights_version("lm"),
        4
    );
}

#[test]
fn a_leaving_sampler_is_not_ready() {
    let mut pool = pool(1, 8, &[]);
    let mut leaving = endpoint_record(0, 8, &[]);
    leaving.stage = EndpointStage::Leaving;
    pool.on_listed(leaving);
    assert!(!pool.has_ready_endpoint(SERVICE));
}
