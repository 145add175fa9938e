//! What operators see and change of held contents.

use std::sync::Arc;

use super::{MAX_CRASHES, Quarantine};
use crate::wire::{operators::HeldContent, peers::Clearance};

impl Quarantine {
    /// Returns the contents that have crashed [`MAX_CRASHES`] endpoints.
    #[must_use]
    pub fn held_contents(&self, now_ms: u64) -> Vec<HeldContent> {
        let held = self.blame.iter();
        let held = held.filter(|(_, blame)| blame.crashes >= MAX_CRASHES);
        held.map(|(content, blame)| HeldContent {
            content: content.clone(),
            crashed_endpoints: self.crashed_endpoints(content),
            last_crash_age_ms: now_ms.saturating_sub(blame.last_at_ms),
        })
        .collect()
    }

    /// Frees a content that is blamed for crashes, and returns the clearance to send to
    /// the other members.
    ///
    /// Later crashes count anew.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::quarantine::{Permit, Quarantine};
    ///
    /// let mut quarantine = Quarantine::default();
    /// let content = "content".into();
    /// quarantine.on_start(&"sampler-1".into(), &content, 1_000);
    /// quarantine.on_crash(1_000, &"sampler-1".into(), 7, 1_000);
    /// assert!(quarantine.free(&content).is_some());
    /// assert_eq!(quarantine.permit(2_000, &content), Permit::Unrestricted);
    /// assert!(quarantine.free(&content).is_none());
    /// ```
    pub fn free(&mut self, content: &Arc<str>) -> Option<Clearance> {
        if !self.blame.contains_key(content) {
            return None;
        }
        let involved = self.crashes.iter();
        let involved = involved.filter(|crash| crash.fingerprints.contains(content));
        let clearance = Clearance {
            fingerprint: content.clone(),
            crashes: involved.map(|crash| crash.id.clone()).collect(),
        };
        self.on_clearance(clearance.clone());
        Some(clearance)
    }

    fn crashed_endpoints(&self, content: &Arc<str>) -> Vec<Arc<str>> {
        let cleared = self.cleared.get(content);
        let is_blamed = |crash: &&super::quarantine::Crash| {
            crash.fingerprints.contains(content)
                && cleared.is_none_or(|cleared| !cleared.contains(&crash.id))
        };
        let crashes = self.crashes.iter().filter(is_blamed);
        crashes.map(|crash| crash.id.endpoint.clone()).collect()
    }
}
