/// How long before the end of the grace period the process exits in any case, in
/// milliseconds: it is killed when the period is over.
const KILL_MARGIN_MS: u64 = 300;
/// How long before the end of the grace period the process exits if no caller waits
/// any more, in milliseconds.
const IDLE_EXIT_MARGIN_MS: u64 = 1_200;
/// How long before it may exit the process closes connections, in milliseconds: by then
/// callers have refreshed their list of VMs.
const CONNECTION_CLOSE_LEAD_MS: u64 = 1_500;

/// When a VM that was told to stop closes its connections and exits.
///
/// Work is admitted only if it ends before the process does, so that no exit cuts it.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::StopSchedule;
///
/// let stop = StopSchedule::new(0, 8_000);
/// assert!(stop.admits(2_000));
/// assert!(!stop.admits(12_000));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// When callers' connections are closed, those in use after their request.
    pub close_at_ms: u64,
    /// When the process exits if no caller is connected any more.
    pub idle_exit_at_ms: u64,
    /// When the process exits in any case.
    pub exit_at_ms: u64,
}

impl StopSchedule {
    /// Starts a stop at `now_ms`; the process is killed `grace_ms` later.
    #[must_use]
    pub const fn new(now_ms: u64, grace_ms: u64) -> Self {
        let idle_exit_in_ms = grace_ms.saturating_sub(IDLE_EXIT_MARGIN_MS);
        let close_in_ms = idle_exit_in_ms.saturating_sub(CONNECTION_CLOSE_LEAD_MS);
        Self {
            close_at_ms: now_ms.saturating_add(close_in_ms),
            idle_exit_at_ms: now_ms.saturating_add(idle_exit_in_ms),
            exit_at_ms: now_ms.saturating_add(grace_ms.saturating_sub(KILL_MARGIN_MS)),
        }
    }

    /// Returns whether work may still begin that ends by `ends_by_ms`.
    #[must_use]
    pub const fn admits(&self, ends_by_ms: u64) -> bool {
        ends_by_ms <= self.exit_at_ms
    }
}
