use std::collections::{BTreeMap, BTreeSet};

use super::queue::Queue;
use crate::{core::Name, wire::peers::LeavingNotice};

/// How long a VM is held to be leaving after the platform's list said so.
pub const NOTICE_MS: u64 = 60_000;

/// VMs that the platform lists as leaving, told from member to member.
///
/// The time left travels with a notice and is stored as a deadline on arrival.
/// A notice is told again once half of its time has passed.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    deadlines_ms: BTreeMap<Name, u64>,
    queue: Queue,
}

impl Notices {
    /// Takes a notice; returns whether the VM was not known to be leaving.
    pub(super) fn add(&mut self, now_ms: u64, vm: &Name, remaining_ms: u64) -> bool {
        let deadline_ms = now_ms + remaining_ms.min(NOTICE_MS);
        let known_ms = self.deadlines_ms.get(vm).copied().unwrap_or_default();
        if deadline_ms < known_ms.max(now_ms) + NOTICE_MS / 2 && known_ms > now_ms {
            return false;
        }
        self.deadlines_ms.insert(vm.clone(), deadline_ms);
        self.queue.push(vm.clone());
        known_ms <= now_ms
    }

    /// Drops the notices that have lapsed; returns whether there were any.
    pub(super) fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.deadlines_ms.len();
        self.deadlines_ms
            .retain(|_, deadline_ms| *deadline_ms > now_ms);
        self.deadlines_ms.len() < before
    }

    /// Returns the VMs that leave.
    pub(super) fn leaving(&self) -> BTreeSet<Name> {
        self.deadlines_ms.keys().cloned().collect()
    }

    /// Returns up to `limit` notices to tell.
    pub(super) fn take(&mut self, now_ms: u64, limit: usize, max_sends: u32) -> Vec<LeavingNotice> {
        let vms = self.queue.take(limit, max_sends);
        vms.into_iter()
            .filter_map(|vm| {
                let remaining_ms = self.deadlines_ms.get(&vm)?.checked_sub(now_ms)?;
                Some(LeavingNotice { vm, remaining_ms })
            })
            .collect()
    }
}
