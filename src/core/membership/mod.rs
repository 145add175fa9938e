//! Tracks which VMs run a daemon, without a consensus group.
//!
//! [`Membership`] detects failures by probing, and spreads records by gossip. It
//! does no I/O: its inputs are the time and [`MembershipEvent`]s, its outputs are
//! [`MembershipEffect`]s.
//!
//! # Guarantees
//!
//! - A member that answers any of its probers does not stay unreachable for long:
//!   it learns of the suspicion and refutes it by raising its generation.
//! - The record of a later incarnation replaces that of an earlier one, whatever
//!   the order of arrival.
//! - A member that cannot be reached stays expected and is probed periodically,
//!   until its VM is no longer in the platform's list. Views therefore recover
//!   from a network partition between regions without the table.
//! - [`Membership::count_reachable`] counts no members of a data centre that was
//!   not heard from within [`REACHABILITY_TIMEOUT_MS`]. The age counts from before
//!   the request was sent.
//! - A gossip message holds at most [`MAX_GOSSIP_RECORDS`] new or changed records,
//!   and the receiver's own if it is suspected.
//!
//! # Limits
//!
//! - Views can differ for seconds. Decisions that need agreement must not rely on
//!   them alone, but on a lease in the table.
//! - The time to detect a failure is probabilistic.
//! - Members are trusted: one that sends false records can make others count as
//!   unreachable.

mod digest;
mod event;
mod member;
mod membership;
mod notices;
mod queue;
mod reachability;
mod records;
mod ring;
mod view;

pub use self::{
    digest::{BUCKET_COUNT, Digests},
    event::{MembershipEffect, MembershipEvent},
    membership::Membership,
    notices::LEAVING_NOTICE_MS,
    reachability::REACHABILITY_TIMEOUT_MS,
    ring::neighbours,
    view::MAX_GOSSIP_RECORDS,
};
