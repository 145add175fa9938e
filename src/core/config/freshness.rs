use std::collections::BTreeMap;

use crate::core::{
    Name,
    guard::{self, Guard},
};

/// How long a daemon acts on a version after it was last known to be the latest.
pub const FRESHNESS_MS: u64 = 12_000;
/// How often few members are asked while the table does not vouch.
const ASK_FEW_EVERY_MS: u64 = 2_000;
/// How often members are asked while the deadline is near.
const ASK_IN_HASTE_EVERY_MS: u64 = 1_000;
/// How often many are: oftener would not fit the bandwidth of control.
const ASK_MANY_EVERY_MS: u64 = 3_000;
/// From when on the table counts as silent; longer than the longest poll.
const SILENT_MS: u64 = 4_500;
/// Up to so many members, each asks each.
const ASK_ALL: usize = 24;
/// The share of the expected members that make a quorum, in thousandths.
const QUORUM_PERMILLE: usize = 600;

/// Returns how many of `expected` members make a quorum.
///
/// Any two quorums share a member. The share is above one half, so that this
/// also holds while daemons disagree about a fifth of the members.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::quorum;
///
/// assert_eq!([1, 2, 3, 12, 360].map(quorum), [1, 2, 2, 8, 216]);
/// ```
#[must_use]
pub const fn quorum(expected: usize) -> usize {
    (expected * QUORUM_PERMILLE).div_ceil(1_000)
}

/// Says until when a daemon may act on the version that it has in force.
///
/// The table, or a member, vouches for a version if it is asked and knows no
/// later one. A daemon is fresh for [`FRESHNESS_MS`] after the table vouched, or
/// after a quorum of the expected members did, counted from when it asked.
///
/// # Guarantees
///
/// A patch is answered as accepted only once a quorum has its version in
/// force. A later quorum shares a member with that one, which then no longer
/// vouches for the version before. So [`FRESHNESS_MS`] after the answer each
/// daemon has the version in force or is not fresh, whatever is cut.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::{FRESHNESS_MS, Freshness};
///
/// let mut freshness = Freshness::new("vm-1".into(), 0);
/// freshness.on_version_in_force(7);
/// freshness.on_table_read(1_000, 7);
/// assert!(freshness.is_fresh(1_000 + FRESHNESS_MS - 1));
/// assert!(!freshness.is_fresh(1_000 + FRESHNESS_MS));
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    me: Name,
    started_ms: u64,
    number: u64,
    store: Option<Vouch>,
    members: BTreeMap<Name, Vouch>,
    expected: BTreeMap<Name, Name>,
    /// Whether the version here was the latest at some time since the start.
    is_settled: bool,
    deadline_ms: u64,
}

/// That somebody knew no later version than `number` at some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Vouch {
    /// A time not after that at which it was true.
    pub asked_ms: u64,
    /// The version in force there.
    pub number: u64,
}

impl Freshness {
    /// Creates the view of a daemon that started now and has no configuration.
    #[must_use]
    pub const fn new(me: Name, started_ms: u64) -> Self {
        Self {
            me,
            started_ms,
            number: 0,
            store: None,
            members: BTreeMap::new(),
            expected: BTreeMap::new(),
            is_settled: false,
            deadline_ms: 0,
        }
    }

    /// Notes the version in force here.
    pub fn on_version_in_force(&mut self, number: u64) {
        self.number = self.number.max(number);
        self.extend();
    }

    /// Notes the latest version of the table; `asked_ms` is when the read was sent.
    pub fn on_table_read(&mut self, asked_ms: u64, number: u64) {
        self.store = Some(Vouch { asked_ms, number });
        self.extend();
    }

    /// Notes the version in force at another member.
    ///
    /// The time is that of asking the member. Where a third member passes on
    /// what it was told, it is the time of asking that third member, less the
    /// age that it names; never the time at which an answer came in.
    pub fn on_member_vouch(&mut self, member: &Name, vouch: Vouch) {
        let is_newer = self
            .members
            .get(member)
            .is_none_or(|known| known.asked_ms < vouch.asked_ms);
        if is_newer && self.expected.contains_key(member) && *member != self.me {
            self.members.insert(member.clone(), vouch);
            self.extend();
        }
    }

    /// Notes which members are expected, each with its data centre: those that
    /// are known, and not gone for good.
    ///
    /// Members that merely do not answer have to stay in it: a daemon that is
    /// cut off would otherwise be a quorum of its own.
    pub fn on_expected_members(&mut self, expected: BTreeMap<Name, Name>) {
        self.members
            .retain(|member, _| expected.contains_key(member));
        self.expected = expected;
        self.extend();
    }

