/// The longest time after the end of a window at which its counts are collected, in
/// milliseconds: requests have been written by then, and a report leaves time for a new
/// holder before it is due.
const MAX_COLLECT_DELAY_MS: u64 = 4_000;
/// The share of the time until a report is due after which the counts are collected, in
/// percent.
const COLLECT_PERCENT: u64 = 40;

/// The windows in which usage is counted, by the true time since the start of 1970.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::UsageWindows;
///
/// let windows = UsageWindows::from_seconds(5.0, 10.0);
/// assert_eq!(windows.window_of(12_000), 2);
/// assert_eq!(windows.end_ms(2), 15_000);
/// assert_eq!(windows.collect_at_ms(2), 19_000);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageWindows {
    length_ms: u64,
    collect_delay_ms: u64,
}

impl UsageWindows {
    /// Creates windows of a length, whose reports are due some time after their end.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings are checked, and the cast saturates"
    )]
    pub fn from_seconds(length_s: f64, due_s: f64) -> Self {
        let report_delay_ms = (due_s * 1_000.0).round() as u64;
        Self {
            length_ms: ((length_s * 1_000.0).round() as u64).max(1),
            collect_delay_ms: (report_delay_ms * COLLECT_PERCENT / 100).min(MAX_COLLECT_DELAY_MS),
        }
    }

    /// Returns the window that contains a time.
    #[must_use]
    pub const fn window_of(&self, true_ms: u64) -> u64 {
        true_ms / self.length_ms
    }

    /// Returns the end of a window.
    #[must_use]
    pub const fn end_ms(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.length_ms)
    }

    /// Returns when the counts of a window are collected.
    #[must_use]
    pub const fn collect_at_ms(&self, window: u64) -> u64 {
        self.end_ms(window).saturating_add(self.collect_delay_ms)
    }
}
