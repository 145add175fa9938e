use super::{
    BUCKET_COUNT, Digests, Membership, MembershipEffect,
    digest::{compute_digests, summarize},
    member::Member,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};

/// How long a suspected member has to refute the suspicion.
const SUSPICION_TIMEOUT_MS: u64 = 5_000;
/// How many times longer a suspicion lasts while many members are suspected at
/// once, or for a member that is leaving.
const MASS_SUSPICION_FACTOR: u64 = 3;
/// How long the record of a member that is gone is kept.
const GONE_RETENTION_MS: u64 = 600_000;
/// How long the view must be unchanged before anti-entropy starts.
const STABLE_VIEW_MS: u64 = 3_000;
/// The least time between two synchronisations that this member starts.
const MIN_SYNCHRONISE_INTERVAL_MS: u64 = 2_000;

/// Merging of records, suspicions and their refutation.
impl Membership {
    /// Merges a gossip message, and starts anti-entropy with the sender if its
    /// digest differs, one is due, and the view is stable or holds only this member.
    pub(super) fn merge_gossip(
        &mut self,
        now_ms: u64,
        gossip: Gossip,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let mut has_new_leaving = false;
        for notice in &gossip.leaving {
            has_new_leaving |= self.notices.on_gossip(now_ms, notice);
        }
        if has_new_leaving {
            self.is_urgent = true;
            effects.push(MembershipEffect::LeavingChanged);
        }
        self.merge_records(now_ms, gossip.records);
        let digests = self.digests();
        let is_stable = now_ms >= self.last_change_ms + STABLE_VIEW_MS;
        let is_due = now_ms >= self.next_synchronise_ms && (is_stable || self.members.len() == 1);
        if gossip.digest == summarize(&digests) || !is_due || !guard::is_on(Guard::AntiEntropy) {
            return;
        }
        let Some(with) = self.members.get(&gossip.from) else {
            return;
        };
        effects.push(MembershipEffect::Synchronise {
            with: with.record.clone(),
            digests,
            first_bucket: self.first_bucket,
        });
        self.first_bucket = (self.first_bucket + 1) % BUCKET_COUNT;
        self.next_synchronise_ms = now_ms + MIN_SYNCHRONISE_INTERVAL_MS;
    }

    /// Starts a suspicion of a member that did not answer.
    pub(super) fn suspect(&mut self, now_ms: u64, target: &Name) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        if member.record.state == MemberState::Leaving {
            // The member has most likely left, which is gossiped only once the
            // suspicion expires.
            let deadline_ms = now_ms + SUSPICION_TIMEOUT_MS * MASS_SUSPICION_FACTOR;
            member.suspicion_deadline_ms.get_or_insert(deadline_ms);
            return;
        }
        let mut record = member.record.clone();
        record.state = MemberState::Suspect;
        self.merge_records(now_ms, [record]);
        if !guard::is_on(Guard::Suspicion) {
            self.expire_suspicion(now_ms, target);
        }
    }

    pub(super) fn expire_suspicions(&mut self, now_ms: u64) {
        let due: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member
                    .suspicion_deadline_ms
                    .is_some_and(|deadline_ms| deadline_ms <= now_ms)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.expire_suspicion(now_ms, &name);
        }
    }

    fn expire_suspicion(&mut self, now_ms: u64, name: &Name) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.suspicion_deadline_ms = None;
        if member.record.state == MemberState::Leaving {
            let mut record = member.record.clone();
            record.state = MemberState::Gone;
            self.merge_records(now_ms, [record]);
            return;
        }
        member.unreachable_since_ms = Some(now_ms);
        if !guard::is_on(Guard::KeepUnreachable) {
            member.record.state = MemberState::Gone;
            member.forget_at_ms = Some(now_ms + GONE_RETENTION_MS);
        }
    }

    /// Merges records from the table or from anti-entropy without gossiping them:
    /// other members get them from there too. Otherwise a starting member would
    /// gossip all that it read, and so would all that start with it.
    pub(super) fn merge_without_gossip(&mut self, now_ms: u64, records: Vec<MemberRecord>) {
        let gossip_queue = self.gossip_queue.clone();
        self.merge_records(now_ms, records);
        self.gossip_queue = gossip_queue;
        if self.is_urgent {
            // This member's refutation of a suspicion is gossiped nevertheless.
            self.gossip_queue.push(self.me.clone());
        }
    }

    pub(super) fn merge_records<I>(&mut self, now_ms: u64, records: I)
    where
        I: IntoIterator<Item = MemberRecord>,
    {
        for record in records {
            if record.vm == self.me {
                self.refute_suspicion(now_ms, &record);
            } else {
                self.merge_record(now_ms, record);
            }
        }
    }

    fn refute_suspicion(&mut self, now_ms: u64, reported: &MemberRecord) {
        let me = self.own_record();
        let is_suspected = matches!(reported.state, MemberState::Suspect | MemberState::Gone);
        if reported.incarnation == me.incarnation
            && reported.generation >= me.generation
            && is_suspected
        {
            let generation = reported.generation + 1;
            self.update_own_record(|me| me.generation = generation);
            self.is_urgent = true;
            self.last_change_ms = now_ms;
        }
    }

    pub(super) fn update_own_record<F>(&mut self, update: F)
    where
        F: FnOnce(&mut MemberRecord),
    {
        if let Some(me) = self.members.get_mut(&self.me) {
            update(&mut me.record);
            self.gossip_queue.push(self.me.clone());
        }
    }

    fn merge_record(&mut self, now_ms: u64, record: MemberRecord) {
        let known = self.members.get(&record.vm);
        if known.is_some_and(|known| precedence(&record) <= precedence(&known.record)) {
            return;
        }
        if known.is_none() && record.state == MemberState::Gone {
            return;
        }
        let suspicion_timeout_ms = self.suspicion_timeout_ms();
        let name = record.vm.clone();
        let state = record.state;
        let mut member = Member::new(record);
        match state {
            MemberState::Suspect => {
                member.suspicion_deadline_ms = Some(now_ms + suspicion_timeout_ms);
            }
            MemberState::Gone => member.forget_at_ms = Some(now_ms + GONE_RETENTION_MS),
            MemberState::Alive | MemberState::Leaving => {}
        }
        self.members.insert(name.clone(), member);
        self.gossip_queue.push(name);
        self.last_change_ms = now_ms;
    }

    /// Returns how long a new suspicion lasts.
    ///
    /// More than a quarter of all members, and at least four, suspected at once
    /// points to a network partition, or to many old suspicions that arrive after
    /// it. Refutations then take longer to arrive.
    fn suspicion_timeout_ms(&self) -> u64 {
        let suspected = self
            .members
            .values()
            .filter(|member| member.suspicion_deadline_ms.is_some())
            .count();
        if suspected * 4 > self.members.len().max(12) {
            SUSPICION_TIMEOUT_MS * MASS_SUSPICION_FACTOR
        } else {
            SUSPICION_TIMEOUT_MS
        }
    }

    pub(super) fn digests(&self) -> Digests {
        compute_digests(self.records())
    }

    /// Returns how often an item is gossiped, which grows with the logarithm of the
    /// number of members.
    pub(super) fn max_sends(&self) -> u32 {
        const FACTOR: u32 = 3;
        FACTOR * (self.members.len() + 1).next_power_of_two().ilog2()
    }
}

/// Returns the key by which the record with the higher one replaces the other.
fn precedence(record: &MemberRecord) -> (u64, u64, MemberState) {
    if guard::is_on(Guard::Incarnation) {
        (record.incarnation, record.generation, record.state)
    } else {
        (0, 0, record.state)
    }
}
