use std::collections::BTreeMap;

use crate::{core::Name, wire::peers::DataCentreAge};

/// How long a data centre counts as reachable after it was last heard.
pub const REACHABILITY_TIMEOUT_MS: u64 = 8_000;

/// When each data centre was last known to answer.
///
/// Ages travel with answers only, and count from before the request was sent:
/// what is believed here is never younger than it was. A request that waited
/// in the buffers of a paused VM would look fresh, so requests carry none.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    heard_ms: BTreeMap<Name, u64>,
}

impl Reach {
    /// Notes an answer of a member of a data centre to a request of `sent_ms`.
    pub(super) fn on_answer(&mut self, sent_ms: u64, from: &Name, ages: &[DataCentreAge]) {
        self.note(from, sent_ms);
        for told in ages {
            if let Some(heard_ms) = sent_ms.checked_sub(told.age_ms) {
                self.note(&told.data_centre, heard_ms);
            }
        }
    }

    fn note(&mut self, data_centre: &Name, heard_ms: u64) {
        let known = self.heard_ms.entry(data_centre.clone()).or_default();
        *known = heard_ms.max(*known);
    }

    /// Returns the ages to tell a member that asks.
    pub(super) fn ages(&self, now_ms: u64) -> Vec<DataCentreAge> {
        self.heard_ms
            .iter()
            .map(|(data_centre, heard_ms)| DataCentreAge {
                data_centre: data_centre.clone(),
                age_ms: now_ms.saturating_sub(*heard_ms),
            })
            .filter(|age| age.age_ms < REACHABILITY_TIMEOUT_MS)
            .collect()
    }

    /// Returns whether a data centre was heard of lately.
    pub(super) fn is_reachable(&self, now_ms: u64, data_centre: &Name) -> bool {
        self.heard_ms
            .get(data_centre)
            .is_some_and(|heard_ms| now_ms < heard_ms + REACHABILITY_TIMEOUT_MS)
    }
}
