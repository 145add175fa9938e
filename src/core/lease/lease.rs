use super::LeaseRow;
use crate::core::{
    Name,
    guard::{self, Guard},
};

/// The length of a term, counted from before the write that took or last renewed
/// the lease was sent.
pub const TERM_MS: u64 = 10_000;
/// How long before the end of its term a holder stops acting.
pub const STOP_MARGIN_MS: u64 = 1_000;
/// How long after the write that took or last renewed the lease a holder renews
/// it.
pub const RENEW_AFTER_MS: u64 = 5_000;

/// The action that takes or keeps a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Do nothing before the given time.
    Wait {
        /// When to call [`Lease::next_action`] again.
        until_ms: u64,
    },
    /// Read the row, then call [`Lease::on_read`].
    Read,
    /// Write the row by compare-and-set, then call [`Lease::on_written`],
    /// [`Lease::on_conflict`] or [`Lease::on_unanswered`].
    Write {
        /// The new row.
        row: LeaseRow,
        /// The version that the row must have; 0 if there must be no row.
        row_version: u64,
    },
}

/// One member's view of one lease.
///
/// Clocks need not be synchronized. A holder counts its term from before it sent
/// the write; a challenger counts a full term from the time at which it first read
/// that version of the row. Two members therefore never act at the same time, as
/// long as their clocks drift apart by less than the margin during a term.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::lease::{Lease, LeaseAction};
///
/// let mut lease = Lease::new("vm-1".into(), 7);
/// assert_eq!(lease.next_action(0), LeaseAction::Read);
/// lease.on_read(0, None, 0);
/// let LeaseAction::Write { row, row_version } = lease.next_action(0) else { panic!() };
/// assert_eq!((row.fence, row_version), (1, 0));
/// lease.on_written(0, row, 1);
/// assert_eq!(lease.fence(0), Some(1));
/// assert_eq!(lease.fence(60_000), None);
/// ```
#[derive(Clone, Debug)]
pub struct Lease {
    me: Name,
    incarnation: u64,
    known: Option<KnownRow>,
    held: Option<HeldTerm>,
    unanswered: Option<UnansweredWrite>,
}

/// A write without an answer, which may have taken effect.
#[derive(Clone, Debug)]
struct UnansweredWrite {
    sent_ms: u64,
    row: LeaseRow,
    row_version: u64,
}

/// The row as this member last read or wrote it.
#[derive(Clone, Debug)]
struct KnownRow {
    row: Option<LeaseRow>,
    row_version: u64,
    /// When this member may take the lease, unless the row changes before.
    free_at_ms: u64,
}

/// The term in which this member holds the lease.
#[derive(Clone, Debug)]
struct HeldTerm {
    fence: u64,
    deadline_ms: u64,
    renew_at_ms: u64,
}

impl Lease {
    /// Creates a view that has not read the row yet.
    #[must_use]
    pub const fn new(me: Name, incarnation: u64) -> Self {
        Self {
            me,
            incarnation,
            known: None,
            held: None,
            unanswered: None,
        }
    }

    /// Returns the action that takes or keeps the lease at the time `now_ms`.
    #[must_use]
    pub fn next_action(&self, now_ms: u64) -> LeaseAction {
        let Some(known) = &self.known else {
            return LeaseAction::Read;
        };
        if let Some(held) = &self.held {
            if now_ms < held.renew_at_ms {
                return LeaseAction::Wait {
                    until_ms: held.renew_at_ms,
                };
            }
            return self.build_write(known, held.fence);
        }
        if now_ms < known.free_at_ms {
            return LeaseAction::Wait {
                until_ms: known.free_at_ms,
            };
        }
        let last_fence = known.row.as_ref().map_or(0, |row| row.fence);
        self.build_write(known, last_fence + 1)
    }

    fn build_write(&self, known: &KnownRow, fence: u64) -> LeaseAction {
        let row = LeaseRow {
            holder: Some(self.me.clone()),
            incarnation: self.incarnation,
            fence,
        };
        LeaseAction::Write {
            row,
            row_version: known.row_version,
        }
    }

