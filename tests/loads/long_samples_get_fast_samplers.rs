//! Guards against steps that are late since their longest samples run at the slower part
//! of the samplers, where the faster ones would have had them in time.
//!
//! A third of the samplers takes 1.3 times as long for an event. Hints are right at the
//! median only, and no sampler's pace is known at the start.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    batch::{RunInProgress, RunPace, SampleLengths, length_weight},
    pool::{EndpointRequirements, Pool},
    rate_limit::Purpose,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::support::{SERVICE, endpoint_name, pool};

const ENDPOINTS: usize = 12;
const SLOTS: u32 = 12;
const SAMPLES: usize = 120;
const STEPS: u64 = 8;
const STEP_EVERY_MS: u64 = 4_000;
const DUE_MS: u64 = 7_500;
/// How much later than due a sample still counts.
const GRACE_MS: u64 = 700;
const FAST_EVENT_MS: f64 = 40.0;
const SLOW_FACTOR: f64 = 1.3;
const TOKENS_PER_EVENT: f64 = 75.0;
const LONGEST_EVENTS: f64 = 190.0;
const MOVE_MS: u64 = 200;
const TICK_MS: u64 = 10;
const TICK_F64_MS: f64 = 10.0;

struct Run {
    endpoint: Name,
    hint: u64,
    weight: f64,
    total_events: f64,
    events: f64,
    pace: RunPace,
    paused_until_ms: u64,
    due_ms: u64,
    moves: u32,
}

/// Returns the events of a sample, of which one in twelve is long, and its hint.
fn draw_sample(rng: &mut SmallRng) -> (f64, u64) {
    let mean = if rng.random_bool(1.0 / 12.0) {
        130.0
    } else {
        22.0
    };
    let events = (mean * rng.random_range(-0.9_f64..0.9).exp()).clamp(3.0, LONGEST_EVENTS);
    let hint = events * TOKENS_PER_EVENT * rng.random_range(-0.9_f64..0.9).exp();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "hints are small and positive"
    )]
    let hint = hint as u64;
    (events.floor(), hint)
}

fn event_ms(endpoint: &str) -> f64 {
    let is_slow = (0..ENDPOINTS / 3).any(|number| &*endpoint_name(number * 3) == endpoint);
    FAST_EVENT_MS * if is_slow { SLOW_FACTOR } else { 1.0 }
}

fn requirements(avoid: &BTreeSet<Name>, weight: f64, max: f64) -> EndpointRequirements<'_> {
    EndpointRequirements {
        service: SERVICE,
        data_centre: "dc-0",
        avoid,
        weights: None,
        max_occupancy: max,
        connected: const { &BTreeSet::new() },
        software: None,
        purpose: Purpose::Sample,
        length_weight: weight,
        slice: None,
    }
}

fn change_in_flight(pool: &mut Pool, endpoint: &str, by: i32) {
    let endpoint = pool.get_mut(endpoint).expect("listed");
    endpoint.load.in_flight = endpoint.load.in_flight.saturating_add_signed(by);
}

/// What became of the samples of a day.
#[derive(Debug, Default)]
struct Outcome {
    /// Late samples that a fast sampler could have had in time.
    late: usize,
    moves: u32,
    samples: usize,
}

struct Day {
    rng: SmallRng,
    pool: Pool,
    lengths: SampleLengths,
    runs: Vec<Run>,
    outcome: Outcome,
    knows_lengths: bool,
}

