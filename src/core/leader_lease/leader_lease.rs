use serde::{Deserialize, Serialize};

use crate::core::Name;

/// How long a holder may act after it renewed, in milliseconds.
const TERM_MS: u64 = 3_000;
/// How long before the end of its term a holder stops to act.
const MARGIN_MS: u64 = 500;
/// How often a holder renews.
const RENEW_MS: u64 = 900;

/// The row that says who acts, and until when by the platform's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderLeaseRow {
    /// The holder; none after it has stepped down.
    pub holder: Option<Name>,
    /// Tells two starts of the holder apart.
    pub incarnation: u64,
    /// Rises with each new holder.
    pub fence: u64,
    /// The end of the term, by the platform's clock.
    pub until_platform_ms: u64,
}

/// A write that takes or keeps the leader lease if the row still has this version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseClaim {
    /// The new row.
    pub row: LeaderLeaseRow,
    /// The version that the row must have; 0 for no row.
    pub row_version: u64,
}

/// One VM's view of who acts alone.
///
/// Terms are times of the platform's clock, which outlives every VM: after a
/// restart of all VMs nobody has to wait for a term to be seen to its end.
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
    /// How long nobody may have acted before another holder does.
    gap_ms: u64,
    seen: Option<(Option<LeaderLeaseRow>, u64)>,
    renew_at_ms: u64,
}

impl LeaderLease {
    /// Creates a view that knows nothing yet; `gap_ms` must pass between the
    /// acts of two holders.
    #[must_use]
    pub const fn new(me: Name, incarnation: u64, gap_ms: u64) -> Self {
        Self {
            me,
            incarnation,
            gap_ms,
            seen: None,
            renew_at_ms: 0,
        }
    }

    /// Notes the row as it was read; an older row changes nothing.
    pub fn on_read(&mut self, row: Option<LeaderLeaseRow>, row_version: u64) {
        if self
            .seen
            .as_ref()
            .is_some_and(|(_, known)| *known > row_version)
        {
            return;
        }
        self.seen = Some((row, row_version));
    }

    /// Notes that a claim took effect.
    pub fn on_written(&mut self, row: LeaderLeaseRow, row_version: u64) {
        self.seen = Some((Some(row), row_version));
    }

    /// Notes that it is not known what the row holds: it has to be read.
    pub fn on_unknown(&mut self) {
        self.seen = None;
        self.renew_at_ms = 0;
    }

    /// Returns whether the row has to be read before a claim.
    #[must_use]
    pub const fn needs_read(&self) -> bool {
        self.seen.is_none()
    }

    /// Returns the write that takes or keeps the leader lease, if one is due.
    ///
    /// `earliest_ms` is the least that the platform's clock can show.
    pub fn claim(&mut self, now_ms: u64, earliest_ms: u64) -> Option<LeaseClaim> {
        let (row, row_version) = self.seen.as_ref()?;
        let is_mine = row.as_ref().is_some_and(|row| self.is_mine(row));
        if is_mine && now_ms < self.renew_at_ms {
            return None;
        }
        // The condition on the row version shows that nobody acted between.
        let was_mine = row
            .as_ref()
            .is_some_and(|row| row.holder.as_ref() == Some(&self.me));
        let is_free = row
            .as_ref()
            .is_none_or(|row| earliest_ms >= row.until_platform_ms + self.gap_ms);
        if !was_mine && !is_free {
            return None;
        }
        let last_fence = row.as_ref().map_or(0, |row| row.fence);
        self.renew_at_ms = now_ms + RENEW_MS;
        let row = LeaderLeaseRow {
            holder: Some(self.me.clone()),
            incarnation: self.incarnation,
            fence: if is_mine { last_fence } else { last_fence + 1 },
            until_platform_ms: earliest_ms + TERM_MS,
        };
        Some(LeaseClaim {
            row,
            row_version: *row_version,
        })
    }

    /// Returns the write that steps down, if the leader lease is held.
    ///
    /// The row keeps `latest_ms` as the last moment at which this VM acted.
    #[must_use]
    pub fn step_down(&self, latest_ms: u64) -> Option<LeaseClaim> {
        let (row, row_version) = self.seen.as_ref()?;
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

    /// Returns the fencing number while this VM may act; `latest_ms` is the
    /// latest that the platform's clock can show.
    #[must_use]
    pub fn fence(&self, latest_ms: u64) -> Option<u64> {
        let (row, _) = self.seen.as_ref()?;
        let row = row.as_ref().filter(|row| self.is_mine(row))?;
        (latest_ms + MARGIN_MS < row.until_platform_ms).then_some(row.fence)
    }

    /// Returns who holds the leader lease, as far as this VM has seen.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        self.seen.as_ref()?.0.as_ref()?.holder.as_ref()
    }

    fn is_mine(&self, row: &LeaderLeaseRow) -> bool {
        row.incarnation == self.incarnation && row.holder.as_ref() == Some(&self.me)
    }
}
