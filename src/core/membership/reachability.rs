use std::collections::BTreeMap;

use crate::{core::Name, wire::peers::DataCentreAge};

/// How long a data centre counts as reachable after it was last heard from.
pub const REACHABILITY_TIMEOUT_MS: u64 = 8_000;

/// The last time at which each data centre is known to have answered.
///
/// Only answers carry ages, and an age counts from before the request was sent, so
/// a data centre is never assumed to have answered later than it did. Requests
/// carry none: one that waited in the buffers of a paused VM would appear recent.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    last_heard_ms: BTreeMap<Name, u64>,
}

impl Reachability {
    /// Records an answer from a member of the data centre `from` to a request sent
    /// at `sent_ms`, with the ages that the answer reports.
    pub(super) fn on_answer(&mut self, sent_ms: u64, from: &Name, ages: &[DataCentreAge]) {
        self.record_heard(from, sent_ms);
        for reported in ages {
            if let Some(last_heard_ms) = sent_ms.checked_sub(reported.age_ms) {
                self.record_heard(&reported.data_centre, last_heard_ms);
            }
        }
    }

    fn record_heard(&mut self, data_centre: &Name, last_heard_ms: u64) {
        let known = self.last_heard_ms.entry(data_centre.clone()).or_default();
        *known = last_heard_ms.max(*known);
    }

    /// Returns the ages to send with an answer, for the reachable data centres.
    pub(super) fn ages(&self, now_ms: u64) -> Vec<DataCentreAge> {
        self.last_heard_ms
            .iter()
            .map(|(data_centre, last_heard_ms)| DataCentreAge {
                data_centre: data_centre.clone(),
                age_ms: now_ms.saturating_sub(*last_heard_ms),
            })
            .filter(|age| age.age_ms < REACHABILITY_TIMEOUT_MS)
            .collect()
    }

    /// Returns whether a data centre was heard from within
    /// [`REACHABILITY_TIMEOUT_MS`].
    pub(super) fn is_reachable(&self, now_ms: u64, data_centre: &Name) -> bool {
        self.last_heard_ms
            .get(data_centre)
            .is_some_and(|last_heard_ms| now_ms < last_heard_ms + REACHABILITY_TIMEOUT_MS)
    }
}
