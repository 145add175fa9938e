//! Two models share nine samplers, and each trainer names new weights every
//! four seconds; a load takes nearly a second, and a third at once slows all.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::core::{
    Name,
    pool::Pool,
    weights::{LoadOrder, ModelTarget, SentOrder, plan_load_orders},
};

use super::support::{end_loads, pool};

const ENDPOINTS: usize = 9;
const LOAD_MS: u64 = 930;
const STEP_MS: u64 = 4_000;
const END_MS: u64 = 60_000;
const TICK_MS: u64 = 50;
/// What the weight store gives without slowing down, of nine samplers.
const MOST_AT_ONCE: usize = 2;

/// Which samplers are to load, as one decision.
type Decide =
    fn(&Pool, &BTreeMap<Name, ModelTarget>, &BTreeMap<Name, SentOrder>, u64) -> Vec<LoadOrder>;

/// What a run of the pattern showed.
struct Seen {
    /// The fewest samplers that could serve a model one step after a naming.
    fewest_usable: usize,
    most_at_once: usize,
    loads: usize,
}

fn play(decide: Decide) -> Seen {
    let models: [Name; 2] = [Arc::from("setup"), Arc::from("stencil")];
    let mut pool = pool(ENDPOINTS, 16, &[("setup", 1), ("stencil", 1)]);
    let mut named: BTreeMap<Name, ModelTarget> = BTreeMap::new();
    let mut sent: BTreeMap<Name, SentOrder> = BTreeMap::new();
    let mut seen = Seen {
        fewest_usable: ENDPOINTS,
        most_at_once: 0,
        loads: 0,
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
                named.insert(model.clone(), entry);
            }
            // The step that asks for the version comes half a second later.
            if now_ms > phase_ms + 500 && (now_ms - phase_ms - 500) % STEP_MS == 0 {
                let least = named[model].version - 1;
                let able = pool.all().filter(|e| e.weights_version(model) >= least);
                seen.fewest_usable = seen.fewest_usable.min(able.count());
            }
        }
        end_loads(&mut pool, &mut sent, now_ms);
        for entry in decide(&pool, &named, &sent, now_ms) {
            seen.loads += 1;
            let order = SentOrder {
                model: entry.model,
                version: entry.version,
                until_ms: now_ms + LOAD_MS,
            };
            let before = sent.insert(entry.endpoint, order);
            assert!(before.is_none(), "two orders at once to one sampler");
        }
        seen.most_at_once = seen.most_at_once.max(sent.len());
    }
    seen
}

/// Moves every sampler that is not at the newest version, two at a time.
fn move_all(
    pool: &Pool,
    named: &BTreeMap<Name, ModelTarget>,
    sent: &BTreeMap<Name, SentOrder>,
    _now_ms: u64,
) -> Vec<LoadOrder> {
    let mut due = Vec::new();
    for (model, named) in named {
        for endpoint in pool.all() {
            let is_busy = sent.contains_key(&endpoint.record.id)
                || due
                    .iter()
                    .any(|entry: &LoadOrder| entry.endpoint == endpoint.record.id);
            if endpoint.weights_version(model) < named.version
                && !is_busy
                && sent.len() + due.len() < MOST_AT_ONCE
            {
                due.push(LoadOrder {
                    endpoint: endpoint.record.id.clone(),
                    model: model.clone(),
                    version: named.version,
                });
            }
        }
    }
    due
}

#[test]
fn a_third_of_the_samplers_serve_each_step_at_once() {
    let seen = play(plan_load_orders);
    assert!(
        seen.fewest_usable >= 3,
        "only {} could serve",
        seen.fewest_usable
    );
    assert!(
        seen.most_at_once <= MOST_AT_ONCE,
        "{} at once",
        seen.most_at_once
    );
}

#[test]
fn moving_all_samplers_for_every_version_leaves_a_model_without_any() {
    let seen = play(move_all);
    assert!(seen.fewest_usable < 3, "{} could serve", seen.fewest_usable);
}

#[test]
fn no_sampler_loads_more_than_every_second_version() {
    let seen = play(plan_load_orders);
    let versions = usize::try_from(2 * END_MS / STEP_MS).expect("few");
    let most = versions * ENDPOINTS.div_ceil(2) + ENDPOINTS;
    assert!(seen.loads <= most, "{} loads, {most} at most", seen.loads);
}
