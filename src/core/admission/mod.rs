//! Admission control: how many requests of a service run at once, and in which
//! order requests are admitted.

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
