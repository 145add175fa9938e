use std::collections::{BTreeMap, BTreeSet};

use super::ModelTarget;
use crate::core::{Name, pool::PoolEndpoint, rendezvous};

/// The endpoints assigned to a model, as a percentage of its share of the work:
/// a batch arrives all at once, and some endpoints are loading weights meanwhile.
const ASSIGNED_PERCENT: u64 = 125;
/// The fewest endpoints assigned to a model, so that the loss of one does not
/// leave it without any.
const MIN_ASSIGNED_ENDPOINTS: usize = 3;

/// Assigns endpoints to each model, to load its new weights.
///
/// Endpoints assigned to all models would spend their time loading weights.
/// Each model is therefore assigned a part of them, in proportion to the tokens
/// that its trainer requests per step. Endpoints with the newest weights come
/// first, which keeps the assignment stable.
pub(super) fn assign_endpoints<'a>(
    serving: &[&'a PoolEndpoint],
    targets: &'a BTreeMap<Name, ModelTarget>,
) -> BTreeMap<&'a Name, BTreeSet<&'a Name>> {
    let all_tokens: u64 = targets.values().map(|target| target.step_tokens).sum();
    let mut model_counts: BTreeMap<&Name, usize> = BTreeMap::new();
    let mut assignment = BTreeMap::new();
    for (model, target) in targets {
        let mut capable: Vec<&PoolEndpoint> = serving
            .iter()
            .filter(|endpoint| endpoint.record.weights.contains_key(model))
            .copied()
            .collect();
        capable.sort_by_key(|endpoint| {
            let id = &endpoint.record.id;
            let other_models = model_counts.get(id).copied().unwrap_or(0);
            let version = std::cmp::Reverse(endpoint.weights_version(model));
            (version, other_models, rendezvous::weight(id, model))
        });
        let count = assigned_count(capable.len(), target.step_tokens, all_tokens);
        let chosen = capable
            .iter()
            .take(count)
            .map(|endpoint| &endpoint.record.id);
        let chosen: BTreeSet<&Name> = chosen.collect();
        for id in &chosen {
            *model_counts.entry(id).or_default() += 1;
        }
        assignment.insert(model, chosen);
    }
    assignment
}

fn assigned_count(capable: usize, tokens: u64, all_tokens: u64) -> usize {
    if all_tokens == 0 {
        return capable;
    }
    let part = capable as u64 * tokens * ASSIGNED_PERCENT;
    let count = part.div_ceil(all_tokens * 100);
    usize::try_from(count)
        .unwrap_or(capable)
        .max(MIN_ASSIGNED_ENDPOINTS)
        .min(capable)
}
