use std::collections::BTreeMap;

use super::{UsageReport, WritePace};
use crate::core::Name;

/// The most windows that one write covers.
const MAX_WINDOWS_PER_WRITE: usize = 16;
/// How many windows whose counts are written are kept, so that a refusal that comes late
/// can still be taken back.
const KEPT_WINDOWS: u64 = 24;

/// The write of one window's counts, which takes effect only if the row still has the
/// expected version: an earlier write that is delayed must not undo a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CountWrite {
    /// The window.
    pub window: u64,
    /// The counts of this VM.
    pub report: UsageReport,
    /// The version that the row must have; 0 if there must be no row.
    pub row_version: u64,
}

#[derive(Clone, Debug, Default)]
struct WindowCounts {
    current: UsageReport,
    written: UsageReport,
    row_version: u64,
}

impl WindowCounts {
    fn unwritten(&self) -> u64 {
        let (current, written) = (&self.current.counts, &self.written.counts);
        let changed = current.iter().map(|(account, count)| {
            let before = written.get(account).copied().unwrap_or(0);
            count.abs_diff(before)
        });
        let gone = written.iter();
        let gone = gone.filter(|(account, _)| !current.contains_key(*account));
        changed.chain(gone.map(|(_, count)| *count)).sum()
    }
}

/// The counts of one VM by window, and which of them are to be written.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::{UsageCounts, WritePace};
///
/// let pace = WritePace::new(1, 0, 0);
/// let mut counts = UsageCounts::default();
/// counts.on_begun(7, &"club".into(), 1_000);
/// assert_eq!(counts.write_at_ms(&pace), Some(1_050));
/// let writes = counts.begin_write(1_050);
/// counts.on_written(&writes, 40);
/// assert_eq!(counts.write_at_ms(&pace), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<u64, WindowCounts>,
    /// When the first change was made that is not part of a write.
    changed_ms: Option<u64>,
    /// When the last write was begun, whatever became of it.
    write_begun_ms: Option<u64>,
}

impl UsageCounts {
    /// Counts a request of an account.
    pub fn on_begun(&mut self, window: u64, account: &Name, now_ms: u64) {
        let counts = &mut self.windows.entry(window).or_default().current.counts;
        *counts.entry(account.clone()).or_default() += 1;
        self.changed_ms.get_or_insert(now_ms);
    }

    /// Takes the count of a request back.
    pub fn on_not_run(&mut self, window: u64, account: &Name, now_ms: u64) {
        // The window may have been dropped since.
        let Some(known) = self.windows.get_mut(&window) else {
            return;
        };
        let counts = &mut known.current.counts;
        if let Some(count) = counts.get_mut(account) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                counts.remove(account);
            }
        }
        self.changed_ms.get_or_insert(now_ms);
    }

    /// Returns when the next write is due, if anything is to be written.
    #[must_use]
    pub fn write_at_ms(&self, pace: &WritePace) -> Option<u64> {
        let changed_ms = self.changed_ms?;
        Some(pace.write_at_ms(changed_ms, self.write_begun_ms))
    }

    /// Returns what is to be written now; the newest windows, if there are many.
    pub fn begin_write(&mut self, now_ms: u64) -> Vec<CountWrite> {
        self.write_begun_ms = Some(now_ms);
        self.changed_ms = None;
        let unwritten = self.windows.iter().rev();
        let unwritten = unwritten.filter(|(_, counts)| counts.current != counts.written);
        let mut writes: Vec<CountWrite> = unwritten
            .map(|(window, counts)| CountWrite {
                window: *window,
                report: counts.current.clone(),
                row_version: counts.row_version,
            })
            .collect();
        if writes.len() > MAX_WINDOWS_PER_WRITE {
            writes.truncate(MAX_WINDOWS_PER_WRITE);
            self.changed_ms = Some(now_ms);
        }
        writes
    }

    /// Records that a write was committed, and drops old windows that are written.
    pub fn on_written(&mut self, writes: &[CountWrite], row_version: u64) {
        for write in writes {
            if let Some(known) = self.windows.get_mut(&write.window) {
                known.written = write.report.clone();
                known.row_version = row_version;
            }
        }
        let newest = self.windows.keys().next_back().copied().unwrap_or(0);
        self.windows.retain(|window, counts| {
            window.saturating_add(KEPT_WINDOWS) > newest || counts.current != counts.written
        });
    }

    /// Records the version of a row that a write found instead of the expected one: that
    /// of an earlier write whose answer was lost, or 0 if the row was deleted.
    pub fn on_conflict(&mut self, window: u64, row_version: u64) {
        if let Some(known) = self.windows.get_mut(&window) {
            known.row_version = row_version;
        }
    }

    /// Records that a write was not committed, as far as is known: it is repeated.
    pub fn on_not_written(&mut self, now_ms: u64) {
        self.changed_ms.get_or_insert(now_ms);
    }

    /// Returns the number of requests whose counting is not written yet.
    #[must_use]
    pub fn unwritten(&self) -> u64 {
        self.windows.values().map(WindowCounts::unwritten).sum()
    }
}
