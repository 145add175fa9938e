use crate::core::guard::{self, Guard};

/// The next step in the shutdown of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainStep {
    /// Accept requests: callers may still have this VM's address cached.
    Serve {
        /// When no caller has the address cached any more, in milliseconds.
        until_ms: u64,
    },
    /// Refuse new requests and finish those that are running.
    Finish,
    /// Close the listeners: no request is running.
    Close,
}

/// The graceful shutdown of one VM.
///
/// Requests are accepted until the address lists that callers cache have
/// expired, and refused afterwards. The listeners are closed once no request is
/// running.
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
    addresses_expire_at_ms: u64,
}

impl Drain {
    /// Starts a drain at `now_ms`.
    ///
    /// Callers cache address lists for `cache_ms`, and other members may hand
    /// out this VM's address for up to `spread_ms`.
    #[must_use]
    pub fn new(now_ms: u64, cache_ms: u64, spread_ms: u64) -> Self {
        let expires_in_ms = if guard::is_on(Guard::DrainWaitsForCallers) {
            cache_ms + spread_ms
        } else {
            0
        };
        Self {
            addresses_expire_at_ms: now_ms + expires_in_ms,
        }
    }

    /// Returns the step to take while `in_progress` requests are running.
    #[must_use]
    pub fn next_step(&self, now_ms: u64, in_progress: u32) -> DrainStep {
        if now_ms < self.addresses_expire_at_ms {
            DrainStep::Serve {
                until_ms: self.addresses_expire_at_ms,
            }
        } else if in_progress > 0 && guard::is_on(Guard::DrainWaitsForRequests) {
            DrainStep::Finish
        } else {
            DrainStep::Close
        }
    }
}
