use std::collections::{BTreeMap, BTreeSet};

use super::queue::GossipQueue;
use crate::{core::Name, wire::peers::LeavingNotice};

/// How long a VM counts as leaving after the platform's list marked it so.
pub const LEAVING_NOTICE_MS: u64 = 60_000;
/// The least time by which the list must extend a notice for the notice to be
/// gossiped again.
const MIN_LISTED_EXTENSION_MS: u64 = LEAVING_NOTICE_MS / 2;
/// The least time by which gossip must extend a notice for the notice to be
/// gossiped again.
///
/// It is less than for the list: otherwise a member whose own deadline is slightly
/// later than the sender's would reject the extension.
const MIN_GOSSIP_EXTENSION_MS: u64 = LEAVING_NOTICE_MS / 4;

/// The VMs that the platform lists as leaving, spread by gossip.
///
/// A notice carries its remaining time, which is stored as a deadline on arrival.
/// If the list still marks the VM, the notice is gossiped again once half of its
/// time has passed.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingNotices {
    deadlines_ms: BTreeMap<Name, u64>,
    queue: GossipQueue,
}

impl LeavingNotices {
    /// Records that the platform's list marks a VM as leaving, and returns whether
    /// no notice was in force for it.
    pub(super) fn on_listed(&mut self, now_ms: u64, vm: &Name) -> bool {
        self.extend(now_ms, vm, LEAVING_NOTICE_MS, MIN_LISTED_EXTENSION_MS)
    }

    /// Records a notice from another member, and returns whether no notice was in
    /// force for its VM.
    pub(super) fn on_gossip(&mut self, now_ms: u64, notice: &LeavingNotice) -> bool {
        let remaining_ms = notice.remaining_ms.min(LEAVING_NOTICE_MS);
        self.extend(now_ms, &notice.vm, remaining_ms, MIN_GOSSIP_EXTENSION_MS)
    }

    fn extend(&mut self, now_ms: u64, vm: &Name, remaining_ms: u64, min_extension_ms: u64) -> bool {
        let deadline_ms = now_ms + remaining_ms;
        let known_ms = self.deadlines_ms.get(vm).copied().unwrap_or_default();
        let is_in_force = known_ms > now_ms;
        if is_in_force && deadline_ms < known_ms + min_extension_ms {
            return false;
        }
        self.deadlines_ms.insert(vm.clone(), deadline_ms);
        self.queue.push(vm.clone());
        !is_in_force
    }

    /// Removes expired notices, and returns whether there were any.
    pub(super) fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.deadlines_ms.len();
        self.deadlines_ms
            .retain(|_, deadline_ms| *deadline_ms > now_ms);
        self.deadlines_ms.len() < before
    }

    /// Returns the VMs that count as leaving.
    pub(super) fn leaving(&self) -> BTreeSet<Name> {
        self.deadlines_ms.keys().cloned().collect()
    }

    /// Returns up to `limit` notices for the next gossip message.
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
