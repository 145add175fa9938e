/// How long the next commit may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// It may wait for others, so that they share one write.
    Paced,
    /// Somebody stands still until it has taken effect.
    Now,
}

/// The share of the store's writes that one ledger takes.
const INTERVAL_MS: u64 = 1_000;
/// How far ahead of its share a ledger may write before it has to wait.
const BURST_MS: u64 = 3_000;

/// Paces commits: on average one in an interval, several at once after a rest.
///
/// Nothing runs while there is nothing to commit. An urgent commit goes at
/// once, and is counted.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::sample::{CommitPacer, Urgency};
///
/// let mut pace = CommitPacer::default();
/// for _ in 0..4 {
///     assert_eq!(pace.due_ms(5_000, Urgency::Paced), 5_000);
///     pace.on_commit(5_000);
/// }
/// assert_eq!(pace.due_ms(5_000, Urgency::Paced), 6_000);
/// assert_eq!(pace.due_ms(5_000, Urgency::Now), 5_000);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitPacer {
    paid_until_ms: u64,
}

impl CommitPacer {
    /// Returns when the next commit may go.
    #[must_use]
    pub fn due_ms(&self, now_ms: u64, urgency: Urgency) -> u64 {
        match urgency {
            Urgency::Now => now_ms,
            Urgency::Paced => now_ms.max(self.paid_until_ms.saturating_sub(BURST_MS)),
        }
    }

    /// Notes that a commit goes now.
    pub fn on_commit(&mut self, now_ms: u64) {
        let paid_ms = self.paid_until_ms.max(now_ms) + INTERVAL_MS;
        // Urgent commits must not keep the others waiting for long.
        self.paid_until_ms = paid_ms.min(now_ms + BURST_MS + INTERVAL_MS);
    }
}
