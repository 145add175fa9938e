//! Guards against a share that sends all its samples to a refusing sampler.
//!
//! A sampler that loads weights refuses every request, and reports no running
//! ones, so it seems to have the most free slots.

use std::collections::BTreeSet;

use chicoryreach::core::{
    batch::start_wait_factor,
    pool::{EndpointRequirements, LoadReport, Pool},
    rate_limit::Purpose,
};
use rand::{SeedableRng, rngs::SmallRng};

use super::support::{SERVICE, endpoint_name, pool};

const SLOTS: u32 = 8;
const SAMPLES: u64 = 48;

fn choose(pool: &Pool, now_ms: u64, max_occupancy: f64) -> Option<chicoryreach::core::Name> {
    let requirements = EndpointRequirements {
        service: SERVICE,
        data_centre: "dc-0",
        avoid: &BTreeSet::new(),
        weights: None,
        max_occupancy,
        connected: &BTreeSet::new(),
        software: None,
        purpose: Purpose::Sample,
        length_weight: 0.0,
        slice: None,
    };
    pool.choose(now_ms, &requirements, &mut SmallRng::seed_from_u64(now_ms))
}

/// Sends samples while one sampler refuses them and reports no running
/// requests, and all others are full; returns the number of refusals.
fn count_refusals(pool: &mut Pool) -> u64 {
    for number in 1..4 {
        pool.get_mut(&endpoint_name(number))
            .expect("listed")
            .load
            .in_flight = SLOTS;
    }
    let mut refusals = 0;
    for now_ms in 0..SAMPLES {
        let Some(chosen) = choose(pool, now_ms, 1.0) else {
            continue;
        };
        refusals += 1;
        let endpoint = pool.get_mut(&chosen).expect("it was chosen");
        let report = LoadReport {
            running: 0,
            waiting: 0,
            slots: SLOTS,
        };
        endpoint.load.on_report(now_ms, report);
        endpoint.on_refusal(now_ms);
    }
    refusals
}

#[test]
fn after_one_refusal_no_other_sample_is_sent() {
    let mut pool = pool(4, SLOTS, &[]);
    assert_eq!(count_refusals(&mut pool), 1);
}

#[test]
fn a_refusing_sampler_is_tried_again_after_100_ms() {
    let mut pool = pool(4, SLOTS, &[]);
    count_refusals(&mut pool);
    assert_eq!(choose(&pool, 99, 1.0), None);
    assert_eq!(choose(&pool, 101, 1.0), Some(endpoint_name(0)));
}

/// Guards against VMs that all ask a full sampler ten times a second.
#[test]
fn a_sampler_that_goes_on_refusing_is_tried_less_often() {
    let mut pool = pool(1, SLOTS, &[]);
    let tries_within = |pool: &mut Pool, from_ms: u64, until_ms: u64| {
        let tries = (from_ms..until_ms).filter(|now_ms| {
            let is_tried = choose(pool, *now_ms, 1.0).is_some();
            if is_tried {
                let endpoint = pool.get_mut(&endpoint_name(0)).expect("listed");
                endpoint.on_refusal(*now_ms);
            }
            is_tried
        });
        tries.count()
    };
    // With a pause that stays the same there would be twenty.
    assert!(tries_within(&mut pool, 0, 2_000) <= 10);
    let endpoint = pool.get_mut(&endpoint_name(0)).expect("listed");
    endpoint.load.on_accepted();
    endpoint.on_refusal(2_000);
    assert_eq!(choose(&pool, 2_101, 1.0), Some(endpoint_name(0)));
}

#[test]
fn callers_may_still_queue_at_a_refusing_sampler() {
    let mut pool = pool(1, SLOTS, &[]);
    let endpoint = pool.get_mut(&endpoint_name(0)).expect("listed");
    endpoint.on_refusal(0);
    assert_eq!(choose(&pool, 1, 4.0), Some(endpoint_name(0)));
}

#[test]
fn a_sampler_with_a_stalled_run_is_chosen_last() {
    let mut pool = pool(4, SLOTS, &[]);
    for number in 0..3 {
        pool.get_mut(&endpoint_name(number))
            .expect("listed")
            .on_stalled(0);
    }
    for now_ms in 0..50 {
        assert_eq!(choose(&pool, now_ms, 1.0), Some(endpoint_name(3)));
    }
}

#[test]
fn short_samples_wait_for_a_load_and_long_ones_move() {
    // A run counts as stalled after 250 ms at least, and a load takes 930 ms.
    assert!(250 * start_wait_factor(100, 1_000) >= 930);
    assert!(250 * start_wait_factor(1_000, 1_000) < 930 / 2);
}
