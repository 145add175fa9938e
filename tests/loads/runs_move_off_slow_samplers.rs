//! Guards against steps that wait for runs at samplers that became slow.
//!
//! Two of nine samplers become three and a half times slower at the start of a
//! step.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    batch::{RunPace, RunVerdict},
    pool::{EndpointRequirements, Pool},
    rate_limit::Purpose,
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{SERVICE, draw_event_count, pool};

const ENDPOINTS: usize = 9;
const SLOTS: u32 = 16;
const EVENT_MS: f64 = 40.0;
const SLOW_FACTOR: f64 = 3.5;
const TICK_MS: u64 = 10;
const MAX_MOVES: u32 = 4;

struct Run {
    endpoint: Name,
    remaining_events: f64,
    done_events: f64,
    pace: RunPace,
    move_count: u32,
}

fn requirements(avoid: &BTreeSet<Name>, max_occupancy: f64) -> EndpointRequirements<'_> {
    EndpointRequirements {
        service: SERVICE,
        data_centre: "dc-0",
        avoid,
        weights: None,
        max_occupancy,
        connected: const { &BTreeSet::new() },
        software: None,
        purpose: Purpose::Sample,
        length_weight: 0.0,
        slice: None,
    }
}

fn event_ms(endpoint: &str, slow: &BTreeSet<Name>) -> f64 {
    if slow.contains(endpoint) {
        EVENT_MS * SLOW_FACTOR
    } else {
        EVENT_MS
    }
}

fn change_in_flight(pool: &mut Pool, endpoint: &str, by: i32) {
    let endpoint = pool.get_mut(endpoint).expect("listed");
    endpoint.load.in_flight = endpoint.load.in_flight.saturating_add_signed(by);
}

/// Simulates a step of 72 samples; returns when nine tenths of them were done,
/// and when all were.
fn simulate(seed: u64, slow_count: usize, moves_runs: bool) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut pool = pool(ENDPOINTS, SLOTS, &[]);
    let slow: BTreeSet<Name> = (0..slow_count).map(super::support::endpoint_name).collect();
    for number in 0..ENDPOINTS {
        let endpoint = pool.get_mut(&super::support::endpoint_name(number));
        // All samplers had the same pace until now.
        endpoint.expect("listed").on_pace(EVENT_MS);
    }
    let none = BTreeSet::new();
    let mut runs: Vec<Run> = Vec::new();
    for _ in 0..72 {
        let chosen = pool
            .choose(0, &requirements(&none, 1.0), &mut rng)
            .expect("a slot is free");
        change_in_flight(&mut pool, &chosen, 1);
        runs.push(Run {
            endpoint: chosen,
            remaining_events: f64::from(draw_event_count(&mut rng)),
            done_events: 0.0,
            pace: RunPace::new(0),
            move_count: 0,
        });
    }
    let total = runs.len();
    let mut ends = Vec::new();
    let mut now_ms = 0;
    while ends.len() < total {
        now_ms += TICK_MS;
        assert!(now_ms < 120_000, "the step did not end within two minutes");
        let mut index = 0;
        while index < runs.len() {
            let run = &mut runs[index];
            let new_events = 10.0 / event_ms(&run.endpoint, &slow);
            if (run.done_events + new_events).floor() > run.done_events.floor() {
                run.pace.on_event(now_ms);
            }
            run.done_events += new_events;
            if run.done_events >= run.remaining_events {
                ends.push(now_ms);
                change_in_flight(&mut pool, &run.endpoint.clone(), -1);
                runs.swap_remove(index);
                continue;
            }
            if moves_runs && run.move_count < MAX_MOVES {
                let typical = pool.typical_pace(SERVICE);
                let is_steady = run.pace.verdict(now_ms, typical) == RunVerdict::Steady;
                let avoid = BTreeSet::from([run.endpoint.clone()]);
                let elsewhere = requirements(&avoid, 0.75);
                let pace = run.pace.ms_per_event();
                if !is_steady && pool.has_better_endpoint(now_ms, &elsewhere, pace, &mut rng) {
                    if let (Some(known), Some(pace)) = (pool.get_mut(&run.endpoint), pace) {
                        known.on_pace(pace);
                    }
                    change_in_flight(&mut pool, &run.endpoint.clone(), -1);
                    let chosen = pool
                        .choose(now_ms, &elsewhere, &mut rng)
                        .expect("a slot is free");
                    change_in_flight(&mut pool, &chosen, 1);
                    // Keeps the generated events; the rest runs at the other sampler.
                    run.remaining_events -= run.done_events.floor();
                    run.done_events = 0.0;
                    run.pace = RunPace::new(now_ms);
                    run.move_count += 1;
                    run.endpoint = chosen;
                }
            }
            index += 1;
        }
    }
    (ends[total * 9 / 10], ends[total - 1])
}

#[rstest]
fn with_moves_slow_samplers_prolong_a_step_by_at_most_40_percent(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let (_, all_fast) = simulate(seed, 0, true);
    let (nine_tenths_moved, all_moved) = simulate(seed, 2, true);
    assert!(
        all_moved * 10 <= all_fast * 14,
        "{all_moved} ms with slow samplers, {all_fast} ms without"
    );
    assert!(nine_tenths_moved <= all_moved);
}

#[test]
fn without_moves_slow_samplers_double_the_step_in_half_of_the_seeds() {
    let late = (1..=8).filter(|seed| {
        let (_, all_fast) = simulate(*seed, 0, false);
        let (_, all_slow) = simulate(*seed, 2, false);
        all_slow > all_fast * 2
    });
    assert!(
        late.count() >= 4,
        "slow samplers prolong too few steps to show an effect of moves"
    );
}
