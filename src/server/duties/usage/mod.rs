//! The usage duty: each VM counts callers' requests and writes its counts, and the holder
//! of the duties reports them.

mod collect;
mod count;
mod report;
mod rows;
mod time;
mod write;

pub(crate) use self::{
    count::{AttemptUsage, RequestUsage},
    time::{own_offset_ms, set_true_offset},
    write::{flush_counts, write_counts},
};
pub(super) use self::{report::UsageDuty, time::UsageState};