    /// Records the row as it was read; a version that is already known changes
    /// nothing.
    ///
    /// If the row was written by this member's unanswered write, that write counts
    /// as successful. Any other row that names this member as the holder counts as
    /// not held, because it is unknown when its write was sent: a full term must
    /// pass first.
    pub fn on_read(&mut self, now_ms: u64, row: Option<LeaseRow>, row_version: u64) {
        if let Some(sent_ms) = self.unanswered_write_sent_ms(row.as_ref(), row_version)
            && let Some(row) = row
        {
            self.on_written(sent_ms, row, row_version);
            return;
        }
        if self
            .known
            .as_ref()
            .is_some_and(|known| known.row_version == row_version)
        {
            return;
        }
        let is_free = row.as_ref().is_none_or(|row| row.holder.is_none());
        let free_at_ms = if is_free { now_ms } else { now_ms + TERM_MS };
        self.held = None;
        self.known = Some(KnownRow {
            row,
            row_version,
            free_at_ms,
        });
    }

    /// Records that a write sent at `sent_ms` was committed and gave the row the
    /// version `row_version`.
    pub fn on_written(&mut self, sent_ms: u64, row: LeaseRow, row_version: u64) {
        self.held = row.holder.as_ref().map(|_| HeldTerm {
            fence: row.fence,
            deadline_ms: sent_ms + TERM_MS,
            renew_at_ms: sent_ms + RENEW_AFTER_MS,
        });
        self.known = Some(KnownRow {
            row: Some(row),
            row_version,
            free_at_ms: sent_ms + TERM_MS,
        });
    }

    /// Returns the earliest time at which the unanswered write can have been sent,
    /// if that write made this row.
    fn unanswered_write_sent_ms(&self, row: Option<&LeaseRow>, row_version: u64) -> Option<u64> {
        let unanswered = self.unanswered.as_ref()?;
        let is_own = row == Some(&unanswered.row) && row_version == unanswered.row_version + 1;
        (is_own && guard::is_on(Guard::SettleByReading)).then_some(unanswered.sent_ms)
    }

    /// Records that the row had another version, so that it must be read again.
    pub fn on_conflict(&mut self) {
        self.known = None;
    }

    /// Records that a write of `row` over version `row_version`, sent at `sent_ms`,
    /// got no answer. The row must be read to determine whether it took effect.
    ///
    /// If an earlier write of the same row over the same version got no answer
    /// either, that one may have taken effect, so the term counts from it.
    pub fn on_unanswered(&mut self, sent_ms: u64, row: LeaseRow, row_version: u64) {
        self.known = None;
        let first = self.unanswered.take();
        let first = first.filter(|first| first.row_version == row_version && first.row == row);
        self.unanswered = first.or(Some(UnansweredWrite {
            sent_ms,
            row,
            row_version,
        }));
    }

    /// Returns the fencing number while this member holds the lease and may act,
    /// otherwise `None`.
    ///
    /// It may act until a margin before the end of its term.
    #[must_use]
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_expired = now_ms + STOP_MARGIN_MS >= held.deadline_ms;
        if is_expired && guard::is_on(Guard::LeaseDeadline) {
            return None;
        }
        Some(held.fence)
    }

    /// Returns the holder according to the last row that this member read or wrote,
    /// or `None` if the row is unknown or names no holder.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        self.known.as_ref()?.row.as_ref()?.holder.as_ref()
    }

    /// Returns the write that gives up the lease, if this member holds it.
    #[must_use]
    pub fn release(&self, now_ms: u64) -> Option<LeaseAction> {
        let fence = self.fence(now_ms)?;
        let known = self.known.as_ref()?;
        let row = LeaseRow {
            holder: None,
            incarnation: self.incarnation,
            fence,
        };
        Some(LeaseAction::Write {
            row,
            row_version: known.row_version,
        })
    }
}
