//! The duties on the platform's API, which one VM holds at a time: its lease, its calls,
//! and the loop in which they are done.

mod handle;
mod lease;
mod run;
mod scale;
mod state;
mod usage;

pub(crate) use self::{
    handle::DutyHandle,
    lease::{keep_lease, on_lease_row},
    run::run_duties,
    state::Duties,
    usage::{
        AttemptUsage, RequestUsage, flush_counts, own_offset_ms, set_true_offset, write_counts,
    },
};
