use std::collections::{BTreeMap, BTreeSet};

use super::ModelTarget;
use crate::core::{Name, pool::PoolEndpoint, rendezvous};

/// How many times its part of the work a model has endpoints, in hundredths:
/// a batch comes all at once, and some of them load weights meanwhile.
const HOME_PERCENT: u64 = 125;
/// The fewest endpoints of a model, so that the loss of one is no outage.
const MIN_HOMES: usize = 3;

/// Returns the endpoints that follow the weights of each model.
///
/// Endpoints that followed all models would spend their time with loading. So
/// each model has a part of them, by the work that its trainer asks for. Those
/// with the newest weights stay, as they were chosen before.
pub(super) fn homes<'a>(
    serving: &[&'a PoolEndpoint],
    named: &'a BTreeMap<Name, ModelTarget>,
) -> BTreeMap<&'a Name, BTreeSet<&'a Name>> {
    let all_tokens: u64 = named.values().map(|named| named.step_tokens).sum();
    let mut models_of: BTreeMap<&Name, usize> = BTreeMap::new();
    let mut homes = BTreeMap::new();
    for (model, named) in named {
        let mut able: Vec<&PoolEndpoint> = serving
            .iter()
            .filter(|endpoint| endpoint.record.weights.contains_key(model))
            .copied()
            .collect();
        able.sort_by_key(|endpoint| {
            let id = &endpoint.record.id;
            let others = models_of.get(id).copied().unwrap_or(0);
            let version = std::cmp::Reverse(endpoint.weights_version(model));
            (version, others, rendezvous::weight(id, model))
        });
        let count = home_count(able.len(), named.step_tokens, all_tokens);
        let chosen = able.iter().take(count).map(|endpoint| &endpoint.record.id);
        let chosen: BTreeSet<&Name> = chosen.collect();
        for id in &chosen {
            *models_of.entry(id).or_default() += 1;
        }
        homes.insert(model, chosen);
    }
    homes
}

fn home_count(able: usize, tokens: u64, all_tokens: u64) -> usize {
    if all_tokens == 0 {
        return able;
    }
    let part = able as u64 * tokens * HOME_PERCENT;
    let count = part.div_ceil(all_tokens * 100);
    usize::try_from(count)
        .unwrap_or(able)
        .max(MIN_HOMES)
        .min(able)
}
