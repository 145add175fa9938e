use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use chicoryreach::wire::engine::{Action, Load, Order};

/// A prompt that contains this marker crashes the engine.
pub const CRASH_MARK: &str = "[crash]";

/// The state that an engine holds in memory.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) load: Load,
    pub(crate) cancelled: BTreeSet<Arc<str>>,
    /// The number of tokens generated for each attempt.
    pub(crate) generated: BTreeMap<Arc<str>, u32>,
    pub(crate) checks_fence: bool,
    /// The weights version that is being loaded.
    pub(crate) loading: Option<u64>,
}

impl State {
    /// Accepts an order and returns `true`, or returns `false` if its fencing
    /// number is outdated.
    pub(crate) fn try_accept_order(&mut self, order: &Order) -> bool {
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
