use std::collections::{BTreeMap, btree_map};

use super::{
    Entry,
    lane::{Lane, Rank, virtual_work},
};
use crate::core::Name;

/// A piece of waiting work and its place in the order.
#[derive(Clone, Debug)]
pub(super) struct Ordered {
    pub(super) number: u64,
    pub(super) entry: Entry,
    work_per_value: f64,
    /// Whether it is the next of its account in its lane.
    pub(super) is_next_of_account: bool,
}

/// Returns how an account's own work is ordered: first what can still meet its objective,
/// of it the least work, in powers of two so that similar work keeps the order of arrival.
const fn own_order(now_ms: u64, number: u64, entry: &Entry) -> (bool, u32, u64, u64) {
    let misses_objective = now_ms.saturating_add(entry.work_ms) > entry.objective_at_ms;
    let size = u64::BITS - entry.work_ms.leading_zeros();
    (misses_objective, size, entry.came_ms, number)
}

/// Returns waiting work in the order in which it should start: callers before training, and
/// the least work for its value first, where the lead of an account counts as work.
pub(super) fn start_order(
    now_ms: u64,
    lanes: &BTreeMap<Rank, Lane>,
    waiting: &BTreeMap<u64, Entry>,
) -> Vec<Ordered> {
    let mut by_own_order: Vec<(&u64, &Entry)> = waiting.iter().collect();
    by_own_order.sort_by_key(|(number, entry)| own_order(now_ms, **number, entry));
    let mut leads: BTreeMap<(Rank, Option<&Name>), f64> = BTreeMap::new();
    let mut ordered: Vec<Ordered> = Vec::with_capacity(by_own_order.len());
    for (number, entry) in by_own_order {
        let (rank, account) = (Rank::of(entry), entry.account.as_ref());
        let slot = leads.entry((rank, account));
        let is_next_of_account = matches!(slot, btree_map::Entry::Vacant(_));
        let lane = lanes.get(&rank);
        let lead = slot.or_insert_with(|| lane.map_or(0.0, |lane| lane.lead(account)));
        *lead += virtual_work(entry);
        ordered.push(Ordered {
            number: *number,
            entry: entry.clone(),
            work_per_value: rank.work_per_value(*lead),
            is_next_of_account,
        });
    }
    // The sort is stable, so that equal work keeps the order of arrival.
    ordered.sort_by(|a, b| {
        let by_kind = a.entry.kind.is_training().cmp(&b.entry.kind.is_training());
        by_kind.then(a.work_per_value.total_cmp(&b.work_per_value))
    });
    ordered
}
