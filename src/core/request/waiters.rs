use crate::core::guard::{self, Guard};

/// How long a run continues after its last waiting caller has disconnected.
pub const CALLER_GONE_GRACE_MS: u64 = 500;

/// Counts the callers that wait for one run.
///
/// An idempotent run without waiting callers is abandoned after
/// [`CALLER_GONE_GRACE_MS`], unless a caller reconnects and joins it before. A
/// non-idempotent run continues to its end, because its answer is kept for the
/// caller's resend.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::Waiters;
///
/// let mut waiters = Waiters::new(true);
/// waiters.leave(1_000);
/// assert!(!waiters.try_abandon(1_100));
/// assert!(waiters.try_join());
/// assert!(!waiters.try_abandon(9_000));
/// waiters.leave(9_000);
/// assert!(waiters.try_abandon(9_500));
/// assert!(!waiters.try_join());
/// ```
#[derive(Clone, Debug)]
pub struct Waiters {
    count: u32,
    may_abandon: bool,
    abandon_at_ms: Option<u64>,
    is_abandoned: bool,
}

impl Waiters {
    /// Creates a count of one waiting caller.
    #[must_use]
    pub const fn new(may_abandon: bool) -> Self {
        Self {
            count: 1,
            may_abandon,
            abandon_at_ms: None,
            is_abandoned: false,
        }
    }

    /// Adds a caller. Returns false if the run has been abandoned.
    pub const fn try_join(&mut self) -> bool {
        if self.is_abandoned {
            return false;
        }
        self.count += 1;
        self.abandon_at_ms = None;
        true
    }

    /// Removes a caller that has disconnected.
    pub fn leave(&mut self, now_ms: u64) {
        self.count = self.count.saturating_sub(1);
        if self.count == 0 && self.may_abandon {
            let grace_ms = if guard::is_on(Guard::CallerGoneGrace) {
                CALLER_GONE_GRACE_MS
            } else {
                0
            };
            self.abandon_at_ms = Some(now_ms + grace_ms);
        }
    }

    /// Returns when the run is abandoned if no caller joins before.
    #[must_use]
    pub const fn abandon_at_ms(&self) -> Option<u64> {
        self.abandon_at_ms
    }

    /// Abandons the run if it is due, and returns whether it is abandoned.
    pub fn try_abandon(&mut self, now_ms: u64) -> bool {
        self.is_abandoned |= self.abandon_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        self.is_abandoned
    }
}
