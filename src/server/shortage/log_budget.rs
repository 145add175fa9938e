/// The most lines about decisions that a VM logs in a second.
const MAX_LINES_PER_S: u32 = 20;
const SECOND_MS: u64 = 1_000;

/// Bounds the log lines about decisions.
#[derive(Debug, Default)]
pub(super) struct LogBudget {
    second_began_ms: u64,
    lines: u32,
    /// The decisions without a line since the last one.
    unlogged: u64,
}

impl LogBudget {
    /// Returns how many decisions were not logged before, or `None` if this one is not
    /// logged either.
    pub(super) const fn take(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms >= self.second_began_ms + SECOND_MS {
            self.second_began_ms = now_ms;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_S {
            self.unlogged += 1;
            return None;
        }
        self.lines += 1;
        let unlogged = self.unlogged;
        self.unlogged = 0;
        Some(unlogged)
    }
}
