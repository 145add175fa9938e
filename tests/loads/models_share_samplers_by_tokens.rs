//! Four models of unequal work share 44 samplers, and each trainer names new
//! weights every four seconds; nine loads at once is the most.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::core::{
    Name,
    weights::{ModelTarget, SentOrder, plan_load_orders},
};
use rstest::rstest;

use super::support::{end_loads, pool};

const ENDPOINTS: usize = 44;
const LOAD_MS: u64 = 930;
const STEP_MS: u64 = 4_000;
const STEPS: u64 = 15;
const TICK_MS: u64 = 50;
const MODELS: [(&str, u64); 4] = [
    ("feeder", 1_280),
    ("stencil", 3_040),
    ("reflow", 3_192),
    ("nozzle", 1_224),
];

/// What a run of the pattern showed.
struct Seen {
    loads: usize,
    most_at_once: usize,
    /// The fewest samplers able to serve a step as it is asked for, by model.
    fewest_usable: BTreeMap<Name, usize>,
}

fn play(tells_tokens: bool) -> Seen {
    let models: Vec<(Name, u64)> = MODELS.iter().map(|(m, t)| (Arc::from(*m), *t)).collect();
    let mut pool = pool(ENDPOINTS, 8, &MODELS.map(|(model, _)| (model, 1)));
    let mut named: BTreeMap<Name, ModelTarget> = BTreeMap::new();
    let mut sent: BTreeMap<Name, SentOrder> = BTreeMap::new();
    let mut seen = Seen {
        loads: 0,
        most_at_once: 0,
        fewest_usable: BTreeMap::new(),
    };
    for now_ms in (0..STEPS * STEP_MS).step_by(usize::try_from(TICK_MS).expect("small")) {
        for (offset, (model, tokens)) in (0..).zip(&models) {
            let phase_ms = offset * STEP_MS / 4;
            if now_ms < phase_ms || !(now_ms - phase_ms).is_multiple_of(STEP_MS) {
                continue;
            }
            let version = 2 + (now_ms - phase_ms) / STEP_MS;
            let entry = ModelTarget {
                version,
                allowed_lag: 1,
                step_tokens: if tells_tokens { *tokens } else { 0 },
            };
            named.insert(model.clone(), entry);
            let able = pool.all();
            let able = able.filter(|e| e.weights_version(model) + 1 >= version);
            let fewest = seen.fewest_usable.entry(model.clone()).or_insert(ENDPOINTS);
            *fewest = able.count().min(*fewest);
        }
        end_loads(&mut pool, &mut sent, now_ms);
        for entry in plan_load_orders(&pool, &named, &sent, now_ms) {
            seen.loads += 1;
            let order = SentOrder {
                model: entry.model,
                version: entry.version,
                until_ms: now_ms + LOAD_MS,
            };
            sent.insert(entry.endpoint, order);
        }
        seen.most_at_once = seen.most_at_once.max(sent.len());
    }
    seen
}

#[test]
fn loads_stay_below_one_part_of_the_samplers_a_version() {
    let seen = play(true);
    let versions = usize::try_from(STEPS).expect("few") * MODELS.len();
    let most = versions * ENDPOINTS / MODELS.len();
    assert!(seen.loads <= most, "{} loads, {most} at most", seen.loads);
    assert!(seen.most_at_once <= 9, "{} at once", seen.most_at_once);
}

#[rstest]
fn each_step_finds_half_of_its_part_of_the_samplers(
    #[values("feeder", "stencil", "reflow", "nozzle")] model: &str,
) {
    let seen = play(true);
    let all: u64 = MODELS.iter().map(|(_, tokens)| tokens).sum();
    let own = MODELS.iter().find(|(name, _)| *name == model).expect("one");
    let part = usize::try_from(own.1 * ENDPOINTS as u64 / all).expect("few");
    let fewest = seen.fewest_usable[model];
    assert!(2 * fewest >= part, "{fewest} usable of a part of {part}");
}

#[test]
fn without_parts_loads_are_more_and_a_model_of_much_work_is_short() {
    let (with, without) = (play(true), play(false));
    assert!(
        6 * with.loads <= 5 * without.loads,
        "{} loads with parts, {} without",
        with.loads,
        without.loads
    );
    let usable = |seen: &Seen| seen.fewest_usable["stencil"];
    assert!(usable(&with) * 3 >= usable(&without) * 5);
}
