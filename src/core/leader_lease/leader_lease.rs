use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The length of a term, counted from its last renewal, in milliseconds.
const TERM_MS: u64 = 3_000;
/// How long before the end of its term a holder stops acting, in milliseconds.
const STOP_MARGIN_MS: u64 = 500;
/// The interval between renewals, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 900;

/// The stored row with the holder of the lease and the end of its term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderLeaseRow {
    /// The VM that holds the lease, or `None` after it has stepped down.
    pub holder: Option<Name>,
    /// Identifies one start of the holder.
    pub incarnation: u64,
    /// The fencing number, which increases with each new holder.
    pub fence: u64,
    /// The end of the term, by the platform's clock.
    pub until_platform_ms: u64,
}

/// A compare-and-set write of the lease row, which takes effect only if the row
/// still has the expected version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseClaim {
    /// The new row.
    pub row: LeaderLeaseRow,
    /// The version that the row must have; 0 if there must be no row.
    pub row_version: u64,
}

/// One VM's view of the leader lease.
///
/// Terms end at times of the platform's clock, which keeps running when VMs
/// restart: after a restart of all VMs, no VM has to observe a full term before
/// it can take the lease.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::leader_lease::LeaderLease;
///
/// let mut leader_lease = LeaderLease::new("vm-1".into(), 7, 3_000);
/// assert!(leader_lease.claim(0, 0).is_none());
/// leader_lease.on_read(None, 0);
/// let claim = leader_lease.claim(0, 10_000).expect("nobody holds it");
/// leader_lease.on_written(claim.row, 5);
/// assert_eq!(leader_lease.fence(10_500), Some(1));
/// assert_eq!(leader_lease.fence(13_000), None);
/// ```
#[derive(Clone, Debug)]
pub struct LeaderLease {
    me: Name,
    incarnation: u64,
    /// The shortest time between the end of one holder's term and the first act of
    /// another.
    gap_ms: u64,
    /// The row, if it exists, and its version; `None` if it must be read.
    known_row: Option<(Option<LeaderLeaseRow>, u64)>,
    /// The highest fencing number that was read or written: a row that cannot be decoded
    /// must not start the numbers anew.
    highest_fence: u64,
    /// The earliest time at which this VM renews a lease that it holds.
    renew_at_ms: u64,
}

impl LeaderLease {
    /// Creates a view that has not read the row yet.
    ///
    /// At least `gap_ms` must pass between the acts of two different holders.
    #[must_use]
    pub const fn new(me: Name, incarnation: u64, gap_ms: u64) -> Self {
        Self {
            me,
            incarnation,
            gap_ms,
            known_row: None,
            highest_fence: 0,
            renew_at_ms: 0,
        }
    }

    /// Records the row as it was read; a row older than the known one is ignored.
    pub fn on_read(&mut self, row: Option<LeaderLeaseRow>, row_version: u64) {
        if self
            .known_row
            .as_ref()
            .is_some_and(|(_, known_version)| *known_version > row_version)
        {
            return;
        }
        self.set_known(row, row_version);
    }

    /// Records that the write of a claim was committed.
    pub fn on_written(&mut self, row: LeaderLeaseRow, row_version: u64) {
        self.set_known(Some(row), row_version);
    }

    fn set_known(&mut self, row: Option<LeaderLeaseRow>, row_version: u64) {
        let fence = row.as_ref().map_or(0, |row| row.fence);
        self.highest_fence = self.highest_fence.max(fence);
        self.known_row = Some((row, row_version));
    }

    /// Records that the content of the row is unknown, so that it must be read.
    pub fn on_unknown(&mut self) {
        self.known_row = None;
        self.renew_at_ms = 0;
    }

    /// Returns whether the row must be read before a claim.
    #[must_use]
    pub const fn needs_read(&self) -> bool {
        self.known_row.is_none()
    }

    /// Returns the write that takes or renews the lease, if one is due.
    ///
    /// `earliest_ms` is the lower bound of the platform's time.
    pub fn claim(&mut self, now_ms: u64, earliest_ms: u64) -> Option<LeaseClaim> {
        let (row, row_version) = self.known_row.as_ref()?;
        let is_mine = row.as_ref().is_some_and(|row| self.is_mine(row));
        if is_mine && now_ms < self.renew_at_ms {
            return None;
        }
        // This VM need not wait for the end of its own earlier term: the condition
        // on the row version ensures that no other VM has held the lease since.
        let was_own_vm = row
            .as_ref()
            .is_some_and(|row| row.holder.as_ref() == Some(&self.me));
        if !was_own_vm && !self.may_take(earliest_ms) {
            return None;
        }
        let last_fence = self.highest_fence;
        self.renew_at_ms = now_ms + RENEW_INTERVAL_MS;
        let row = LeaderLeaseRow {
            holder: Some(self.me.clone()),
            incarnation: self.incarnation,
            fence: if is_mine {
                last_fence
            } else {
                last_fence.saturating_add(1)
            },
            until_platform_ms: earliest_ms + TERM_MS,
        };
        Some(LeaseClaim {
            row,
            row_version: *row_version,
        })
    }

    /// Returns whether a VM that did not hold the lease last may take it, as far as the
    /// row is known.
    #[must_use]
    pub fn may_take(&self, earliest_ms: u64) -> bool {
        self.known_row.as_ref().is_some_and(|(row, _)| {
            row.as_ref()
                .is_none_or(|row| earliest_ms >= row.until_platform_ms.saturating_add(self.gap_ms))
        })
    }

    /// Returns the write that gives up the lease, if this VM holds it.
    ///
    /// The term in the row ends at `latest_ms`, the upper bound of the platform's
    /// time at which this VM last acted, unless it ends earlier.
    #[must_use]
    pub fn step_down(&self, latest_ms: u64) -> Option<LeaseClaim> {
        let (row, row_version) = self.known_row.as_ref()?;
        let row = row.as_ref().filter(|row| self.is_mine(row))?;
        let row = LeaderLeaseRow {
            holder: None,
            until_platform_ms: row.until_platform_ms.min(latest_ms),
            ..row.clone()
        };
        Some(LeaseClaim {
            row,
            row_version: *row_version,
        })
    }

    /// Returns the fencing number while this VM may act, otherwise `None`.
    ///
    /// `latest_ms` is the upper bound of the platform's time.
    #[must_use]
    pub fn fence(&self, latest_ms: u64) -> Option<u64> {
        let (row, _) = self.known_row.as_ref()?;
        let row = row.as_ref().filter(|row| self.is_mine(row))?;
        (latest_ms + STOP_MARGIN_MS < row.until_platform_ms).then_some(row.fence)
    }

    /// Returns the holder according to the last row that this VM read or wrote.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        self.known_row.as_ref()?.0.as_ref()?.holder.as_ref()
    }

    fn is_mine(&self, row: &LeaderLeaseRow) -> bool {
        row.incarnation == self.incarnation && row.holder.as_ref() == Some(&self.me)
    }
}
