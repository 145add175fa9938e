use std::collections::BTreeMap;

use crate::core::{
    Name,
    guard::{self, Guard},
};

/// How long a daemon acts on a version after it was last known to be the latest.
pub const FRESHNESS_MS: u64 = 12_000;
/// The interval between queries of up to [`ASK_ALL_MAX_MEMBERS`] members while
/// the table does not vouch.
const ASK_FEW_INTERVAL_MS: u64 = 2_000;
/// The interval between queries of members in the last half of [`FRESHNESS_MS`]
/// before the deadline.
const ASK_URGENT_INTERVAL_MS: u64 = 1_000;
/// The interval between queries of more than [`ASK_ALL_MAX_MEMBERS`] members. A
/// shorter one would exceed the bandwidth for control messages.
const ASK_MANY_INTERVAL_MS: u64 = 3_000;
/// The table counts as silent this long after the last answered read was sent;
/// longer than the longest poll.
const TABLE_SILENT_MS: u64 = 4_500;
/// The maximum number of members at which every member asks every other one.
const ASK_ALL_MAX_MEMBERS: usize = 24;
/// The share of the expected members that forms a quorum, in thousandths.
const QUORUM_PERMILLE: usize = 600;

/// Returns how many of `expected` members form a quorum.
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

/// Tracks until when a daemon may act on the version that it has in force.
///
/// The table, or a member, vouches for a version by answering a query without
/// knowing a later version. A daemon is fresh for [`FRESHNESS_MS`] after the
/// table or a quorum of the expected members vouched, counted from the time at
/// which the query was sent.
///
/// # Guarantees
///
/// A patch is acknowledged as accepted only once a quorum has its version in
/// force. Every later quorum shares a member with that one, and this member no
/// longer vouches for the previous version. [`FRESHNESS_MS`] after the
/// acknowledgement, each daemon therefore either has the version in force or is
/// not fresh, regardless of network partitions.
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
    /// The version in force at this daemon.
    number: u64,
    /// The last answer of the table.
    table_vouch: Option<Vouch>,
    /// The last answer of each member.
    member_vouches: BTreeMap<Name, Vouch>,
    /// The data centre of each expected member.
    expected: BTreeMap<Name, Name>,
    /// Whether the version in force here was known to be the latest at some
    /// time since the start.
    was_latest: bool,
    deadline_ms: u64,
}

/// A statement of a member or of the table that it knew no version later than
/// `number`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Vouch {
    /// A time at or before the one at which the statement was true.
    pub asked_ms: u64,
    /// The version in force there.
    pub number: u64,
}

impl Freshness {
    /// Creates the state of a daemon without a configuration that starts at
    /// `started_ms`.
    #[must_use]
    pub const fn new(me: Name, started_ms: u64) -> Self {
        Self {
            me,
            started_ms,
            number: 0,
            table_vouch: None,
            member_vouches: BTreeMap::new(),
            expected: BTreeMap::new(),
            was_latest: false,
            deadline_ms: 0,
        }
    }

    /// Records the version in force at this daemon.
    pub fn on_version_in_force(&mut self, number: u64) {
        self.number = self.number.max(number);
        self.extend_deadline();
    }

    /// Records the latest version of the table.
    ///
    /// `asked_ms` is the time at which the read was sent.
    pub fn on_table_read(&mut self, asked_ms: u64, number: u64) {
        self.table_vouch = Some(Vouch { asked_ms, number });
        self.extend_deadline();
    }

    /// Records the version in force at another member.
    ///
    /// The time of `vouch` is the one at which the member was asked. If another
    /// member relays the statement, it is the time at which the relaying member
    /// was asked, minus the age that it reports. It is never the time at which
    /// an answer arrived.
    pub fn on_member_vouch(&mut self, member: &Name, vouch: Vouch) {
        let is_newer = self
            .member_vouches
            .get(member)
            .is_none_or(|known| known.asked_ms < vouch.asked_ms);
        if is_newer && self.expected.contains_key(member) && *member != self.me {
            self.member_vouches.insert(member.clone(), vouch);
            self.extend_deadline();
        }
    }

    /// Records the expected members, each with its data centre: all known
    /// members that have not left permanently.
    ///
    /// Members that merely do not answer must be included. A daemon that is
    /// partitioned from the others would otherwise form a quorum by itself.
    pub fn on_expected_members(&mut self, expected: BTreeMap<Name, Name>) {
        self.member_vouches
            .retain(|member, _| expected.contains_key(member));
        self.expected = expected;
        self.extend_deadline();
    }

