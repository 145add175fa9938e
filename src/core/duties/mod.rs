//! The decisions of duties: work on the platform's API that one VM does at a time.

mod calls;
mod counts;
mod reports;
mod request_count;
mod true_time;
mod usage_report;
mod windows;
mod write_pace;

pub use self::{
    calls::{CallAnswer, DutyCalls},
    counts::{CountWrite, UsageCounts},
    reports::Reports,
    request_count::RequestCount,
    true_time::median_offset_ms,
    usage_report::UsageReport,
    windows::UsageWindows,
    write_pace::WritePace,
};
