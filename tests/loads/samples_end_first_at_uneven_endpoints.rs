//! Guards against placement that counts requests only: work that is sent to endpoints of
//! lasting speeds 0.6, 1.0 and 1.6, some of whose machines are slow for a moment.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::core::{
    Name,
    pool::{EndpointRequirements, EndpointSlice, Pool},
    rate_limit::Purpose,
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{SERVICE, endpoint_name, pool};

const NOW_MS: u64 = 100_000;
const TYPICAL_MS: f64 = 50.0;

fn choose(pool: &Pool, now_ms: u64, sample_weight: Option<f64>, seed: u64) -> Name {
    let slice = EndpointSlice {
        share: 0,
        share_count: 1,
    };
    let requirements = EndpointRequirements {
        service: SERVICE,
        data_centre: "dc-other",
        avoid: &BTreeSet::new(),
        weights: None,
        max_occupancy: 1.0,
        connected: &BTreeSet::new(),
        software: None,
        purpose: Purpose::Sample,
        length_weight: sample_weight.unwrap_or(0.0),
        slice: sample_weight.map(|_| slice),
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    pool.choose(now_ms, &requirements, &mut rng)
        .expect("a slot is free")
}

/// Returns a pool whose paces were measured at a time.
fn pool_of_speeds(speeds: &[f64], measured_ms: u64) -> Pool {
    let mut pool = pool(speeds.len(), 8, &[]);
    for (number, speed) in speeds.iter().enumerate() {
        let endpoint = pool.get_mut(&endpoint_name(number)).expect("listed");
        endpoint.on_measured_pace(measured_ms - 1_000, measured_ms, TYPICAL_MS / speed);
    }
    pool
}

fn report(pool: &mut Pool, number: usize, percent: u32) {
    let endpoint = pool.get_mut(&endpoint_name(number)).expect("listed");
    endpoint.slowdowns.on_report(NOW_MS, percent);
}

#[test]
fn a_short_request_avoids_a_machine_that_is_slow_now() {
    let mut pool = pool_of_speeds(&[1.0, 1.0], NOW_MS);
    report(&mut pool, 0, 250);
    for seed in 0..20 {
        assert_eq!(choose(&pool, NOW_MS, None, seed), endpoint_name(1));
    }
}

#[test]
fn a_long_sample_goes_to_the_fast_endpoint_though_it_is_slow_for_a_moment() {
    let mut pool = pool_of_speeds(&[1.6, 1.0, 1.0, 0.6], NOW_MS);
    report(&mut pool, 0, 250);
    assert_eq!(choose(&pool, NOW_MS, Some(1.0), 1), endpoint_name(0));
    // Among alike endpoints, the one that is slow now is left to others.
    let mut alike = pool_of_speeds(&[1.0, 1.0], NOW_MS);
    report(&mut alike, 0, 250);
    assert_eq!(choose(&alike, NOW_MS, Some(1.0), 1), endpoint_name(1));
}

#[test]
fn if_all_are_slow_alike_the_choice_is_as_if_none_is() {
    let speeds = [0.6, 1.0, 1.6, 1.0, 0.6, 1.6];
    let usual = pool_of_speeds(&speeds, NOW_MS);
    let mut slow_now = pool_of_speeds(&speeds, NOW_MS);
    (0..speeds.len()).for_each(|number| report(&mut slow_now, number, 250));
    let lastingly_slow = pool_of_speeds(&speeds.map(|speed| speed / 3.0), NOW_MS);
    for seed in 0..50 {
        for weight in [None, Some(0.0), Some(0.4), Some(1.0)] {
            let chosen = choose(&usual, NOW_MS, weight, seed);
            assert_eq!(choose(&slow_now, NOW_MS, weight, seed), chosen);
            assert_eq!(choose(&lastingly_slow, NOW_MS, weight, seed), chosen);
        }
    }
}

#[test]
fn a_slow_endpoint_gets_less_and_not_nothing() {
    let mut pool = pool_of_speeds(&[0.6, 1.0, 1.6], NOW_MS);
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for sample in 0..20 {
        let chosen = choose(&pool, NOW_MS, Some(0.2), sample);
        pool.get_mut(&chosen).expect("listed").load.in_flight += 1;
        *counts.entry(chosen).or_default() += 1;
    }
    let counts: Vec<u32> = counts.into_values().collect();
    println!("20 samples at speeds 0.6, 1.0 and 1.6: {counts:?}");
    assert!(counts.len() == 3 && counts.is_sorted(), "{counts:?}");
}

/// Guards against endpoints that were slow once and are never measured again although the
/// speeds of their machines change, and against choices that change where none do.
#[rstest]
fn an_endpoint_that_was_slow_long_ago_is_tried_again_if_speeds_change(
    #[values(true, false)] reports_slowdowns: bool,
) {
    let mut pool = pool_of_speeds(&[0.3, 1.0, 1.0], NOW_MS);
    if reports_slowdowns {
        report(&mut pool, 2, 100);
    }
    let is_tried = |pool: &Pool, now_ms| {
        let chosen = |seed| choose(pool, now_ms, Some(0.5), seed);
        (0..50).any(|seed| chosen(seed) == endpoint_name(0))
    };
    for number in 1..3 {
        pool.get_mut(&endpoint_name(number))
            .expect("listed")
            .load
            .in_flight = 1;
    }
    assert!(!is_tried(&pool, NOW_MS + 4_000));
    for number in 1..3 {
        let endpoint = pool.get_mut(&endpoint_name(number)).expect("listed");
        endpoint.on_measured_pace(NOW_MS + 19_000, NOW_MS + 20_000, TYPICAL_MS);
    }
    assert_eq!(is_tried(&pool, NOW_MS + 20_000), reports_slowdowns);
}
