use std::collections::{BTreeMap, BTreeSet};

use super::assignment::homes;
use crate::core::{
    Name,
    pool::{EndpointStage, Pool, PoolEndpoint},
};

/// The weights that trainers ask for of one model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelTarget {
    /// The newest version that a trainer named.
    pub version: u64,
    /// How many versions behind it samples may be generated.
    pub allowed_lag: u64,
    /// About how many tokens its trainer asks for in a step.
    pub step_tokens: u64,
}

/// An order that moves one endpoint to the weights version that was named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The endpoint.
    pub endpoint: Name,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
}

/// What is known of an order that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentOrder {
    /// The model that it names.
    pub model: Name,
    /// The version that it names.
    pub version: u64,
    /// Until when it counts as being carried out.
    pub until_ms: u64,
}

/// How many endpoints load weights at once, of those that serve models.
///
/// More would slow each other down; fewer leave trainers waiting.
const LOADING_PERCENT: usize = 20;

/// How many endpoints of a model should be able to serve the version that is
/// named next as well, so that its trainer need not wait for loads.
const READY_FOR_NEXT_PERCENT: usize = 50;

/// Returns the orders to send now.
///
/// Of a model, only its part of the endpoints is moved. One within the allowed
/// lag serves, and stays as it is where enough others have the newest version:
/// each endpoint then loads every second version only, and never all at once.
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
    named: &BTreeMap<Name, ModelTarget>,
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
    let most = ((serving.len() * LOADING_PERCENT + 50) / 100).max(1);
    let homes = homes(&serving, named);
    let mut wishes = Vec::new();
    for (model, named) in named {
        let of_model: Vec<&PoolEndpoint> = serving
            .iter()
            .filter(|endpoint| homes[model].contains(&endpoint.record.id))
            .copied()
            .collect();
        wishes.extend(wishes_of_model(&of_model, model, *named, sent, now_ms));
    }
    wishes.sort_by_key(|wish| wish.rank);
    let mut taken: BTreeSet<Name> = BTreeSet::new();
    let free = wishes.into_iter().filter(|wish| {
        let is_free = !is_loading(wish.endpoint);
        // An endpoint with several models takes one order at a time.
        is_free && taken.insert(wish.endpoint.record.id.clone())
    });
    free.take(most.saturating_sub(loading))
        .map(|wish| LoadOrder {
            endpoint: wish.endpoint.record.id.clone(),
            model: wish.model.clone(),
            version: wish.version,
        })
        .collect()
}

/// An endpoint that should load a version, the most urgent rank first.
struct Wish<'a> {
    endpoint: &'a PoolEndpoint,
    model: &'a Name,
    version: u64,
    /// Whether it cannot serve now and how many can; then its requests.
    rank: (bool, usize, u32),
}

fn wishes_of_model<'a>(
    of_model: &[&'a PoolEndpoint],
    model: &'a Name,
    named: ModelTarget,
    sent: &BTreeMap<Name, SentOrder>,
    now_ms: u64,
) -> Vec<Wish<'a>> {
    let version_of = |endpoint: &PoolEndpoint| {
        let order = sent.get(&endpoint.record.id);
        let order = order.filter(|order| order.until_ms > now_ms && order.model == *model);
        let version = endpoint.weights_version(model);
        order.map_or(version, |order| version.max(order.version))
    };
    let count_from = |least: u64| {
        let from = of_model
            .iter()
            .filter(|endpoint| version_of(endpoint) >= least);
        from.count()
    };
    let least_now = named.version.saturating_sub(named.allowed_lag);
    let usable = count_from(least_now);
    let for_next = count_from((least_now + 1).min(named.version));
    let wanted = (of_model.len() * READY_FOR_NEXT_PERCENT).div_ceil(100);
    let mut behind: Vec<&PoolEndpoint> = of_model
        .iter()
        .filter(|endpoint| version_of(endpoint) < named.version)
        .copied()
        .collect();
    behind.sort_by_key(|endpoint| (version_of(endpoint), endpoint.load.in_flight));
    let unusable = of_model.len() - usable;
    let moved = unusable.max(wanted.saturating_sub(for_next));
    let wish = |endpoint: &'a PoolEndpoint| Wish {
        endpoint,
        model,
        version: named.version,
        rank: (
            version_of(endpoint) >= least_now,
            usable,
            endpoint.load.in_flight,
        ),
    };
    behind.into_iter().take(moved).map(wish).collect()
}
