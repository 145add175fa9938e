use std::collections::BTreeMap;

use crate::core::{
    Name,
    pool::{EndpointStage, Pool, PoolEndpoint},
};

/// An order that moves one endpoint to the weights version that was named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// The endpoint.
    pub endpoint: Name,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
}

/// What is known of an order that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sent {
    /// The version that it names.
    pub version: u64,
    /// Until when it counts as being carried out.
    pub until_ms: u64,
}

/// How many endpoints load weights at once, of those that serve a model.
///
/// More would slow each other down; fewer leave trainers waiting.
const LOADING_PERCENT: usize = 20;

/// Returns the orders to send now.
///
/// An endpoint that is one version behind still serves the step that follows,
/// so those that are further behind come first.
#[must_use]
pub fn moves(
    pool: &Pool,
    named: &BTreeMap<Name, u64>,
    sent: &BTreeMap<Name, Sent>,
    now_ms: u64,
) -> Vec<Move> {
    let mut moves = Vec::new();
    for (model, version) in named {
        let serving: Vec<&PoolEndpoint> = pool
            .all()
            .filter(|endpoint| endpoint.record.weights.contains_key(model))
            .filter(|endpoint| endpoint.record.stage == EndpointStage::Ready)
            .collect();
        moves.extend(moves_of_model(&serving, model, *version, sent, now_ms));
    }
    // An endpoint with several models takes one order at a time.
    let mut taken = std::collections::BTreeSet::new();
    moves.retain(|entry| taken.insert(entry.endpoint.clone()));
    moves
}

fn moves_of_model(
    serving: &[&PoolEndpoint],
    model: &Name,
    version: u64,
    sent: &BTreeMap<Name, Sent>,
    now_ms: u64,
) -> Vec<Move> {
    let is_loading = |endpoint: &&&PoolEndpoint| {
        sent.get(&endpoint.record.id)
            .is_some_and(|order| order.until_ms > now_ms)
    };
    let loading = serving.iter().filter(is_loading).count();
    let most = (serving.len() * LOADING_PERCENT).div_ceil(100).max(1);
    let mut behind: Vec<&&PoolEndpoint> = serving
        .iter()
        .filter(|endpoint| endpoint.weights_version(model) < version)
        .filter(|endpoint| !is_loading(endpoint))
        .collect();
    behind.sort_by_key(|endpoint| (endpoint.weights_version(model), endpoint.load.in_flight));
    let chosen = behind.into_iter().take(most.saturating_sub(loading));
    let to_move = |endpoint: &&PoolEndpoint| Move {
        endpoint: endpoint.record.id.clone(),
        model: model.clone(),
        version,
    };
    chosen.map(to_move).collect()
}
