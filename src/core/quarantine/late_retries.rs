use std::{collections::BTreeMap, sync::Arc};

/// The number of runs that all VMs together may send of a content that has
/// crashed [`MAX_CRASHES`](super::MAX_CRASHES) endpoints, if runs have to be
/// claimed.
pub const MAX_LATE_RETRIES: u32 = 2;
/// How long after a crash or a claim the first late retry may be claimed, in
/// milliseconds; doubled for the second one.
pub const LATE_RETRY_DELAY_MS: u64 = 2_000;

/// Whether a content that has crashed [`MAX_CRASHES`](super::MAX_CRASHES)
/// endpoints may run again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LateRetryPolicy {
    /// It may run as a trial on each daemon while other contents are blamed for
    /// the same crashes.
    #[default]
    WhileShared,
    /// Each run has to be claimed, and all VMs together have
    /// [`MAX_LATE_RETRIES`].
    Claimed,
}

/// The late retries that VMs have claimed.
#[derive(Clone, Debug, Default)]
pub(super) struct LateRetries {
    by_content: BTreeMap<Arc<str>, ClaimedRetries>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ClaimedRetries {
    count: u32,
    last_at_ms: u64,
}

/// The next late retry of a content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NextRetry {
    /// Counted from 1.
    pub(super) number: u32,
    pub(super) ready_at_ms: u64,
}

impl LateRetries {
    /// Records a claim by any VM; one that was recorded before is ignored.
    pub(super) fn on_claim(&mut self, at_ms: u64, content: &Arc<str>, number: u32) {
        let claimed = self.by_content.entry(content.clone()).or_default();
        if number > claimed.count {
            claimed.count = number;
            claimed.last_at_ms = at_ms;
        }
    }

    /// Returns the next late retry of a content that crashed an endpoint at
    /// `crashed_at_ms`; `None` if none is left.
    pub(super) fn next(&self, content: &Arc<str>, crashed_at_ms: u64) -> Option<NextRetry> {
        let claimed = self.by_content.get(content).copied().unwrap_or_default();
        let delay_ms = LATE_RETRY_DELAY_MS << claimed.count.min(MAX_LATE_RETRIES);
        (claimed.count < MAX_LATE_RETRIES).then(|| NextRetry {
            number: claimed.count + 1,
            ready_at_ms: crashed_at_ms.max(claimed.last_at_ms) + delay_ms,
        })
    }

    pub(super) fn forget(&mut self, content: &Arc<str>) {
        self.by_content.remove(content);
    }

    /// Keeps the contents for which `is_kept` returns true.
    pub(super) fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&Arc<str>) -> bool,
    {
        self.by_content.retain(|content, _| is_kept(content));
    }
}
