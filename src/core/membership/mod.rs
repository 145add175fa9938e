//! Which VMs run a daemon, without a consensus group.
//!
//! [`Membership`] detects failures and spreads what it learns. It does no I/O:
//! it is told the time and what happened as an [`MembershipEvent`], and says what to do
//! as [`MembershipEffect`]s.
//!
//! # Guarantees
//!
//! - A member that answers any of its probers is never unreachable for long:
//!   it hears of the suspicion and refutes it by raising its generation.
//! - A later incarnation replaces an earlier one, in any order of arrival.
//! - A member that cannot be reached stays expected, and is probed now and
//!   then, until the platform's list says that its VM is gone. A cut between
//!   regions therefore heals by itself, without the table.
//! - [`Membership::count_reachable`] never counts a data centre of which nothing was
//!   heard within [`REACHABILITY_TIMEOUT_MS`], counted from before the question was sent.
//! - Messages are bounded: at most [`MAX_GOSSIP_RECORDS`] records each.
//!
//! # Limits
//!
//! - Views differ for seconds. Nothing that has to be agreed may rest on them
//!   alone; a lease in the table is for that.
//! - The time to know of a failure is a matter of probability.
//! - A member is trusted: one that lies can hold others unreachable.

mod digest;
mod event;
mod member;
mod membership;
mod notices;
mod queue;
mod reach;
mod records;
mod ring;
mod view;

pub use self::{
    digest::{BUCKET_COUNT, Digests},
    event::{MembershipEffect, MembershipEvent},
    membership::Membership,
    notices::LEAVING_NOTICE_MS,
    reach::REACHABILITY_TIMEOUT_MS,
    ring::neighbours,
    view::MAX_GOSSIP_RECORDS,
};
