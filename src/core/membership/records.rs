use super::{
    BUCKET_COUNT, Digests, Membership, MembershipEffect,
    digest::{digests, summary},
    member::Member,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::peers::{Gossip, MemberRecord, MemberState},
};

const SUSPICION_MS: u64 = 5_000;
/// How much longer a suspicion waits while many members are suspected at once.
const MASS_FACTOR: u64 = 3;
const FORGET_MS: u64 = 600_000;
const SETTLED_MS: u64 = 3_000;
const SYNCHRONISE_MS: u64 = 2_000;

/// How records of members are merged, doubted and refuted.
impl Membership {
    pub(super) fn absorb(
        &mut self,
        now_ms: u64,
        gossip: Gossip,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let mut is_leaving_new = false;
        for notice in &gossip.leaving {
            is_leaving_new |= self.notices.on_told(now_ms, notice);
        }
        if is_leaving_new {
            self.is_urgent = true;
            effects.push(MembershipEffect::LeavingChanged);
        }
        self.merge(now_ms, gossip.records);
        let digests = self.digests();
        let is_settled = now_ms >= self.changed_ms + SETTLED_MS;
        let is_due = now_ms >= self.synchronise_at_ms && (is_settled || self.members.len() == 1);
        if gossip.digest == summary(&digests) || !is_due || !guard::is_on(Guard::AntiEntropy) {
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
        self.synchronise_at_ms = now_ms + SYNCHRONISE_MS;
    }

    pub(super) fn suspect(&mut self, now_ms: u64, target: &Name) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        if member.record.state == MemberState::Leaving {
            // It has most likely left. Nobody else is told before that is sure.
            let deadline_ms = now_ms + SUSPICION_MS * MASS_FACTOR;
            member.suspicion_deadline_ms.get_or_insert(deadline_ms);
            return;
        }
        let mut record = member.record.clone();
        record.state = MemberState::Suspect;
        self.merge(now_ms, [record]);
        if !guard::is_on(Guard::Suspicion) {
            self.end_suspicion(now_ms, target);
        }
    }

    pub(super) fn end_suspicions(&mut self, now_ms: u64) {
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
            self.end_suspicion(now_ms, &name);
        }
    }

    fn end_suspicion(&mut self, now_ms: u64, name: &Name) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.suspicion_deadline_ms = None;
        if member.record.state == MemberState::Leaving {
            let mut record = member.record.clone();
            record.state = MemberState::Gone;
            self.merge(now_ms, [record]);
            return;
        }
        member.unreachable_since_ms = Some(now_ms);
        if !guard::is_on(Guard::KeepUnreachable) {
            member.record.state = MemberState::Gone;
            member.forget_at_ms = Some(now_ms + FORGET_MS);
        }
    }

    /// Takes records from the table or from anti-entropy, and does not pass
    /// them on: others have them from there too. A member that starts would
    /// else tell all it read, and so would all that start with it.
    pub(super) fn learn(&mut self, now_ms: u64, records: Vec<MemberRecord>) {
        let news = self.news.clone();
        self.merge(now_ms, records);
        self.news = news;
        if self.is_urgent {
            // The own refutation is news all the same.
            self.news.push(self.me.clone());
        }
    }

    pub(super) fn merge<I>(&mut self, now_ms: u64, records: I)
    where
        I: IntoIterator<Item = MemberRecord>,
    {
        for record in records {
            if record.vm == self.me {
                self.refute(now_ms, &record);
            } else {
                self.merge_other(now_ms, record);
            }
        }
    }

    fn refute(&mut self, now_ms: u64, told: &MemberRecord) {
        let me = self.own_record();
        let is_doubted = matches!(told.state, MemberState::Suspect | MemberState::Gone);
        if told.incarnation == me.incarnation && told.generation >= me.generation && is_doubted {
            let generation = told.generation + 1;
            self.update_me(|me| me.generation = generation);
            self.is_urgent = true;
            self.changed_ms = now_ms;
        }
    }

    pub(super) fn update_me<F>(&mut self, update: F)
    where
        F: FnOnce(&mut MemberRecord),
    {
        if let Some(me) = self.members.get_mut(&self.me) {
            update(&mut me.record);
            self.news.push(self.me.clone());
        }
    }

    fn merge_other(&mut self, now_ms: u64, record: MemberRecord) {
        let known = self.members.get(&record.vm);
        if known.is_some_and(|known| rank(&record) <= rank(&known.record)) {
            return;
        }
        if known.is_none() && record.state == MemberState::Gone {
            return;
        }
        let suspicion_ms = self.suspicion_ms();
        let name = record.vm.clone();
        let state = record.state;
        let mut member = Member::new(record);
        match state {
            MemberState::Suspect => member.suspicion_deadline_ms = Some(now_ms + suspicion_ms),
            MemberState::Gone => member.forget_at_ms = Some(now_ms + FORGET_MS),
            MemberState::Alive | MemberState::Leaving => {}
        }
        self.members.insert(name.clone(), member);
        self.news.push(name);
        self.changed_ms = now_ms;
    }

    /// A quarter of all members suspected at once is rather a cut, or a flood
    /// of old suspicions after it: refutations then need longer to arrive.
    fn suspicion_ms(&self) -> u64 {
        let suspected = self
            .members
            .values()
            .filter(|member| member.suspicion_deadline_ms.is_some())
            .count();
        if suspected * 4 > self.members.len().max(12) {
            SUSPICION_MS * MASS_FACTOR
        } else {
            SUSPICION_MS
        }
    }

    pub(super) fn digests(&self) -> Digests {
        digests(self.records())
    }

    pub(super) fn max_sends(&self) -> u32 {
        const FACTOR: u32 = 3;
        FACTOR * (self.members.len() + 1).next_power_of_two().ilog2()
    }
}

fn rank(record: &MemberRecord) -> (u64, u64, MemberState) {
    if guard::is_on(Guard::Incarnation) {
        (record.incarnation, record.generation, record.state)
    } else {
        (0, 0, record.state)
    }
}
