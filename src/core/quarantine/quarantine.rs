use std::{collections::BTreeMap, sync::Arc};

use crate::core::guard::{self, Guard};

/// How many endpoints a content may crash before it is isolated.
pub const MAX_CRASHES: u32 = 3;

/// Counts crashes by the content of what ran.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<Arc<str>, u32>,
}

impl Quarantine {
    /// Notes that an endpoint crashed while this content ran on it.
    pub fn on_crash(&mut self, fingerprint: &Arc<str>) {
        *self.crashes.entry(fingerprint.clone()).or_default() += 1;
    }

    /// Returns whether the content is isolated.
    #[must_use]
    pub fn is_isolated(&self, fingerprint: &str) -> bool {
        guard::is_on(Guard::Quarantine)
            && self
                .crashes
                .get(fingerprint)
                .is_some_and(|&crashes| crashes >= MAX_CRASHES)
    }
}
