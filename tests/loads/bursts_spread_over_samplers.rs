//! A step and callers come at once, and samplers fail or fill up on the way.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    pool::{EndpointRequirements, LoadReport},
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{SERVICE, name, pool};

const ENDPOINTS: usize = 11;
const SLOTS: u32 = 12;

fn wanted(avoid: &BTreeSet<Name>) -> EndpointRequirements<'_> {
    EndpointRequirements {
        service: SERVICE,
        data_centre: "dc-1",
        avoid,
        weights: None,
        max_occupancy: 1.0,
        connected: const { &BTreeSet::new() },
        slice: None,
    }
}

#[rstest]
fn a_burst_is_spread_and_fills_no_sampler_beyond_its_slots(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut pool = pool(ENDPOINTS, SLOTS, &[]);
    let none = BTreeSet::new();
    let mut placed = 0;
    while let Some(at) = pool.choose(0, &wanted(&none), &mut rng) {
        pool.get_mut(&at).expect("listed").load.in_flight += 1;
        placed += 1;
        if placed == 66 {
            let most = pool.all().map(|e| e.load.in_flight).max().expect("some");
            assert!(
                most <= 8,
                "{most} of 66 requests at one of {ENDPOINTS} samplers"
            );
        }
    }
    // A few drawn samplers may all be full while others are not.
    assert!(
        placed >= ENDPOINTS * 12 * 8 / 10,
        "only {placed} were placed"
    );
    assert!(pool.all().all(|endpoint| endpoint.load.in_flight <= SLOTS));
}

#[test]
fn what_others_sent_counts_while_the_report_is_fresh() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = pool(2, SLOTS, &[]);
    let busy = LoadReport {
        running: SLOTS,
        waiting: 3,
        slots: SLOTS,
    };
    pool.get_mut(&name(0))
        .expect("listed")
        .load
        .on_report(1_000, busy);
    let none = BTreeSet::new();
    for _ in 0..20 {
        let at = pool.choose(1_500, &wanted(&none), &mut rng);
        assert_eq!(at, Some(name(1)));
    }
    let others = BTreeSet::from([name(1)]);
    assert_eq!(pool.choose(1_500, &wanted(&others), &mut rng), None);
    let at = pool.choose(2_500, &wanted(&others), &mut rng);
    assert_eq!(at, Some(name(0)), "the report is too old to count");
}

#[test]
fn a_failing_sampler_is_passed_over_unless_no_other_is_left() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = pool(2, SLOTS, &[]);
    pool.get_mut(&name(0)).expect("listed").on_failure(1_000);
    let none = BTreeSet::new();
    for _ in 0..20 {
        assert_eq!(pool.choose(1_100, &wanted(&none), &mut rng), Some(name(1)));
    }
    let others = BTreeSet::from([name(1)]);
    assert_eq!(
        pool.choose(1_100, &wanted(&others), &mut rng),
        Some(name(0))
    );
}
