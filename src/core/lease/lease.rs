use super::LeaseRow;
use crate::core::{
    Name,
    guard::{self, Guard},
};

/// How long a holder may act after the write that it last renewed with.
pub const TERM_MS: u64 = 10_000;
/// How long before its deadline a holder stops acting.
pub const MARGIN_MS: u64 = 1_000;
/// How long after its last write a holder renews.
pub const RENEW_AFTER_MS: u64 = 5_000;

/// What to do about a lease now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Nothing before this time.
    Wait {
        /// When to look again, in milliseconds.
        until_ms: u64,
    },
    /// Read the row, then call [`Lease::on_read`].
    Read,
    /// Write the row if it still has this version, then call
    /// [`Lease::on_written`] or [`Lease::on_conflict`].
    Write {
        /// The new row.
        row: LeaseRow,
        /// The version that the row must have; 0 for no row.
        row_version: u64,
    },
}

/// One member's view of one lease.
///
/// Clocks need not agree. A holder counts the term from before it sent the
/// write; a challenger counts the whole term from when it first saw that row
/// version itself. Two members therefore never act at the same time as long as
/// their clocks run at the same rate to within the margin.
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
    seen: Option<Seen>,
    held: Option<Held>,
    unanswered: Option<Unanswered>,
}

/// A write that may have taken effect.
#[derive(Clone, Debug)]
struct Unanswered {
    sent_ms: u64,
    row: LeaseRow,
    row_version: u64,
}

#[derive(Clone, Debug)]
struct Seen {
    row: Option<LeaseRow>,
    row_version: u64,
    free_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    fence: u64,
    deadline_ms: u64,
    renew_at_ms: u64,
}

impl Lease {
    /// Creates a view that knows nothing of the lease yet.
    #[must_use]
    pub const fn new(me: Name, incarnation: u64) -> Self {
        Self {
            me,
            incarnation,
            seen: None,
            held: None,
            unanswered: None,
        }
    }

    /// Returns what to do now to take or keep the lease.
    #[must_use]
    pub fn next_action(&self, now_ms: u64) -> LeaseAction {
        let Some(seen) = &self.seen else {
            return LeaseAction::Read;
        };
        if let Some(held) = &self.held {
            if now_ms < held.renew_at_ms {
                return LeaseAction::Wait {
                    until_ms: held.renew_at_ms,
                };
            }
            return self.write(seen, held.fence);
        }
        if now_ms < seen.free_at_ms {
            return LeaseAction::Wait {
                until_ms: seen.free_at_ms,
            };
        }
        let last_fence = seen.row.as_ref().map_or(0, |row| row.fence);
        self.write(seen, last_fence + 1)
    }

    fn write(&self, seen: &Seen, fence: u64) -> LeaseAction {
        let row = LeaseRow {
            holder: Some(self.me.clone()),
            incarnation: self.incarnation,
            fence,
        };
        LeaseAction::Write {
            row,
            row_version: seen.row_version,
        }
    }

    /// Notes the row as it was read.
    ///
    /// A row that is the work of a write without an answer counts as written.
    /// Any other row of this member's own counts as not held, since it is not
    /// known when its write was sent: its term is waited out.
    pub fn on_read(&mut self, now_ms: u64, row: Option<LeaseRow>, row_version: u64) {
        if let Some(sent_ms) = self.settle(row.as_ref(), row_version)
            && let Some(row) = row
        {
            self.on_written(sent_ms, row, row_version);
            return;
        }
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.row_version == row_version)
        {
            return;
        }
        let is_free = row.as_ref().is_none_or(|row| row.holder.is_none());
        let free_at_ms = if is_free { now_ms } else { now_ms + TERM_MS };
        self.held = None;
        self.seen = Some(Seen {
            row,
            row_version,
            free_at_ms,
        });
    }

    /// Notes that the write was taken; `sent_ms` is when it was sent.
    pub fn on_written(&mut self, sent_ms: u64, row: LeaseRow, row_version: u64) {
        self.held = row.holder.as_ref().map(|_| Held {
            fence: row.fence,
            deadline_ms: sent_ms + TERM_MS,
            renew_at_ms: sent_ms + RENEW_AFTER_MS,
        });
        self.seen = Some(Seen {
            row: Some(row),
            row_version,
            free_at_ms: sent_ms + TERM_MS,
        });
    }

    /// Returns when the write was sent, at the earliest, that made this row.
    fn settle(&self, row: Option<&LeaseRow>, row_version: u64) -> Option<u64> {
        let unanswered = self.unanswered.as_ref()?;
        let is_own = row == Some(&unanswered.row) && row_version == unanswered.row_version + 1;
        (is_own && guard::is_on(Guard::SettleByReading)).then_some(unanswered.sent_ms)
    }

    /// Notes that the row had another version: it has to be read again.
    pub fn on_conflict(&mut self) {
        self.seen = None;
    }

    /// Notes that a write of `row` over version `row_version`, sent at
    /// `sent_ms`, got no answer: only reading tells whether it took effect.
    ///
    /// Where a write over the same version had no answer before, it may be the
    /// earlier one that took effect, so the term counts from that one.
    pub fn on_unanswered(&mut self, sent_ms: u64, row: LeaseRow, row_version: u64) {
        self.seen = None;
        let first = self.unanswered.take();
        let first = first.filter(|first| first.row_version == row_version && first.row == row);
        self.unanswered = first.or(Some(Unanswered {
            sent_ms,
            row,
            row_version,
        }));
    }

    /// Returns the fencing number while the lease is held, with the margin.
    #[must_use]
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let held = self.held.as_ref()?;
        let expired = now_ms + MARGIN_MS >= held.deadline_ms;
        if expired && guard::is_on(Guard::LeaseDeadline) {
            return None;
        }
        Some(held.fence)
    }

    /// Returns who holds the lease, as far as this member has seen.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        self.seen.as_ref()?.row.as_ref()?.holder.as_ref()
    }

    /// Returns the write that gives the lease back, if it is held.
    #[must_use]
    pub fn release(&self, now_ms: u64) -> Option<LeaseAction> {
        let fence = self.fence(now_ms)?;
        let seen = self.seen.as_ref()?;
        let row = LeaseRow {
            holder: None,
            incarnation: self.incarnation,
            fence,
        };
        Some(LeaseAction::Write {
            row,
            row_version: seen.row_version,
        })
    }
}
