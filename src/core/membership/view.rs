use std::collections::BTreeSet;

use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};

use super::{
    BUCKET_COUNT, Membership,
    digest::{bucket, summary},
    member::Member,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};

/// The most records in one message.
pub const MAX_GOSSIP_RECORDS: usize = 24;
const MAX_NOTICES: usize = 24;
const MAX_ADDRESSES: usize = 16;
const MIN_FAR_ADDRESSES: usize = 4;

/// What a member tells others, and what it can be asked.
impl Membership {
    /// Returns the message for a member: what is new, and what is held of it.
    ///
    /// A member that is suspected has to hear of it to refute it.
    pub fn build_gossip_request(&mut self, now_ms: u64, to: &str) -> Gossip {
        let max_sends = self.max_sends();
        let mut names = self.news.take(MAX_GOSSIP_RECORDS, max_sends);
        let is_doubted = self.members.get(to).is_some_and(|member| {
            matches!(
                member.record.state,
                MemberState::Suspect | MemberState::Gone
            )
        });
        if is_doubted && !names.iter().any(|name| &**name == to) {
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
            digest: summary(&self.digests()),
            heard: Vec::new(),
            leaving: self.notices.take(now_ms, MAX_NOTICES, max_sends),
        }
    }

    /// Returns the answer to a member's message.
    pub fn build_gossip_answer(&mut self, now_ms: u64, to: &str) -> Gossip {
        Gossip {
            heard: self.reach.ages(now_ms),
            ..self.build_gossip_request(now_ms, to)
        }
    }

    /// Returns up to `limit` records of buckets that differ from a member's.
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

    /// Announces that this member shuts down.
    pub fn leave(&mut self) {
        self.update_me(|me| me.state = MemberState::Leaving);
        self.is_urgent = true;
    }

    /// Returns this member's own record.
    ///
    /// # Panics
    ///
    /// Never: the own record is always known.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        &self.members[&self.me].record
    }

    /// Returns every record known, in the order of names.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the members that take work.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|member| member.takes_work())
            .map(|member| &member.record)
    }

    /// Returns whether a member does not answer any more.
    #[must_use]
    pub fn is_unreachable(&self, vm: &str) -> bool {
        self.members
            .get(vm)
            .is_some_and(|member| member.unreachable_since_ms.is_some())
    }

    /// Returns how many members there are, with this one: all that are not
    /// gone for good, whether or not they can be reached.
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

    /// Returns how many members, with this one, were lately heard of, directly
    /// or through others.
    ///
    /// A member counts while it is not unreachable and its data centre was
    /// heard of within [`super::REACHABILITY_TIMEOUT_MS`].
    #[must_use]
    pub fn count_reachable(&self, now_ms: u64) -> usize {
        let is_heard = |member: &Member| {
            !guard::is_on(Guard::ReachEvidence)
                || member.record.vm == self.me
                || self.reach.is_reachable(now_ms, &member.record.data_centre)
        };
        self.members
            .values()
            .filter(|member| member.is_answering() && is_heard(member))
            .count()
    }

    /// Returns the VMs that the platform is about to take away.
    #[must_use]
    pub fn leaving_vms(&self) -> BTreeSet<Name> {
        self.notices.leaving()
    }

    /// Draws the members to which a caller is sent: a bounded number of those
    /// that take work, those of the data centre `near` first.
    ///
    /// Each caller gets a draw of its own, so that callers spread.
    pub fn draw_members_for_caller<R>(&self, near: &str, rng: &mut R) -> Vec<&MemberRecord>
    where
        R: Rng,
    {
        let is_near = |record: &&MemberRecord| &*record.data_centre == near;
        let near_count = MAX_ADDRESSES - MIN_FAR_ADDRESSES;
        let mut drawn = self
            .alive()
            .filter(is_near)
            .choose_multiple(rng, near_count);
        drawn.shuffle(rng);
        let far_count = MAX_ADDRESSES - drawn.len();
        let far = self.alive().filter(|record| !is_near(record));
        let mut far = far.choose_multiple(rng, far_count);
        far.shuffle(rng);
        drawn.extend(far);
        drawn
    }
}
