use std::collections::{BTreeMap, BTreeSet};

use super::ServiceLoad;
use crate::core::Name;

/// The slot time of samples that the VMs have told last, for one service.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
///
/// use chicoryreach::core::{Name, scale::{ServiceLoad, SlotTimes}};
///
/// let vm: Name = "vm-1".into();
/// let mut times = SlotTimes::default();
/// times.on_report(&vm, ServiceLoad { sample_tokens: 40, sample_slot_ms: 800, ..ServiceLoad::default() });
/// // A report without samples changes nothing.
/// times.on_report(&vm, ServiceLoad::default());
/// assert_eq!(times.ms_per_token(), Some(20.0));
/// times.retain_live(&BTreeSet::new());
/// assert_eq!(times.ms_per_token(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotTimes {
    /// Tokens and slot milliseconds, by VM.
    by_vm: BTreeMap<Name, (u32, u32)>,
}

impl SlotTimes {
    /// Takes over what a VM reports.
    pub fn on_report(&mut self, vm: &Name, load: ServiceLoad) {
        if load.sample_tokens > 0 {
            let times = (load.sample_tokens, load.sample_slot_ms);
            self.by_vm.insert(vm.clone(), times);
        }
    }

    /// Forgets the VMs that are no longer live.
    pub fn retain_live(&mut self, live: &BTreeSet<Name>) {
        self.by_vm.retain(|vm, _| live.contains(vm));
    }

    /// Returns the mean slot time per token, or `None` before any VM has told it.
    #[must_use]
    pub fn ms_per_token(&self) -> Option<f64> {
        let tokens: f64 = self.by_vm.values().map(|(t, _)| f64::from(*t)).sum();
        let slot_ms: f64 = self.by_vm.values().map(|(_, ms)| f64::from(*ms)).sum();
        (tokens > 0.0).then(|| slot_ms / tokens)
    }
}
