use std::collections::BTreeMap;

use super::{Entry, drain::to_f64};
use crate::core::Name;

/// By how much one step of priority outweighs work: a request is worth four of the next
/// priority.
const VALUE_PER_PRIORITY: f64 = 4.0;

/// A lane holds the work of one urgency: that of callers or of training, by priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    pub(super) is_training: bool,
    pub(super) priority: u8,
}

impl Rank {
    pub(super) const fn of(entry: &Entry) -> Self {
        Self {
            is_training: entry.kind.is_training(),
            priority: entry.priority,
        }
    }

    /// Returns the work for one unit of value, if a lane's work is this.
    pub(super) fn work_per_value(self, work_ms: f64) -> f64 {
        work_ms.max(1.0) * VALUE_PER_PRIORITY.powi(self.priority.into())
    }
}

/// The fair shares of the accounts of one lane, by weighted fair queueing.
///
/// The virtual time is the work that each account with waiting work would have been given
/// if all were given the same. Each account has the virtual time at which the work that it
/// was given ends.
#[derive(Clone, Debug, Default)]
pub(super) struct Lane {
    now: f64,
    /// The virtual end of the work that each account was given.
    ends: BTreeMap<Option<Name>, f64>,
    /// The number of reserved starts of the room when the lane last had one.
    pub(super) last_reserved: u64,
}

impl Lane {
    /// Records that an account has waiting work and had none before: it claims nothing
    /// for the time before.
    pub(super) fn on_backlogged(&mut self, account: Option<&Name>) {
        let now = self.now;
        let end = self.ends.entry(account.cloned()).or_insert(now);
        *end = end.max(now);
    }

    /// Returns by how much an account is ahead of its fair share; negative if it is behind.
    pub(super) fn lead(&self, account: Option<&Name>) -> f64 {
        let end = self.ends.get(&account.cloned());
        end.map_or(0.0, |end| end - self.now)
    }

    /// Records a start, given the number of accounts with waiting work.
    pub(super) fn on_start(&mut self, entry: &Entry, accounts: usize) {
        let work = virtual_work(entry);
        let end = self.ends.entry(entry.account.clone()).or_insert(self.now);
        *end += work;
        self.now += work / f64::from(u32::try_from(accounts.max(1)).unwrap_or(u32::MAX));
    }

    /// Forgets the accounts that are not ahead, other than those with waiting work.
    pub(super) fn forget_ended<F>(&mut self, has_waiting: F)
    where
        F: Fn(&Option<Name>) -> bool,
    {
        let now = self.now;
        self.ends
            .retain(|account, end| *end > now || has_waiting(account));
    }

    /// Takes back a start that found no endpoint.
    pub(super) fn on_not_placed(&mut self, entry: &Entry) {
        if let Some(end) = self.ends.get_mut(&entry.account) {
            *end -= virtual_work(entry);
        }
    }
}

/// Returns by how much a start advances its account.
pub(super) fn virtual_work(entry: &Entry) -> f64 {
    to_f64(entry.work_ms.max(1))
}
