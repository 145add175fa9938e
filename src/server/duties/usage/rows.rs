use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The table of the counts and reports of usage.
pub(super) const USAGE_TABLE: &str = "usage";
/// The key of the row that says which reports are acknowledged. Keys of counts begin with
/// a digit and come before it.
pub(super) const PROGRESS_KEY: &str = "~progress";
const REPORT_PREFIX: &str = "~report/";
/// The first key after those of counts.
pub(super) const COUNTS_END: &str = "~";

/// Which reports are acknowledged, and which holder reports last.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct ProgressRow {
    /// The first window whose report is not acknowledged.
    pub(super) first_open: u64,
    /// The fence of the holder that wrote the row.
    pub(super) fence: u64,
}

/// Returns the key of a VM's counts for a window.
pub(super) fn count_key(window: u64, vm: &str, incarnation: u64) -> Name {
    format!("{window:012}/{vm}/{incarnation}").into()
}

/// Returns the first key of the counts for a window.
pub(super) fn first_count_key(window: u64) -> String {
    format!("{window:012}/")
}

/// Returns the window from the key of a VM's counts.
pub(super) fn window_of_count_key(key: &str) -> Option<u64> {
    key.split('/').next()?.parse().ok()
}

/// Returns the key of the report for a window.
pub(super) fn report_key(window: u64) -> Name {
    format!("{REPORT_PREFIX}{window:012}").into()
}

/// Returns the window from the key of a report.
pub(super) fn window_of_report_key(key: &str) -> Option<u64> {
    key.strip_prefix(REPORT_PREFIX)?.parse().ok()
}
