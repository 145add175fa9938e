//! Guards against weight loads that leave a model without usable samplers.
//!
//! Two models share nine samplers, and each trainer announces new weights every
//! four seconds. A load takes nearly a second, and a third load at the same
//! time slows all of them.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::core::{
    Name,
    pool::Pool,
    weights::{LoadOrder, ModelTarget, SentOrder, plan_load_orders},
};

use super::support::{complete_due_loads, pool};

const ENDPOINTS: usize = 9;
const LOAD_MS: u64 = 930;
const STEP_MS: u64 = 4_000;
const END_MS: u64 = 60_000;
const TICK_MS: u64 = 50;
/// The loads that the weight store serves at once without slowing down, with
/// nine samplers.
const MAX_CONCURRENT_LOADS: usize = 2;

/// A function that decides which samplers load weights now.
type PlanLoads =
    fn(&Pool, &BTreeMap<Name, ModelTarget>, &BTreeMap<Name, SentOrder>, u64) -> Vec<LoadOrder>;

/// The figures of one simulation.
struct Outcome {
    /// The lowest number of samplers that could serve a model half a second
    /// after its trainer announced a version.
    min_usable: usize,
    max_concurrent_loads: usize,
    load_count: usize,
}

fn simulate(plan_loads: PlanLoads) -> Outcome {
    let models: [Name; 2] = [Arc::from("setup"), Arc::from("stencil")];
    let mut pool = pool(ENDPOINTS, 16, &[("setup", 1), ("stencil", 1)]);
    let mut announced: BTreeMap<Name, ModelTarget> = BTreeMap::new();
    let mut sent: BTreeMap<Name, SentOrder> = BTreeMap::new();
    let mut outcome = Outcome {
        min_usable: ENDPOINTS,
        max_concurrent_loads: 0,
        load_count: 0,
    };
    for now_ms in (0..END_MS).step_by(50) {
        assert_eq!(now_ms % TICK_MS, 0);
        for (offset, model) in models.iter().enumerate() {
            let phase_ms = u64::try_from(offset).expect("two") * 1_500;
            if now_ms >= phase_ms && (now_ms - phase_ms) % STEP_MS == 0 {
                let version = 2 + (now_ms - phase_ms) / STEP_MS;
                let entry = ModelTarget {
                    version,
                    allowed_lag: 1,
                    step_tokens: 0,
                };
                announced.insert(model.clone(), entry);
            }
            // The step that uses the version starts half a second later.
            if now_ms > phase_ms + 500 && (now_ms - phase_ms - 500) % STEP_MS == 0 {
                let min_version = announced[model].version - 1;
                let usable = pool
                    .all()
                    .filter(|e| e.weights_version(model) >= min_version);
                outcome.min_usable = outcome.min_usable.min(usable.count());
            }
        }
        complete_due_loads(&mut pool, &mut sent, now_ms);
        for entry in plan_loads(&pool, &announced, &sent, now_ms) {
            outcome.load_count += 1;
            let order = SentOrder {
                model: entry.model,
                version: entry.version,
                until_ms: now_ms + LOAD_MS,
            };
            let before = sent.insert(entry.endpoint, order);
            assert!(
                before.is_none(),
                "a sampler got an order while it was loading"
            );
        }
        outcome.max_concurrent_loads = outcome.max_concurrent_loads.max(sent.len());
    }
    outcome
}

/// Loads the newest version at every sampler, two at a time.
fn load_everywhere(
    pool: &Pool,
    announced: &BTreeMap<Name, ModelTarget>,
    sent: &BTreeMap<Name, SentOrder>,
    _now_ms: u64,
) -> Vec<LoadOrder> {
    let mut orders = Vec::new();
    for (model, target) in announced {
        for endpoint in pool.all() {
            let is_busy = sent.contains_key(&endpoint.record.id)
                || orders
                    .iter()
                    .any(|entry: &LoadOrder| entry.endpoint == endpoint.record.id);
            if endpoint.weights_version(model) < target.version
                && !is_busy
                && sent.len() + orders.len() < MAX_CONCURRENT_LOADS
            {
                orders.push(LoadOrder {
                    endpoint: endpoint.record.id.clone(),
                    model: model.clone(),
                    version: target.version,
                });
            }
        }
    }
    orders
}

#[test]
fn a_third_of_the_samplers_can_serve_each_step_at_its_start() {
    let outcome = simulate(plan_load_orders);
    assert!(
        outcome.min_usable >= 3,
        "only {} samplers could serve",
        outcome.min_usable
    );
    assert!(
        outcome.max_concurrent_loads <= MAX_CONCURRENT_LOADS,
        "{} loads at once",
        outcome.max_concurrent_loads
    );
}

#[test]
fn loading_every_version_everywhere_leaves_fewer_than_a_third_usable() {
    let outcome = simulate(load_everywhere);
    assert!(
        outcome.min_usable < 3,
        "{} samplers could serve",
        outcome.min_usable
    );
}

#[test]
fn samplers_load_at_most_every_second_version_on_average() {
    let outcome = simulate(plan_load_orders);
    let versions = usize::try_from(2 * END_MS / STEP_MS).expect("few");
    let max_load_count = versions * ENDPOINTS.div_ceil(2) + ENDPOINTS;
    assert!(
        outcome.load_count <= max_load_count,
        "{} loads, at most {max_load_count} expected",
        outcome.load_count
    );
}
