use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::core::{Name, paths::PathReport, scale::ServiceLoad};

/// How long a VM's row may stay unchanged before the VM counts as lost, in
/// milliseconds: three missed updates, and a slow store.
const MAX_ROW_AGE_MS: u64 = 3_500;
/// After a longer gap between two reads, in milliseconds, the ages of all rows
/// start anew: the gap says nothing about the other VMs.
const MAX_READ_GAP_MS: u64 = 2_000;

/// A VM as it describes itself in its row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmRow {
    /// Identifies one start of the VM; increases with each start.
    pub incarnation: u64,
    /// The data centre that it runs in.
    pub data_centre: Name,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address that other VMs connect to.
    pub peer_address: SocketAddr,
    /// The share of a CPU core that it may use.
    pub cpu_share: f64,
    /// From which endpoints it is cut off.
    #[serde(default)]
    pub paths: PathReport,
    /// The offset of its time of day from the store's clock, in milliseconds, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unix_offset_ms: Option<i64>,
    /// Its work at the services whose endpoints are scaled, without those where it has
    /// none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub loads: BTreeMap<Name, ServiceLoad>,
}

/// Whether a particular start of a VM is considered to be running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It is running.
    Live,
    /// It has ended, or its row has not changed for too long.
    Gone,
    /// No row of it was read yet; it may have just started.
    Unknown,
}

#[derive(Clone, Debug)]
struct Member {
    row: VmRow,
    row_version: u64,
    changed_at_ms: u64,
}

/// The VMs whose rows this VM has read.
///
/// The age of a row counts from when this VM itself saw the row change, so clocks
/// of different VMs are never compared.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::roster::{Presence, Roster};
///
/// let roster = Roster::default();
/// assert_eq!(roster.presence("vm-1", 7), Presence::Unknown);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<Name, Member>,
    read_at_ms: Option<u64>,
}

impl Roster {
    /// Replaces the rows by those just read, each with its row version.
    pub fn on_read<I>(&mut self, now_ms: u64, rows: I)
    where
        I: IntoIterator<Item = (Name, VmRow, u64)>,
    {
        let is_after_gap = self
            .read_at_ms
            .is_none_or(|read_ms| now_ms > read_ms + MAX_READ_GAP_MS);
        let mut members = BTreeMap::new();
        for (vm, row, row_version) in rows {
            let known = self.members.get(&vm);
            let same_version = known.filter(|known| known.row_version == row_version);
            let changed_at_ms = same_version
                .filter(|_| !is_after_gap)
                .map_or(now_ms, |known| known.changed_at_ms);
            let member = Member {
                row,
                row_version,
                changed_at_ms,
            };
            members.insert(vm, member);
        }
        self.members = members;
        self.read_at_ms = Some(now_ms);
    }

    /// Returns whether the rows have been read at least once.
    #[must_use]
    pub const fn has_been_read(&self) -> bool {
        self.read_at_ms.is_some()
    }

    /// Returns the VMs that did not count as lost at the last read.
    pub fn live_vms(&self) -> impl Iterator<Item = (&Name, &VmRow)> {
        let live = self
            .members
            .iter()
            .filter(|(_, member)| self.is_fresh(member));
        live.map(|(vm, member)| (vm, &member.row))
    }

    /// Returns whether this start of a VM is considered to be running.
    #[must_use]
    pub fn presence(&self, vm: &str, incarnation: u64) -> Presence {
        match self.members.get(vm) {
            Some(member) if member.row.incarnation > incarnation => Presence::Gone,
            Some(member) if member.row.incarnation < incarnation => Presence::Unknown,
            Some(member) if self.is_fresh(member) => Presence::Live,
            Some(_) => Presence::Gone,
            None => Presence::Unknown,
        }
    }

    fn is_fresh(&self, member: &Member) -> bool {
        self.read_at_ms.unwrap_or(0) < member.changed_at_ms + MAX_ROW_AGE_MS
    }
}
