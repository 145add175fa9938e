use std::collections::BTreeMap;

use rand::{Rng, seq::IteratorRandom};

use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::peers::{MemberRecord, MemberState},
};

/// One member's view of all members.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Name,
    records: BTreeMap<Name, MemberRecord>,
}

impl Membership {
    /// Creates a view that knows only this member.
    #[must_use]
    pub fn new(me: MemberRecord) -> Self {
        let name = me.vm.clone();
        Self {
            me: name.clone(),
            records: BTreeMap::from([(name, me)]),
        }
    }

    /// Takes records from another member or from the table, and says whether
    /// any was news.
    pub fn merge<I>(&mut self, records: I) -> bool
    where
        I: IntoIterator<Item = MemberRecord>,
    {
        let mut is_news = false;
        for record in records {
            if record.vm == self.me {
                continue;
            }
            let is_newer = self
                .records
                .get(&record.vm)
                .is_none_or(|known| rank(&record) > rank(known));
            if is_newer {
                self.records.insert(record.vm.clone(), record);
                is_news = true;
            }
        }
        is_news
    }

    /// Announces that this member shuts down.
    pub fn leave(&mut self) {
        if let Some(me) = self.records.get_mut(&self.me) {
            me.state = MemberState::Leaving;
        }
    }

    /// Returns this member's own record.
    ///
    /// # Panics
    ///
    /// Never: the own record is always known.
    #[must_use]
    pub fn me(&self) -> &MemberRecord {
        &self.records[&self.me]
    }

    /// Returns every record known, in the order of names.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Returns the members that take work.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.state == MemberState::Alive)
    }

    /// Draws another member to exchange records with.
    pub fn draw_peer<R>(&self, rng: &mut R) -> Option<&MemberRecord>
    where
        R: Rng,
    {
        self.records()
            .filter(|record| record.vm != self.me && record.state != MemberState::Dead)
            .choose(rng)
    }
}

fn rank(record: &MemberRecord) -> (u64, u64, MemberState) {
    if guard::is_on(Guard::Incarnation) {
        (record.incarnation, record.generation, record.state)
    } else {
        (0, 0, record.state)
    }
}
