use std::collections::{BTreeMap, BTreeSet};

use super::queue::Queue;
use crate::{core::Name, wire::peers::LeavingNotice};

/// How long a VM is held to be leaving after the platform's list said so.
pub const LEAVING_NOTICE_MS: u64 = 60_000;
/// By how much the list has to extend a notice for it to be told again.
const LISTED_GAIN_MS: u64 = LEAVING_NOTICE_MS / 2;
/// The same for what a member told. It is less: else one whose own deadline is
/// a little later than the teller's would turn the extension down.
const TOLD_GAIN_MS: u64 = LEAVING_NOTICE_MS / 4;

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
    /// Takes what the platform's list says; returns whether that is new.
    pub(super) fn on_listed(&mut self, now_ms: u64, vm: &Name) -> bool {
        self.extend(now_ms, vm, LEAVING_NOTICE_MS, LISTED_GAIN_MS)
    }

    /// Takes what a member told; returns whether that is new.
    pub(super) fn on_told(&mut self, now_ms: u64, notice: &LeavingNotice) -> bool {
        let remaining_ms = notice.remaining_ms.min(LEAVING_NOTICE_MS);
        self.extend(now_ms, &notice.vm, remaining_ms, TOLD_GAIN_MS)
    }

    fn extend(&mut self, now_ms: u64, vm: &Name, remaining_ms: u64, gain_ms: u64) -> bool {
        let deadline_ms = now_ms + remaining_ms;
        let known_ms = self.deadlines_ms.get(vm).copied().unwrap_or_default();
        let is_known = known_ms > now_ms;
        if is_known && deadline_ms < known_ms + gain_ms {
            return false;
        }
        self.deadlines_ms.insert(vm.clone(), deadline_ms);
        self.queue.push(vm.clone());
        !is_known
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
