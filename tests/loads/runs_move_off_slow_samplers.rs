//! Two of nine samplers turn three and a half times slower at the start of a
//! step.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    batch::{RunPace, RunVerdict},
    pool::{EndpointRequirements, Pool},
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{SERVICE, events, pool};

const ENDPOINTS: usize = 9;
const SLOTS: u32 = 16;
const EVENT_MS: f64 = 40.0;
const SLOW_FACTOR: f64 = 3.5;
const TICK_MS: u64 = 10;
const MAX_MOVES: u32 = 4;

struct Run {
    at: Name,
    left: f64,
    done: f64,
    pace: RunPace,
    moves: u32,
}

fn wanted(avoid: &BTreeSet<Name>, max_occupancy: f64) -> EndpointRequirements<'_> {
    EndpointRequirements {
        service: SERVICE,
        data_centre: "dc-0",
        avoid,
        weights: None,
        max_occupancy,
        connected: const { &BTreeSet::new() },
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

fn enter(pool: &mut Pool, at: &str, by: i32) {
    let endpoint = pool.get_mut(at).expect("listed");
    endpoint.load.in_flight = endpoint.load.in_flight.saturating_add_signed(by);
}

/// Plays a step of 72 samples and returns when nine tenths were done, and all.
fn play(seed: u64, slow_count: usize, moves: bool) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut pool = pool(ENDPOINTS, SLOTS, &[]);
    let slow: BTreeSet<Name> = (0..slow_count).map(super::support::name).collect();
    for number in 0..ENDPOINTS {
        let endpoint = pool.get_mut(&super::support::name(number));
        // All were as fast as each other until now.
        endpoint.expect("listed").on_pace(EVENT_MS);
    }
    let none = BTreeSet::new();
    let mut runs: Vec<Run> = Vec::new();
    for _ in 0..72 {
        let at = pool.choose(0, &wanted(&none, 1.0), &mut rng).expect("room");
        enter(&mut pool, &at, 1);
        runs.push(Run {
            at,
            left: f64::from(events(&mut rng)),
            done: 0.0,
            pace: RunPace::new(0),
            moves: 0,
        });
    }
    let total = runs.len();
    let mut ends = Vec::new();
    let mut now_ms = 0;
    while ends.len() < total {
        now_ms += TICK_MS;
        assert!(now_ms < 120_000, "the step does not end");
        let mut index = 0;
        while index < runs.len() {
            let run = &mut runs[index];
            let gained = 10.0 / event_ms(&run.at, &slow);
            if (run.done + gained).floor() > run.done.floor() {
                run.pace.on_event(now_ms);
            }
            run.done += gained;
            if run.done >= run.left {
                ends.push(now_ms);
                enter(&mut pool, &run.at.clone(), -1);
                runs.swap_remove(index);
                continue;
            }
            if moves && run.moves < MAX_MOVES {
                let typical = pool.typical_pace_ms(SERVICE);
                let is_steady = run.pace.verdict(now_ms, typical) == RunVerdict::Steady;
                let avoid = BTreeSet::from([run.at.clone()]);
                let elsewhere = wanted(&avoid, 0.75);
                let pace = run.pace.ms_per_event();
                if !is_steady && pool.has_better_endpoint(now_ms, &elsewhere, pace, &mut rng) {
                    if let (Some(known), Some(pace)) = (pool.get_mut(&run.at), pace) {
                        known.on_pace(pace);
                    }
                    enter(&mut pool, &run.at.clone(), -1);
                    let at = pool.choose(now_ms, &elsewhere, &mut rng).expect("room");
                    enter(&mut pool, &at, 1);
                    // What was generated is kept; the rest goes on elsewhere.
                    run.left -= run.done.floor();
                    run.done = 0.0;
                    run.pace = RunPace::new(now_ms);
                    run.moves += 1;
                    run.at = at;
                }
            }
            index += 1;
        }
    }
    (ends[total * 9 / 10], ends[total - 1])
}

#[rstest]
fn a_step_takes_little_longer_than_without_slow_ones(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let (_, all_fast) = play(seed, 0, true);
    let (most_moved, all_moved) = play(seed, 2, true);
    assert!(
        all_moved * 10 <= all_fast * 14,
        "{all_moved} ms with slow samplers, {all_fast} ms without"
    );
    assert!(most_moved <= all_moved);
}

#[test]
fn without_moves_a_step_takes_twice_as_long() {
    let late = (1..=8).filter(|seed| {
        let (_, all_fast) = play(*seed, 0, false);
        let (_, all_slow) = play(*seed, 2, false);
        all_slow > all_fast * 2
    });
    assert!(
        late.count() >= 4,
        "the pattern is too easy to show anything"
    );
}
