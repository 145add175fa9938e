/// How long the next commit may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// It may wait for further changes, so that they share one write.
    Paced,
    /// It may not wait: a caller, the trainer or a new holder is blocked until it
    /// has taken effect.
    Now,
}

/// The average time between paced commits, which limits one ledger's share of
/// the store's writes.
const COMMIT_INTERVAL_MS: u64 = 1_000;
/// How far a ledger may exceed its share of writes before it has to wait.
const MAX_BURST_MS: u64 = 3_000;

/// Paces commits to one per interval on average, with bursts after idle time.
///
/// Nothing runs while there is nothing to commit. An urgent commit is due at once
/// but still counts towards the average.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::sample::{CommitPacer, Urgency};
///
/// let mut pacer = CommitPacer::default();
/// for _ in 0..4 {
///     assert_eq!(pacer.due_ms(5_000, Urgency::Paced), 5_000);
///     pacer.on_commit(5_000);
/// }
/// assert_eq!(pacer.due_ms(5_000, Urgency::Paced), 6_000);
/// assert_eq!(pacer.due_ms(5_000, Urgency::Now), 5_000);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitPacer {
    budget_used_until_ms: u64,
}

impl CommitPacer {
    /// Returns when the next commit is due.
    #[must_use]
    pub fn due_ms(&self, now_ms: u64, urgency: Urgency) -> u64 {
        match urgency {
            Urgency::Now => now_ms,
            Urgency::Paced => now_ms.max(self.budget_used_until_ms.saturating_sub(MAX_BURST_MS)),
        }
    }

    /// Records a commit that starts now.
    pub fn on_commit(&mut self, now_ms: u64) {
        let used_until_ms = self.budget_used_until_ms.max(now_ms) + COMMIT_INTERVAL_MS;
        // Bounded, so that urgent commits do not delay paced ones for long.
        self.budget_used_until_ms = used_until_ms.min(now_ms + MAX_BURST_MS + COMMIT_INTERVAL_MS);
    }
}
