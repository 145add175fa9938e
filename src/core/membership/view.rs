use std::collections::BTreeSet;

use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};

use super::{
    BUCKET_COUNT, Membership,
    digest::{bucket, summarize},
    member::Member,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};

/// The most new or changed records in one gossip message.
pub const MAX_GOSSIP_RECORDS: usize = 24;
/// The most leaving notices in one gossip message.
const MAX_GOSSIP_NOTICES: usize = 24;
/// The most members that are drawn for one caller.
const MAX_CALLER_ADDRESSES: usize = 16;
/// How many of the members drawn for a caller are reserved for other data centres.
const MIN_FAR_ADDRESSES: usize = 4;

/// Outgoing messages and queries.
impl Membership {
    /// Builds the gossip request for a member.
    ///
    /// It holds the records that are queued for gossip. If the receiver is
    /// suspected or counts as gone, its own record is added, so that it can refute
    /// this.
    pub fn build_gossip_request(&mut self, now_ms: u64, to: &str) -> Gossip {
        let max_sends = self.max_sends();
        let mut names = self.gossip_queue.take(MAX_GOSSIP_RECORDS, max_sends);
        let is_suspected = self.members.get(to).is_some_and(|member| {
            matches!(
                member.record.state,
                MemberState::Suspect | MemberState::Gone
            )
        });
        if is_suspected && !names.iter().any(|name| &**name == to) {
            names.push(to.into());
        }
        let records = names
            .iter()
            .filter_map(|name| Some(self.members.get(name)?.record.clone()));
        Gossip {
            from: self.me.clone(),
            config_number: 0,
            records: records.collect(),
            crashes: Vec::new(),
            digest: summarize(&self.digests()),
            heard: Vec::new(),
            leaving: self.notices.take(now_ms, MAX_GOSSIP_NOTICES, max_sends),
        }
    }

    /// Builds the answer to a gossip request of the member `to`.
    pub fn build_gossip_answer(&mut self, now_ms: u64, to: &str) -> Gossip {
        Gossip {
            heard: self.reachability.ages(now_ms),
            ..self.build_gossip_request(now_ms, to)
        }
    }

    /// Returns up to `limit` records of the buckets whose digests differ from those
    /// in `request`, starting at `first_bucket`.
    #[must_use]
    pub fn differing_records(
        &self,
        request: &[u64],
        first_bucket: usize,
        limit: usize,
    ) -> Vec<MemberRecord> {
        let own = self.digests();
        let order =
            (0..BUCKET_COUNT).map(|step| (first_bucket % BUCKET_COUNT + step) % BUCKET_COUNT);
        let differing = order.filter(|index| request.get(*index) != Some(&own[*index]));
        differing
            .flat_map(|index| {
                self.records()
                    .filter(move |record| bucket(&record.vm) == index)
            })
            .take(limit)
            .cloned()
            .collect()
    }

    /// Marks this member as leaving, which is gossiped to all neighbours at the
    /// next event.
    pub fn leave(&mut self) {
        self.update_own_record(|me| me.state = MemberState::Leaving);
        self.is_urgent = true;
    }

    /// Returns this member's own record.
    ///
    /// # Panics
    ///
    /// Never, as the own record is always present.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        &self.members[&self.me].record
    }

    /// Returns all known records, in the order of names.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the records of the members that take work: those that are neither
    /// unreachable, leaving nor gone.
    pub fn members_taking_work(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|member| member.takes_work())
            .map(|member| &member.record)
    }

    /// Returns whether a member has stopped answering.
    #[must_use]
    pub fn is_unreachable(&self, vm: &str) -> bool {
        self.members
            .get(vm)
            .is_some_and(|member| member.unreachable_since_ms.is_some())
    }

    /// Returns the number of members, including this one, that are not gone,
    /// whether or not they can be reached.
    #[must_use]
    pub fn count_expected(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.is_expected())
            .count()
    }

    /// Returns the records of the members that [`Membership::count_expected`] counts.
    pub fn expected_records(&self) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.values();
        let expected = members.filter(|member| member.is_expected());
        expected.map(|member| &member.record)
    }

    /// Returns the number of members, including this one, that count as reachable.
    ///
    /// A member counts while it is expected and not unreachable, and its data
    /// centre was heard from, directly or through others, within
    /// [`super::REACHABILITY_TIMEOUT_MS`]. This member always counts.
    #[must_use]
    pub fn count_reachable(&self, now_ms: u64) -> usize {
        let is_heard_from = |member: &Member| {
            !guard::is_on(Guard::ReachEvidence)
                || member.record.vm == self.me
                || self
                    .reachability
                    .is_reachable(now_ms, &member.record.data_centre)
        };
        self.members
            .values()
            .filter(|member| member.is_answering() && is_heard_from(member))
            .count()
    }

    /// Returns the VMs that the platform is about to remove.
    #[must_use]
    pub fn leaving_vms(&self) -> BTreeSet<Name> {
        self.notices.leaving()
    }

    /// Draws the members that a caller may use: a bounded number of those that take
    /// work, those of the data centre `near` first.
    ///
    /// Each call draws anew, so that callers are spread over the members.
    pub fn draw_members_for_caller<R>(&self, near: &str, rng: &mut R) -> Vec<&MemberRecord>
    where
        R: Rng,
    {
        let is_near = |record: &&MemberRecord| &*record.data_centre == near;
        let near_count = MAX_CALLER_ADDRESSES - MIN_FAR_ADDRESSES;
        let mut drawn = self
            .members_taking_work()
            .filter(is_near)
            .choose_multiple(rng, near_count);
        drawn.shuffle(rng);
        let far_count = MAX_CALLER_ADDRESSES - drawn.len();
        let far = self.members_taking_work().filter(|record| !is_near(record));
        let mut far = far.choose_multiple(rng, far_count);
        far.shuffle(rng);
        drawn.extend(far);
        drawn
    }
}
