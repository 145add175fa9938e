use crate::core::guard::{self, Guard};

/// What a VM that leaves does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainStep {
    /// Go on taking work: callers still hold the address.
    Serve {
        /// When no caller holds it any more, in milliseconds.
        until_ms: u64,
    },
    /// Refuse new work and finish what runs.
    Finish,
    /// Close the listeners: nothing runs.
    Close,
}

/// The graceful shutdown of one VM.
///
/// Work is taken until the lists that callers keep have lapsed, then refused;
/// the listeners are closed once nothing runs.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::{Drain, DrainStep};
///
/// let drain = Drain::new(0, 3_000, 1_000);
/// assert_eq!(drain.next_step(10, 0), DrainStep::Serve { until_ms: 4_000 });
/// assert_eq!(drain.next_step(4_000, 1), DrainStep::Finish);
/// assert_eq!(drain.next_step(9_000, 0), DrainStep::Close);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    lapsed_at_ms: u64,
}

impl Drain {
    /// Starts to leave at `now_ms`; callers keep lists for `keep_ms`, and
    /// members go on handing the address out for `spread_ms` at most.
    #[must_use]
    pub fn new(now_ms: u64, keep_ms: u64, spread_ms: u64) -> Self {
        let lapse_ms = if guard::is_on(Guard::DrainWaitsForCallers) {
            keep_ms + spread_ms
        } else {
            0
        };
        Self {
            lapsed_at_ms: now_ms + lapse_ms,
        }
    }

    /// Returns what to do now that `in_progress` requests run.
    #[must_use]
    pub fn next_step(&self, now_ms: u64, in_progress: u32) -> DrainStep {
        if now_ms < self.lapsed_at_ms {
            DrainStep::Serve {
                until_ms: self.lapsed_at_ms,
            }
        } else if in_progress > 0 && guard::is_on(Guard::DrainWaitsForRequests) {
            DrainStep::Finish
        } else {
            DrainStep::Close
        }
    }
}