    /// Returns whether new work may be taken.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        if !guard::is_on(Guard::ConfigFreshness) {
            return self.number > 0;
        }
        let is_alone = self.is_settled && self.is_alone();
        self.number > 0 && (now_ms < self.deadline_ms || is_alone)
    }

    /// Returns whether the table has not vouched lately, so that the members
    /// have to be asked.
    #[must_use]
    pub fn must_ask_members(&self, now_ms: u64) -> bool {
        self.store
            .is_none_or(|store| store.number > self.number || now_ms >= store.asked_ms + SILENT_MS)
    }

    /// Returns the members to ask in turn `turn`: those of the own data centre
    /// that have not vouched for a while, and one of each other data centre,
    /// which passes on what those around it told it. Where members are few,
    /// all that have not vouched for a while.
    ///
    /// To ask each member would cost every daemon 36 exchanges a second among
    /// 360; with one of each data centre it is 16.
    #[must_use]
    pub fn members_to_ask(&self, now_ms: u64, turn: u64) -> Vec<Name> {
        let home = self.expected.get(&self.me);
        let mut data_centres: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for (member, data_centre) in &self.expected {
            if *member != self.me {
                data_centres.entry(data_centre).or_default().push(member);
            }
        }
        let mut chosen = Vec::new();
        for (data_centre, members) in data_centres {
            if Some(data_centre) == home || self.expected.len() <= ASK_ALL {
                let stale = members
                    .into_iter()
                    .filter(|member| self.is_old(member, now_ms));
                chosen.extend(stale.cloned());
            } else {
                // Turns through all, so that one that is down is passed over.
                let index = usize::try_from(turn).unwrap_or_default() % members.len();
                chosen.push(members[index].clone());
            }
        }
        chosen
    }

    fn is_old(&self, member: &Name, now_ms: u64) -> bool {
        let vouch = self.members.get(member);
        vouch.is_none_or(|vouch| now_ms >= vouch.asked_ms + self.ask_interval_ms(now_ms))
    }

    /// Returns how often members are to be asked while the table does not vouch.
    #[must_use]
    pub fn ask_interval_ms(&self, now_ms: u64) -> u64 {
        // Past the deadline, haste saves nothing any more.
        let hastes_from_ms = self.deadline_ms.saturating_sub(FRESHNESS_MS / 2);
        if (hastes_from_ms..self.deadline_ms).contains(&now_ms) {
            ASK_IN_HASTE_EVERY_MS
        } else if self.expected.len() <= ASK_ALL {
            ASK_FEW_EVERY_MS
        } else {
            ASK_MANY_EVERY_MS
        }
    }

    /// Returns what this member answers: that it knows no later version than
    /// its own now, and, for one of another data centre, what those of its own
    /// told it.
    ///
    /// A member that started lately has forgotten what it had in force, so
    /// that it vouches for nothing before others have vouched for it.
    pub fn vouches(&self, now_ms: u64, with_near: bool) -> impl Iterator<Item = (&Name, Vouch)> {
        let home = self.expected.get(&self.me);
        let own = Vouch {
            asked_ms: now_ms,
            number: self.number,
        };
        let near = self
            .members
            .iter()
            .filter(move |(member, _)| with_near && self.expected.get(*member) == home)
            .map(|(member, vouch)| (member, *vouch));
        let own = self.is_settled.then_some((&self.me, own));
        own.into_iter().chain(near)
    }

    /// Returns how many members, this one included, have to take a version
    /// before it is accepted; none while the members are not known.
    #[must_use]
    pub fn quorum(&self) -> Option<usize> {
        (!self.expected.is_empty()).then(|| quorum(self.expected.len()))
    }

    fn is_alone(&self) -> bool {
        self.expected.len() == 1 && self.expected.contains_key(&self.me)
    }

    /// A deadline once given is kept: what vouched for it is still true.
    fn extend(&mut self) {
        let store = self.store.filter(|vouch| vouch.number <= self.number);
        let asked_ms = store
            .map(|vouch| vouch.asked_ms)
            .max(self.quorum_asked_ms());
        if let Some(asked_ms) = asked_ms {
            // What was vouched for before the start says nothing of versions
            // that this member took between then and its start.
            self.is_settled |= asked_ms >= self.started_ms;
            self.deadline_ms = self.deadline_ms.max(asked_ms + FRESHNESS_MS);
        }
    }

    /// Returns the time since which a quorum has vouched.
    fn quorum_asked_ms(&self) -> Option<u64> {
        // One that is not settled does not count itself.
        let others = self.quorum()? - usize::from(self.is_settled);
        let last = others.checked_sub(1)?;
        let vouches = self.members.values();
        let mut asked_ms: Vec<_> = vouches
            .filter(|vouch| vouch.number <= self.number)
            .map(|vouch| vouch.asked_ms)
            .collect();
        asked_ms.sort_unstable_by(|a, b| b.cmp(a));
        asked_ms.get(last).copied()
    }
}
