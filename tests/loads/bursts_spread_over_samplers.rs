//! Guards against bursts of requests that overload some samplers.
//!
//! A step and callers send requests at the same time, and samplers fail or
//! become full meanwhile.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    pool::{EndpointRequirements, LoadReport},
    rate_limit::Purpose,
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{SERVICE, endpoint_name, pool};

const ENDPOINTS: usize = 11;
const SLOTS: u32 = 12;

fn requirements(avoid: &BTreeSet<Name>) -> EndpointRequirements<'_> {
    EndpointRequirements {
        service: SERVICE,
        data_centre: "dc-1",
        avoid,
        weights: None,
        max_occupancy: 1.0,
        connected: const { &BTreeSet::new() },
        software: None,
        purpose: Purpose::Sample,
        length_weight: 0.0,
        slice: None,
    }
}

#[rstest]
fn a_burst_is_spread_and_no_sampler_exceeds_its_slots(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut pool = pool(ENDPOINTS, SLOTS, &[]);
    let none = BTreeSet::new();
    let mut assigned = 0;
    while let Some(chosen) = pool.choose(0, &requirements(&none), &mut rng) {
        pool.get_mut(&chosen).expect("listed").load.in_flight += 1;
        assigned += 1;
        if assigned == 66 {
            let max_in_flight = pool.all().map(|e| e.load.in_flight).max().expect("some");
            assert!(
                max_in_flight <= 8,
                "{max_in_flight} of 66 requests are at one of {ENDPOINTS} samplers"
            );
        }
    }
    // The samplers drawn for a request may all be full while others are not.
    assert!(
        assigned >= ENDPOINTS * 12 * 8 / 10,
        "only {assigned} requests were assigned"
    );
    assert!(pool.all().all(|endpoint| endpoint.load.in_flight <= SLOTS));
}

#[test]
fn requests_of_other_vms_count_until_the_load_report_expires() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = pool(2, SLOTS, &[]);
    let busy = LoadReport {
        running: SLOTS,
        waiting: 3,
        slots: SLOTS,
    };
    pool.get_mut(&endpoint_name(0))
        .expect("listed")
        .load
        .on_report(1_000, busy);
    let none = BTreeSet::new();
    for _ in 0..20 {
        let chosen = pool.choose(1_500, &requirements(&none), &mut rng);
        assert_eq!(chosen, Some(endpoint_name(1)));
    }
    let others = BTreeSet::from([endpoint_name(1)]);
    assert_eq!(pool.choose(1_500, &requirements(&others), &mut rng), None);
    let chosen = pool.choose(2_500, &requirements(&others), &mut rng);
    assert_eq!(
        chosen,
        Some(endpoint_name(0)),
        "the report is too old to count"
    );
}

#[test]
fn a_failing_sampler_is_chosen_only_if_no_other_is_left() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = pool(2, SLOTS, &[]);
    pool.get_mut(&endpoint_name(0))
        .expect("listed")
        .on_failure(1_000);
    let none = BTreeSet::new();
    for _ in 0..20 {
        assert_eq!(
            pool.choose(1_100, &requirements(&none), &mut rng),
            Some(endpoint_name(1))
        );
    }
    let others = BTreeSet::from([endpoint_name(1)]);
    assert_eq!(
        pool.choose(1_100, &requirements(&others), &mut rng),
        Some(endpoint_name(0))
    );
}
