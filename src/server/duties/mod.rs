//! The duties on the platform's API, which one VM holds at a time: its lease, its calls,
//! and the loop in which they are done.

mod handle;
mod lease;
mod run;
mod scale;
mod state;

pub(crate) use self::{
    handle::DutyHandle,
    lease::{keep_lease, on_lease_row},
    run::run_duties,
    state::Duties,
};
