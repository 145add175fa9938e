/// For how long measurements count, in milliseconds: about.
const HORIZON_MS: f64 = 5_000.0;
/// The shortest time and the fewest starts from which a rate is known: work that began
/// together also ends together, so that a few starts show nothing.
const MIN_MEASURED_MS: f64 = 1_000.0;
const MIN_STARTS: u32 = 16;

/// How fast waiting work starts, measured while some waits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    /// The work that was started, and the time until the last start.
    work_ms: f64,
    time_ms: f64,
    starts: u32,
    /// The last start, or since when work waits.
    since_ms: Option<u64>,
}

impl DrainRate {
    pub(super) const NEW: Self = Self {
        work_ms: 0.0,
        time_ms: 0.0,
        starts: 0,
        since_ms: None,
    };

    /// Records that work waits.
    pub(super) const fn on_busy(&mut self, now_ms: u64) {
        if self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
        }
    }

    /// Records a start while other work waits.
    pub(super) fn on_start(&mut self, now_ms: u64, work_ms: u64) {
        let Some(since_ms) = self.since_ms.replace(now_ms) else {
            return;
        };
        let interval_ms = to_f64(now_ms.saturating_sub(since_ms));
        let kept = HORIZON_MS / (HORIZON_MS + interval_ms);
        self.work_ms = self.work_ms * kept + to_f64(work_ms);
        self.time_ms = self.time_ms * kept + interval_ms;
        self.starts = self.starts.saturating_add(1);
    }

    /// Records that nothing waits: the time until the next start is not a measure of room.
    pub(super) const fn on_idle(&mut self) {
        self.since_ms = None;
    }

    /// Returns the work that starts in a millisecond, in milliseconds, or `None` before it
    /// was measured.
    pub(super) fn work_per_ms(&self, now_ms: u64) -> Option<f64> {
        if self.starts < MIN_STARTS || self.time_ms < MIN_MEASURED_MS {
            return None;
        }
        // A long time without a start shows that room has become scarcer.
        let waited_ms = self
            .since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        (self.work_ms > 0.0).then(|| self.work_ms / self.time_ms.max(to_f64(waited_ms)))
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
pub(super) const fn to_f64(value: u64) -> f64 {
    value as f64
}
