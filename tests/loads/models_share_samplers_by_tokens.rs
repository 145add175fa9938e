//! Guards against models with much work that are left with too few usable
//! samplers.
//!
//! Four models with unequal work share 44 samplers, and each trainer announces
//! new weights every four seconds. At most nine loads may run at once.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::core::{
    Name,
    weights::{ModelTarget, SentOrder, plan_load_orders},
};
use rstest::rstest;

use super::support::{complete_due_loads, pool};

const ENDPOINTS: usize = 44;
const LOAD_MS: u64 = 930;
const STEP_MS: u64 = 4_000;
const STEPS: u64 = 15;
const TICK_MS: u64 = 50;
/// The models and the tokens of one step of each.
const MODELS: [(&str, u64); 4] = [
    ("feeder", 1_280),
    ("stencil", 3_040),
    ("reflow", 3_192),
    ("nozzle", 1_224),
];

/// The figures of one simulation.
struct Outcome {
    load_count: usize,
    max_concurrent_loads: usize,
    /// The lowest number of samplers that could serve a step at its start, by
    /// model.
    min_usable: BTreeMap<Name, usize>,
}

fn simulate(has_step_tokens: bool) -> Outcome {
    let models: Vec<(Name, u64)> = MODELS.iter().map(|(m, t)| (Arc::from(*m), *t)).collect();
    let mut pool = pool(ENDPOINTS, 8, &MODELS.map(|(model, _)| (model, 1)));
    let mut announced: BTreeMap<Name, ModelTarget> = BTreeMap::new();
    let mut sent: BTreeMap<Name, SentOrder> = BTreeMap::new();
    let mut outcome = Outcome {
        load_count: 0,
        max_concurrent_loads: 0,
        min_usable: BTreeMap::new(),
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
                step_tokens: if has_step_tokens { *tokens } else { 0 },
            };
            announced.insert(model.clone(), entry);
            let usable = pool.all();
            let usable = usable.filter(|e| e.weights_version(model) + 1 >= version);
            let min_usable = outcome.min_usable.entry(model.clone()).or_insert(ENDPOINTS);
            *min_usable = usable.count().min(*min_usable);
        }
        complete_due_loads(&mut pool, &mut sent, now_ms);
        for entry in plan_load_orders(&pool, &announced, &sent, now_ms) {
            outcome.load_count += 1;
            let order = SentOrder {
                model: entry.model,
                version: entry.version,
                until_ms: now_ms + LOAD_MS,
            };
            sent.insert(entry.endpoint, order);
        }
        outcome.max_concurrent_loads = outcome.max_concurrent_loads.max(sent.len());
    }
    outcome
}

#[test]
fn a_version_is_loaded_by_at_most_a_quarter_of_the_samplers() {
    let outcome = simulate(true);
    let versions = usize::try_from(STEPS).expect("few") * MODELS.len();
    let max_load_count = versions * ENDPOINTS / MODELS.len();
    assert!(
        outcome.load_count <= max_load_count,
        "{} loads, at most {max_load_count} expected",
        outcome.load_count
    );
    assert!(
        outcome.max_concurrent_loads <= 9,
        "{} loads at once",
        outcome.max_concurrent_loads
    );
}

#[rstest]
fn each_step_starts_with_half_of_its_models_samplers_usable(
    #[values("feeder", "stencil", "reflow", "nozzle")] model: &str,
) {
    let outcome = simulate(true);
    let all: u64 = MODELS.iter().map(|(_, tokens)| tokens).sum();
    let own = MODELS.iter().find(|(name, _)| *name == model).expect("one");
    let assigned = usize::try_from(own.1 * ENDPOINTS as u64 / all).expect("few");
    let min_usable = outcome.min_usable[model];
    assert!(
        2 * min_usable >= assigned,
        "{min_usable} of {assigned} assigned samplers are usable"
    );
}

#[test]
fn without_step_tokens_more_loads_run_and_a_large_model_has_fewer_samplers() {
    let (with, without) = (simulate(true), simulate(false));
    assert!(
        6 * with.load_count <= 5 * without.load_count,
        "{} loads with step tokens, {} without",
        with.load_count,
        without.load_count
    );
    let usable = |outcome: &Outcome| outcome.min_usable["stencil"];
    assert!(usable(&with) * 3 >= usable(&without) * 5);
}
