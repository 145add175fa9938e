use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use chicoryreach::wire::engine::{Action, Load, Order};

/// An engine that gets this in a prompt crashes.
pub const CRASH_MARK: &str = "[crash]";

/// What an engine holds in memory.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) load: Load,
    pub(crate) cancelled: BTreeSet<Arc<str>>,
    /// How many tokens each attempt has got, for the oracle.
    pub(crate) generated: BTreeMap<Arc<str>, u32>,
    pub(crate) checks_fence: bool,
    /// The version that is being loaded.
    pub(crate) loading: Option<u64>,
}

impl State {
    /// Takes an order, or refuses it for its fencing number.
    pub(crate) fn try_order(&mut self, order: &Order) -> bool {
        if self.checks_fence && order.fence < self.load.fence {
            return false;
        }
        self.load.fence = self.load.fence.max(order.fence);
        match &order.action {
            Action::LoadVersion(version) => self.loading = Some(*version),
            Action::TakeRole(role) => self.load.role = *role,
            Action::LoadAdapter(_) => {}
        }
        true
    }
}
