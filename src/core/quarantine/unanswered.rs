use std::sync::Arc;

use crate::core::Name;

/// How long a run that brought no answer may turn out to have crashed its
/// endpoint, in milliseconds: the platform removes a silent endpoint from its
/// list within about four seconds.
const UNANSWERED_KEEP_MS: u64 = 5_000;
/// The most runs that are kept.
const MAX_UNANSWERED_RUNS: usize = 1_000;

/// Runs that ended without an answer at endpoints that may have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct UnansweredRuns {
    /// In the order in which they ended.
    runs: Vec<UnansweredRun>,
}

/// A run that ended without an answer.
#[derive(Clone, Debug)]
pub(super) struct UnansweredRun {
    pub(super) endpoint: Name,
    pub(super) incarnation: u64,
    pub(super) fingerprint: Arc<str>,
    pub(super) ended_ms: u64,
}

impl UnansweredRuns {
    pub(super) fn push(&mut self, run: UnansweredRun) {
        self.expire(run.ended_ms);
        self.runs.push(run);
        let excess = self.runs.len().saturating_sub(MAX_UNANSWERED_RUNS);
        self.runs.drain(..excess);
    }

    /// Removes and returns the contents of the runs at one incarnation of an
    /// endpoint.
    pub(super) fn take(&mut self, now_ms: u64, endpoint: &Name, incarnation: u64) -> Vec<Arc<str>> {
        self.expire(now_ms);
        let is_there =
            |run: &mut UnansweredRun| run.endpoint == *endpoint && run.incarnation == incarnation;
        let taken = self.runs.extract_if(.., is_there);
        taken.map(|run| run.fingerprint).collect()
    }

    /// Forgets the runs of a content that has completed.
    pub(super) fn forget(&mut self, fingerprint: &Arc<str>) {
        self.runs.retain(|run| run.fingerprint != *fingerprint);
    }

    fn expire(&mut self, now_ms: u64) {
        let is_old = |run: &UnansweredRun| run.ended_ms + UNANSWERED_KEEP_MS <= now_ms;
        let old = self.runs.iter().take_while(|run| is_old(run)).count();
        self.runs.drain(..old);
    }
}
