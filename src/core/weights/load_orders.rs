use std::collections::{BTreeMap, BTreeSet};

use super::assignment::assign_endpoints;
use crate::core::{
    Name,
    pool::{EndpointStage, Pool, PoolEndpoint},
};

/// The weights that the trainer of a model requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelTarget {
    /// The newest version that a trainer announced.
    pub version: u64,
    /// The number of versions that weights generating samples may lag behind it.
    pub allowed_lag: u64,
    /// The approximate number of tokens that its trainer requests per step.
    pub step_tokens: u64,
}

/// An order for one endpoint to load the target version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The endpoint.
    pub endpoint: Name,
    /// The model.
    pub model: Name,
    /// The version to load.
    pub version: u64,
}

/// An order that was sent and may still be in progress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentOrder {
    /// The model to load.
    pub model: Name,
    /// The version to load.
    pub version: u64,
    /// Until when the endpoint counts as loading the version.
    pub until_ms: u64,
}

/// The percentage of endpoints serving models that may load weights at once.
///
/// With more, the loads would slow each other down; with fewer, trainers wait.
const LOADING_PERCENT: usize = 20;

/// The percentage of a model's endpoints that should also be recent enough for
/// the version announced next, so that its trainer does not wait for loads.
const READY_FOR_NEXT_PERCENT: usize = 50;

/// Returns the load orders to send now.
///
/// Only the endpoints assigned to a model load its weights. An endpoint within
/// the allowed lag can serve, and loads nothing while enough others have the
/// newest version: each endpoint then loads only every second version, and they
/// never all load at once.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
///
/// use chicoryreach::core::{pool::Pool, weights::plan_load_orders};
///
/// assert!(plan_load_orders(&Pool::default(), &BTreeMap::new(), &BTreeMap::new(), 0).is_empty());
/// ```
#[must_use]
pub fn plan_load_orders(
    pool: &Pool,
    targets: &BTreeMap<Name, ModelTarget>,
    sent: &BTreeMap<Name, SentOrder>,
    now_ms: u64,
) -> Vec<LoadOrder> {
    let is_loading = |endpoint: &PoolEndpoint| {
        sent.get(&endpoint.record.id)
            .is_some_and(|order| order.until_ms > now_ms)
    };
    let serving: Vec<&PoolEndpoint> = pool
        .all()
        .filter(|endpoint| !endpoint.record.weights.is_empty())
        .filter(|endpoint| endpoint.record.stage == EndpointStage::Ready)
        .collect();
    let loading = serving
        .iter()
        .filter(|endpoint| is_loading(endpoint))
        .count();
    let max_loading = ((serving.len() * LOADING_PERCENT + 50) / 100).max(1);
    let assignment = assign_endpoints(&serving, targets);
    let mut candidates = Vec::new();
    for (model, target) in targets {
        let assigned: Vec<&PoolEndpoint> = serving
            .iter()
            .filter(|endpoint| assignment[model].contains(&endpoint.record.id))
            .copied()
            .collect();
        candidates.extend(load_candidates(&assigned, model, *target, sent, now_ms));
    }
    candidates.sort_by_key(|candidate| candidate.rank);
    let mut ordered: BTreeSet<Name> = BTreeSet::new();
    let selected = candidates.into_iter().filter(|candidate| {
        let is_idle = !is_loading(candidate.endpoint);
        // An endpoint that serves several models gets one order at a time.
        is_idle && ordered.insert(candidate.endpoint.record.id.clone())
    });
    selected
        .take(max_loading.saturating_sub(loading))
        .map(|candidate| LoadOrder {
            endpoint: candidate.endpoint.record.id.clone(),
            model: candidate.model.clone(),
            version: candidate.version,
        })
        .collect()
}

/// An endpoint that should load a version; the lowest rank is the most urgent.
struct LoadCandidate<'a> {
    endpoint: &'a PoolEndpoint,
    model: &'a Name,
    version: u64,
    /// Whether the endpoint can serve now, how many endpoints of the model can,
    /// and the endpoint's requests in flight.
    rank: (bool, usize, u32),
}

fn load_candidates<'a>(
    assigned: &[&'a PoolEndpoint],
    model: &'a Name,
    target: ModelTarget,
    sent: &BTreeMap<Name, SentOrder>,
    now_ms: u64,
) -> Vec<LoadCandidate<'a>> {
    let version_of = |endpoint: &PoolEndpoint| {
        let order = sent.get(&endpoint.record.id);
        let order = order.filter(|order| order.until_ms > now_ms && order.model == *model);
        let version = endpoint.weights_version(model);
        order.map_or(version, |order| version.max(order.version))
    };
    let count_at_least = |min_version: u64| {
        let recent_enough = assigned
            .iter()
            .filter(|endpoint| version_of(endpoint) >= min_version);
        recent_enough.count()
    };
    let min_version = target.version.saturating_sub(target.allowed_lag);
    let usable = count_at_least(min_version);
    let usable_next = count_at_least((min_version + 1).min(target.version));
    let min_usable_next = (assigned.len() * READY_FOR_NEXT_PERCENT).div_ceil(100);
    let mut behind: Vec<&PoolEndpoint> = assigned
        .iter()
        .filter(|endpoint| version_of(endpoint) < target.version)
        .copied()
        .collect();
    behind.sort_by_key(|endpoint| (version_of(endpoint), endpoint.load.in_flight));
    let unusable = assigned.len() - usable;
    let load_count = unusable.max(min_usable_next.saturating_sub(usable_next));
    let candidate = |endpoint: &'a PoolEndpoint| LoadCandidate {
        endpoint,
        model,
        version: target.version,
        rank: (
            version_of(endpoint) >= min_version,
            usable,
            endpoint.load.in_flight,
        ),
    };
    behind.into_iter().take(load_count).map(candidate).collect()
}