    /// Returns whether this daemon may accept new work.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        if !guard::is_on(Guard::ConfigFreshness) {
            return self.number > 0;
        }
        let is_sole_member = self.was_latest && self.is_sole_member();
        self.number > 0 && (now_ms < self.deadline_ms || is_sole_member)
    }

    /// Returns whether the members must be asked because the table has not
    /// vouched recently.
    #[must_use]
    pub fn must_ask_members(&self, now_ms: u64) -> bool {
        self.table_vouch.is_none_or(|vouch| {
            vouch.number > self.number || now_ms >= vouch.asked_ms + TABLE_SILENT_MS
        })
    }

    /// Returns the members to ask in round `round`.
    ///
    /// These are the members of the own data centre whose last answer is
    /// outdated, and one member of each other data centre, which relays the
    /// answers of its data centre. If there are few members, they are all
    /// members whose last answer is outdated.
    ///
    /// With 360 members, asking every member would cost each daemon 36
    /// exchanges per second; asking one of each other data centre costs 16.
    #[must_use]
    pub fn members_to_ask(&self, now_ms: u64, round: u64) -> Vec<Name> {
        let own_data_centre = self.expected.get(&self.me);
        let mut data_centres: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for (member, data_centre) in &self.expected {
            if *member != self.me {
                data_centres.entry(data_centre).or_default().push(member);
            }
        }
        let mut chosen = Vec::new();
        for (data_centre, members) in data_centres {
            if Some(data_centre) == own_data_centre || self.expected.len() <= ASK_ALL_MAX_MEMBERS {
                let outdated = members
                    .into_iter()
                    .filter(|member| self.is_outdated(member, now_ms));
                chosen.extend(outdated.cloned());
            } else {
                // Rotates through the members, so that one that is down is
                // skipped in the next round.
                let index = usize::try_from(round).unwrap_or_default() % members.len();
                chosen.push(members[index].clone());
            }
        }
        chosen
    }

    fn is_outdated(&self, member: &Name, now_ms: u64) -> bool {
        let vouch = self.member_vouches.get(member);
        vouch.is_none_or(|vouch| now_ms >= vouch.asked_ms + self.ask_interval_ms(now_ms))
    }

    /// Returns the interval between queries of the members while the table does
    /// not vouch.
    #[must_use]
    pub fn ask_interval_ms(&self, now_ms: u64) -> u64 {
        // After the deadline, asking more often has no benefit.
        let urgent_from_ms = self.deadline_ms.saturating_sub(FRESHNESS_MS / 2);
        if (urgent_from_ms..self.deadline_ms).contains(&now_ms) {
            ASK_URGENT_INTERVAL_MS
        } else if self.expected.len() <= ASK_ALL_MAX_MEMBERS {
            ASK_FEW_INTERVAL_MS
        } else {
            ASK_MANY_INTERVAL_MS
        }
    }

    /// Returns the statements with which this member answers a query.
    ///
    /// The first is that this member knows no later version than its own now.
    /// If `with_near` is set, as in queries from another data centre, the last
    /// answers of the members of its own data centre follow.
    ///
    /// After a restart, a member no longer knows which version it had in force.
    /// It therefore does not vouch until the table or a quorum has vouched for its
    /// version.
    pub fn vouches(&self, now_ms: u64, with_near: bool) -> impl Iterator<Item = (&Name, Vouch)> {
        let own_data_centre = self.expected.get(&self.me);
        let own = Vouch {
            asked_ms: now_ms,
            number: self.number,
        };
        let near = self
            .member_vouches
            .iter()
            .filter(move |(member, _)| with_near && self.expected.get(*member) == own_data_centre)
            .map(|(member, vouch)| (member, *vouch));
        let own = self.was_latest.then_some((&self.me, own));
        own.into_iter().chain(near)
    }

    /// Returns how many members, including this one, must have a version in
    /// force before it is accepted.
    ///
    /// Returns `None` while the members are unknown.
    #[must_use]
    pub fn quorum(&self) -> Option<usize> {
        (!self.expected.is_empty()).then(|| quorum(self.expected.len()))
    }

    fn is_sole_member(&self) -> bool {
        self.expected.len() == 1 && self.expected.contains_key(&self.me)
    }

    /// Extends the deadline according to the statements received so far.
    ///
    /// The deadline never moves back: the statements that justified it remain
    /// true.
    fn extend_deadline(&mut self) {
        let table_vouch = self.table_vouch.filter(|vouch| vouch.number <= self.number);
        let asked_ms = table_vouch
            .map(|vouch| vouch.asked_ms)
            .max(self.quorum_asked_ms());
        if let Some(asked_ms) = asked_ms {
            // A statement from before the start does not cover versions that
            // this member put in force between that time and its start.
            self.was_latest |= asked_ms >= self.started_ms;
            self.deadline_ms = self.deadline_ms.max(asked_ms + FRESHNESS_MS);
        }
    }

    /// Returns the latest time `t` such that a quorum has vouched at or after `t`.
    fn quorum_asked_ms(&self) -> Option<u64> {
        // This member counts itself only if it vouches for its own version.
        let others = self.quorum()? - usize::from(self.was_latest);
        let last = others.checked_sub(1)?;
        let vouches = self.member_vouches.values();
        let mut asked_ms: Vec<_> = vouches
            .filter(|vouch| vouch.number <= self.number)
            .map(|vouch| vouch.asked_ms)
            .collect();
        asked_ms.sort_unstable_by(|a, b| b.cmp(a));
        asked_ms.get(last).copied()
    }
}
