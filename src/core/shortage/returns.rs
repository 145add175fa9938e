use std::collections::BTreeMap;

use super::{Entry, lane::Rank};
use crate::core::Name;

/// The most refused callers that are remembered.
const MAX_REMEMBERED: usize = 1_024;
/// How long a refused caller is remembered after the time at which it should come back, in
/// milliseconds.
const REMEMBERED_MS: u64 = 5_000;
/// The shortest and the longest time after which a refused caller should come back, in
/// milliseconds.
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 30_000;

/// A caller that was refused.
#[derive(Clone, Copy, Debug)]
struct Return {
    came_ms: u64,
    retry_at_ms: u64,
    rank: Rank,
    work_ms: u64,
}

/// The callers that were refused and are expected to come back.
///
/// # Times to return
///
/// A caller is told the time at which the work that goes first has started: what waits
/// before it, and what was refused earlier and is at least as urgent.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    by_caller: BTreeMap<(Option<Name>, Name), Return>,
}

impl Returns {
    pub(super) const NEW: Self = Self {
        by_caller: BTreeMap::new(),
    };

    /// Returns when a caller first came, if it was refused before.
    pub(super) fn first_came_ms(&self, entry: &Entry) -> Option<u64> {
        let known = self.by_caller.get(&key(entry));
        known.map(|known| known.came_ms)
    }

    /// Forgets a caller that was started.
    pub(super) fn on_start(&mut self, entry: &Entry) {
        self.by_caller.remove(&key(entry));
    }

    /// Returns when a refused caller should come back, given the work that waits before it.
    pub(super) fn on_refused(
        &mut self,
        now_ms: u64,
        entry: &Entry,
        work_ahead_ms: u64,
        work_per_ms: f64,
    ) -> u64 {
        self.by_caller
            .retain(|_, known| known.retry_at_ms + REMEMBERED_MS > now_ms);
        let rank = Rank::of(entry);
        let expected = self.by_caller.values();
        let expected_ms: u64 = expected
            .filter(|known| known.retry_at_ms > now_ms && known.rank <= rank)
            .map(|known| known.work_ms)
            .sum();
        let until_room_ms = ceil_div(work_ahead_ms + expected_ms + entry.work_ms, work_per_ms);
        let retry_at_ms = now_ms + until_room_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        if !rank.is_training && self.by_caller.len() < MAX_REMEMBERED {
            let refused = Return {
                came_ms: entry.came_ms,
                retry_at_ms,
                rank,
                work_ms: entry.work_ms,
            };
            self.by_caller.insert(key(entry), refused);
        }
        retry_at_ms
    }
}

fn key(entry: &Entry) -> (Option<Name>, Name) {
    (entry.account.clone(), entry.id.clone())
}

/// Returns how long an amount of work takes to start.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a cast from a float saturates, and spans are far below 2^52 ms"
)]
pub(super) fn ceil_div(work_ms: u64, work_per_ms: f64) -> u64 {
    (work_ms as f64 / work_per_ms.max(f64::MIN_POSITIVE)).ceil() as u64
}
