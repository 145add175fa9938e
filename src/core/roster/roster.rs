use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// How long a VM's row may stay as it is before the VM counts as lost, in
/// milliseconds: three rows missed, and a slow store.
const LOST_MS: u64 = 3_500;
/// A longer gap between two reads says nothing of other VMs.
const BLIND_MS: u64 = 2_000;

/// What a VM says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmRow {
    /// Tells two starts of the VM apart; rises with each.
    pub incarnation: u64,
    /// Where it stands.
    pub data_centre: Name,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// The share of a core that it may use.
    pub cpu_share: f64,
}

/// Whether a start of a VM is taken to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It runs.
    Live,
    /// It has ended, or was silent for too long.
    Gone,
    /// Nothing of it was read yet: it may just have started.
    Unknown,
}

#[derive(Clone, Debug)]
struct Member {
    row: VmRow,
    row_version: u64,
    seen_ms: u64,
}

/// The VMs as one VM knows them.
///
/// Ages count from when this VM saw a row change itself: no two clocks are
/// compared.
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
    /// Notes all rows as they were read, with their versions.
    pub fn on_read<I>(&mut self, now_ms: u64, rows: I)
    where
        I: IntoIterator<Item = (Name, VmRow, u64)>,
    {
        let was_blind = self
            .read_at_ms
            .is_none_or(|read_ms| now_ms > read_ms + BLIND_MS);
        let mut members = BTreeMap::new();
        for (vm, row, row_version) in rows {
            let before = self.members.get(&vm);
            let unchanged = before.filter(|known| known.row_version == row_version);
            let seen_ms = unchanged
                .filter(|_| !was_blind)
                .map_or(now_ms, |known| known.seen_ms);
            let member = Member {
                row,
                row_version,
                seen_ms,
            };
            members.insert(vm, member);
        }
        self.members = members;
        self.read_at_ms = Some(now_ms);
    }

    /// Returns whether the rows were ever read.
    #[must_use]
    pub const fn has_been_read(&self) -> bool {
        self.read_at_ms.is_some()
    }

    /// Returns the VMs that are not lost, as of the last read.
    pub fn live_vms(&self) -> impl Iterator<Item = (&Name, &VmRow)> {
        let live = self
            .members
            .iter()
            .filter(|(_, member)| self.is_fresh(member));
        live.map(|(vm, member)| (vm, &member.row))
    }

    /// Returns whether this start of a VM is taken to run.
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
        self.read_at_ms.unwrap_or(0) < member.seen_ms + LOST_MS
    }
}
