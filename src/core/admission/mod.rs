//! How much work a service takes at once, and who goes first.

mod adaptive;
mod limit;
mod queue;
mod share;

pub use self::{
    adaptive::AdaptiveLimit,
    limit::{ConcurrencyLimit, Priority},
    queue::{Admission, Decision, Dequeued, RequestEnd},
    share::{RESERVED_BACKGROUND_PERCENT, caller_cap, sample_room},
};