impl Day {
    fn start_step(&mut self, now_ms: u64) {
        let mut samples: Vec<(f64, u64)> =
            (0..SAMPLES).map(|_| draw_sample(&mut self.rng)).collect();
        samples.sort_by_key(|(_, hint)| std::cmp::Reverse(*hint));
        let longest_hint = samples[0].1;
        for (total_events, hint) in samples {
            let weight = if self.knows_lengths {
                length_weight(hint, longest_hint)
            } else {
                0.0
            };
            let none = BTreeSet::new();
            let chosen = self
                .pool
                .choose(now_ms, &requirements(&none, weight, 1.0), &mut self.rng)
                .expect("a slot is free");
            change_in_flight(&mut self.pool, &chosen, 1);
            self.outcome.samples += 1;
            self.runs.push(Run {
                endpoint: chosen,
                hint,
                weight,
                total_events,
                events: 0.0,
                pace: RunPace::new(now_ms),
                paused_until_ms: now_ms,
                due_ms: now_ms + DUE_MS,
                moves: 0,
            });
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let mut runs = std::mem::take(&mut self.runs);
        runs.retain_mut(|run| {
            self.advance(now_ms, run);
            if run.events < run.total_events {
                return true;
            }
            self.complete(now_ms, run);
            false
        });
        self.runs = runs;
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "events are few and positive"
    )]
    fn advance(&mut self, now_ms: u64, run: &mut Run) {
        if now_ms < run.paused_until_ms {
            return;
        }
        let before = run.events.floor();
        run.events += TICK_F64_MS / event_ms(&run.endpoint);
        if run.events.floor() <= before {
            return;
        }
        run.pace.on_event(now_ms);
        if run.pace.is_first_measured()
            && let Some(event_ms) = run.pace.endpoint_ms_per_event()
        {
            let endpoint = self.pool.get_mut(&run.endpoint);
            endpoint.expect("listed").on_pace(event_ms);
        }
        let known = self.pool.get(&run.endpoint).expect("listed").pace;
        let (Some(run_ms), Some(endpoint_ms)) = (run.pace.endpoint_ms_per_event(), known) else {
            return;
        };
        let progress = RunInProgress {
            events: run.events as u64,
            hinted_events: self.lengths.hinted_events("m", run.hint),
            due_ms: run.due_ms,
        };
        let here_ms = run_ms.min(endpoint_ms);
        let avoid = BTreeSet::from([run.endpoint.clone()]);
        let elsewhere = requirements(&avoid, run.weight, 0.75);
        let there_ms = self.pool.pace_elsewhere(now_ms, &elsewhere, &mut self.rng);
        let moves = self.knows_lengths
            && run.moves < 4
            && there_ms.is_some_and(|there_ms| progress.should_move(now_ms, here_ms, there_ms));
        if moves {
            let chosen = self.pool.choose(now_ms, &elsewhere, &mut self.rng);
            let chosen = chosen.expect("its pace is known");
            change_in_flight(&mut self.pool, &run.endpoint, -1);
            change_in_flight(&mut self.pool, &chosen, 1);
            run.endpoint = chosen;
            run.pace = RunPace::new(now_ms);
            run.paused_until_ms = now_ms + MOVE_MS;
            run.moves += 1;
            self.outcome.moves += 1;
        }
    }

    fn complete(&mut self, now_ms: u64, run: &Run) {
        change_in_flight(&mut self.pool, &run.endpoint, -1);
        if let Some(event_ms) = run.pace.endpoint_ms_per_event() {
            let endpoint = self.pool.get_mut(&run.endpoint);
            endpoint.expect("listed").on_pace(event_ms);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "events are few and positive"
        )]
        let events = run.total_events as u64;
        self.lengths.on_complete(&"m".into(), run.hint, events);
        if now_ms > run.due_ms + GRACE_MS {
            self.outcome.late += 1;
        }
    }
}

fn play(seed: u64, knows_lengths: bool) -> Outcome {
    let mut day = Day {
        rng: SmallRng::seed_from_u64(seed),
        pool: pool(ENDPOINTS, SLOTS, &[]),
        lengths: SampleLengths::default(),
        runs: Vec::new(),
        outcome: Outcome::default(),
        knows_lengths,
    };
    let mut now_ms = 0;
    while now_ms < STEPS * STEP_EVERY_MS || !day.runs.is_empty() {
        if now_ms % STEP_EVERY_MS == 0 && now_ms < STEPS * STEP_EVERY_MS {
            day.start_step(now_ms);
        }
        day.tick(now_ms);
        now_ms += TICK_MS;
    }
    day.outcome
}

/// Each sample fits into its time at a fast sampler. A trainer waits for nine tenths of
/// its groups of eight, so that a step bears about one late sample.
#[test]
fn long_samples_are_in_time_though_some_samplers_are_slower() {
    const DAYS: u64 = 8;
    let (mut late_before, mut late_after) = (0, 0);
    for seed in 1..=DAYS {
        let before = play(seed, false);
        let after = play(seed, true);
        println!("seed {seed}: without lengths {before:?}, with lengths {after:?}");
        let steps = usize::try_from(STEPS).expect("few");
        assert!(after.late <= steps, "seed {seed}: {after:?}");
        // A move costs a connection: one sample in ten at the most.
        let moves = usize::try_from(after.moves).expect("few");
        assert!(moves * 10 <= after.samples, "seed {seed}: {after:?}");
        late_before += before.late;
        late_after += after.late;
    }
    assert!(
        late_after * 2 < late_before,
        "late samples: {late_before} without lengths, {late_after} with lengths"
    );
}

/// Guards against runs that move, which costs a connection, since their sampler paused
/// once to read the prompts of others.
#[test]
fn a_pause_moves_no_short_run_and_a_slow_sampler_moves_all() {
    let pace_of = |event_ms: u64, pause_ms: u64| {
        let mut pace = RunPace::new(0);
        for event in 1..=8 {
            let pause_ms = if event > 4 { pause_ms } else { 0 };
            pace.on_event(event * event_ms + pause_ms);
        }
        pace.endpoint_ms_per_event().expect("eight events")
    };
    let run = |hinted_events: f64| RunInProgress {
        events: 8,
        hinted_events: Some(hinted_events),
        due_ms: 7_500,
    };
    let (paused_ms, slow_ms) = (pace_of(40, 300), pace_of(140, 0));
    assert!(!run(10.0).gains_by_move(paused_ms, FAST_EVENT_MS));
    assert!(run(20.0).gains_by_move(slow_ms, FAST_EVENT_MS));
    assert!(run(80.0).gains_by_move(slow_ms, FAST_EVENT_MS));
}
