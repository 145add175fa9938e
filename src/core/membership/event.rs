use std::collections::BTreeSet;

use super::Digests;
use crate::{
    core::Name,
    wire::peers::{Gossip, MemberRecord},
};

/// An input to [`Membership::handle`](super::Membership::handle).
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The time that [`Membership::next_deadline_ms`] returned has been reached.
    ///
    /// [`Membership::next_deadline_ms`]: super::Membership::next_deadline_ms
    Deadline,
    /// Another member sent a gossip request.
    GossipReceived(Gossip),
    /// A probe was answered.
    ProbeAnswered {
        /// The probe's number.
        probe: u64,
        /// The answer to the probe.
        gossip: Gossip,
    },
    /// A probe was not answered in time.
    ProbeUnanswered {
        /// The probe's number.
        probe: u64,
    },
    /// The target of a probe answered an indirect probe through another member.
    ReachedIndirectly {
        /// The probe's number.
        probe: u64,
    },
    /// Records were received from the table or through anti-entropy.
    RecordsReceived(Vec<MemberRecord>),
    /// The platform's list of VMs was read.
    PlatformListRead {
        /// All VMs in the list.
        vms: BTreeSet<Name>,
        /// The VMs that the list marks as leaving.
        leaving: BTreeSet<Name>,
    },
    /// Something changed that must reach every member without delay, so that all
    /// neighbours are probed now.
    UrgentChange,
}

/// An action that the caller of [`Membership::handle`](super::Membership::handle)
/// must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEffect {
    /// Exchange gossip with a member, and report the outcome as
    /// [`MembershipEvent::ProbeAnswered`] or [`MembershipEvent::ProbeUnanswered`].
    Probe {
        /// The probe's number.
        probe: u64,
        /// The member to probe.
        to: MemberRecord,
    },
    /// Ask a member to probe another one, and report success as
    /// [`MembershipEvent::ReachedIndirectly`].
    ProbeThrough {
        /// The probe's number.
        probe: u64,
        /// The member to ask.
        through: MemberRecord,
        /// The member to probe.
        target: MemberRecord,
    },
    /// Ask a member for the records of the buckets whose digests differ.
    Synchronise {
        /// The member to ask.
        with: MemberRecord,
        /// The digests of this member's view.
        digests: Digests,
        /// The bucket to start from.
        first_bucket: usize,
    },
    /// Read the members' rows from the table, and report them as
    /// [`MembershipEvent::RecordsReceived`].
    ReadTable,
    /// Delete the row of a member that is gone.
    DeleteRow {
        /// The last known record of the member.
        record: MemberRecord,
    },
    /// The set of leaving VMs, [`Membership::leaving_vms`], may have changed.
    ///
    /// [`Membership::leaving_vms`]: super::Membership::leaving_vms
    LeavingChanged,
}
