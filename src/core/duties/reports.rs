use std::collections::BTreeMap;

use super::{UsageReport, UsageWindows};

/// The holder's view of the reports: which window is to be stored next, and which stored
/// reports the platform has not acknowledged.
///
/// Reports are stored in the order of their windows, and only what is stored is sent.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::{Reports, UsageReport, UsageWindows};
///
/// let windows = UsageWindows::from_seconds(5.0, 10.0);
/// let mut reports = Reports::from_store(2, []);
/// assert_eq!(reports.due_to_store(&windows, 18_999), None);
/// assert_eq!(reports.due_to_store(&windows, 19_000), Some(2));
/// reports.on_stored(2, UsageReport::default());
/// assert_eq!(reports.next_to_send().map(|(window, _)| window), Some(2));
/// assert_eq!(reports.first_open(), 2);
/// reports.on_acknowledged(2);
/// assert_eq!(reports.first_open(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct Reports {
    next_window: u64,
    unacknowledged: BTreeMap<u64, Unacknowledged>,
}

#[derive(Clone, Debug)]
struct Unacknowledged {
    report: UsageReport,
    /// How often the report was sent without success.
    failures: u32,
}

impl From<UsageReport> for Unacknowledged {
    fn from(report: UsageReport) -> Self {
        Self {
            report,
            failures: 0,
        }
    }
}

impl Reports {
    /// Creates the view from the first window that is not known to be acknowledged, and the
    /// stored reports.
    pub fn from_store<I>(first_open: u64, stored: I) -> Self
    where
        I: IntoIterator<Item = (u64, UsageReport)>,
    {
        let stored = stored.into_iter();
        // What is stored of earlier windows was acknowledged.
        let open = stored.filter(|(window, _)| *window >= first_open);
        let unacknowledged: BTreeMap<u64, Unacknowledged> = open
            .map(|(window, report)| (window, report.into()))
            .collect();
        let last = unacknowledged.keys().next_back();
        Self {
            next_window: last.map_or(first_open, |window| window + 1),
            unacknowledged,
        }
    }

    /// Returns the window whose counts are to be collected and stored now.
    #[must_use]
    pub fn due_to_store(&self, windows: &UsageWindows, true_ms: u64) -> Option<u64> {
        let is_due = true_ms >= windows.collect_at_ms(self.next_window);
        is_due.then_some(self.next_window)
    }

    /// Records that the report of the next window was stored.
    pub fn on_stored(&mut self, window: u64, report: UsageReport) {
        self.unacknowledged.insert(window, report.into());
        self.next_window = window + 1;
    }

    /// Returns the report that is to be sent next: of those that failed least often the
    /// oldest, so that one that is never accepted holds up no other.
    #[must_use]
    pub fn next_to_send(&self) -> Option<(u64, &UsageReport)> {
        let waiting = self.unacknowledged.iter();
        let (window, next) = waiting.min_by_key(|(window, next)| (next.failures, **window))?;
        Some((*window, &next.report))
    }

    /// Records that a report was sent without success.
    pub fn on_failed(&mut self, window: u64) {
        if let Some(failed) = self.unacknowledged.get_mut(&window) {
            failed.failures = failed.failures.saturating_add(1);
        }
    }

    /// Records that the platform has accepted the report of a window.
    pub fn on_acknowledged(&mut self, window: u64) {
        self.unacknowledged.remove(&window);
    }

    /// Returns the first window whose report is not acknowledged; all earlier ones are.
    #[must_use]
    pub fn first_open(&self) -> u64 {
        let first = self.unacknowledged.keys().next().copied();
        first.unwrap_or(self.next_window)
    }
}
