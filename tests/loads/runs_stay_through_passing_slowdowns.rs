//! Guards against runs that are cut and moved since the machine of their endpoint is slow
//! for a moment: a move reads the prompt again, opens a connection and takes a second slot.
//!
//! One machine in seven is 2.5 times slower for 600 ms at a time; all endpoints take 50 ms
//! an event otherwise, or one lastingly takes 150 ms.

use chicoryreach::core::batch::{RunInProgress, RunPace, RunVerdict};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TYPICAL_MS: f64 = 50.0;

/// Plays a run; returns whether it would move by the mean pace of the run, and by its
/// lasting pace.
fn moves(rng: &mut SmallRng, event_ms: f64, events: u64) -> (bool, bool) {
    let mut pace = RunPace::new(0);
    let (mut by_mean, mut by_lasting) = (false, false);
    let (mut done, mut factor) = (0.0, 1.0);
    let mut now_ms = 0;
    for event in 1..=events {
        while done < 1.0 {
            if now_ms % 600 == 0 {
                factor = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
            }
            now_ms += 1;
            done += 1.0 / (event_ms * factor);
        }
        done -= 1.0;
        pace.on_event(now_ms);
        let run = RunInProgress {
            events: event,
            hinted_events: Some(60.0),
            due_ms: 7_500,
        };
        if pace.verdict(now_ms, Some(TYPICAL_MS)) != RunVerdict::Slow {
            continue;
        }
        let mean_ms = pace.endpoint_ms_per_event();
        by_mean |= mean_ms.is_some_and(|here_ms| run.gains_by_move(here_ms, TYPICAL_MS));
        let lasting_ms = pace.lasting_ms_per_event();
        by_lasting |=
            lasting_ms.is_some_and(|here_ms| run.ends_earlier_by_move(0, here_ms, TYPICAL_MS));
    }
    (by_mean, by_lasting)
}

#[test]
fn a_machine_that_is_slow_for_a_moment_moves_no_run() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut by_mean, mut by_lasting) = (0, 0);
    for _ in 0..1_000 {
        let (mean, lasting) = moves(&mut rng, TYPICAL_MS, 40);
        by_mean += u32::from(mean);
        by_lasting += u32::from(lasting);
    }
    println!("of 1,000 runs, {by_mean} move by the mean pace, {by_lasting} by the lasting one");
    assert!(by_mean >= 50, "the slowdowns show no effect");
    assert!(by_lasting <= 10, "{by_lasting} runs move");
}

#[test]
fn an_endpoint_that_lasts_to_be_slow_moves_its_runs() {
    let mut rng = SmallRng::seed_from_u64(2);
    let moved = (0..100).filter(|_| moves(&mut rng, 3.0 * TYPICAL_MS, 40).1);
    assert!(moved.count() >= 95);
}

/// Guards against silent runs that move to an endpoint at which they end later.
#[test]
fn a_silence_moves_a_run_once_it_is_longer_than_the_move() {
    let run = RunInProgress {
        events: 10,
        hinted_events: Some(30.0),
        due_ms: 7_500,
    };
    assert!(!run.ends_earlier_by_move(400, TYPICAL_MS, TYPICAL_MS));
    assert!(run.ends_earlier_by_move(900, TYPICAL_MS, TYPICAL_MS));
    // To a slow endpoint only after a longer one.
    assert!(!run.ends_earlier_by_move(900, TYPICAL_MS, TYPICAL_MS / 0.6));
    assert!(run.ends_earlier_by_move(1_800, TYPICAL_MS, TYPICAL_MS / 0.6));
}
