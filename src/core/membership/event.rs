use std::collections::BTreeSet;

use super::Digests;
use crate::{
    core::Name,
    wire::peers::{Gossip, MemberRecord},
};

/// What happened to a member.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The time of `next_deadline_ms` has come.
    Deadline,
    /// Another member sent its news.
    GossipReceived(Gossip),
    /// A probe was answered.
    ProbeAnswered {
        /// The probe's number.
        probe: u64,
        /// The answer.
        gossip: Gossip,
    },
    /// A probe was not answered in time.
    ProbeUnanswered {
        /// The probe's number.
        probe: u64,
    },
    /// Another member reached the target of a probe.
    ReachedIndirectly {
        /// The probe's number.
        probe: u64,
    },
    /// Records came from the table or from anti-entropy.
    RecordsReceived(Vec<MemberRecord>),
    /// The platform's list of VMs was read.
    PlatformListRead {
        /// All VMs in the list.
        vms: BTreeSet<Name>,
        /// Those that it says are leaving.
        leaving: BTreeSet<Name>,
    },
    /// Something changed that every member is to hear of at once.
    UrgentChange,
}

/// What a member wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEffect {
    /// Exchange news with a member, and report what came of it.
    Probe {
        /// The probe's number.
        probe: u64,
        /// The member.
        to: MemberRecord,
    },
    /// Ask a member to probe another one.
    ProbeThrough {
        /// The probe's number.
        probe: u64,
        /// The member to ask.
        through: MemberRecord,
        /// The member to be probed.
        target: MemberRecord,
    },
    /// Ask a member for the records of buckets that differ.
    Synchronise {
        /// The member to ask.
        with: MemberRecord,
        /// The own digests.
        digests: Digests,
        /// The bucket to start from.
        first_bucket: usize,
    },
    /// Read the members' rows in the table.
    ReadTable,
    /// Delete the row of a member that is gone.
    DeleteRow {
        /// The member as it was known.
        record: MemberRecord,
    },
    /// The set of VMs that leave has changed.
    LeavingChanged,
}
