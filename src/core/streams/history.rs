use std::collections::BTreeMap;

use crate::core::{Name, pool::Pool};

/// The longest time that a stream lasts over all tries of its caller, in milliseconds.
const MAX_STREAM_MS: u64 = 60_000;

/// Which software versions of each service were listed, for as long as streams last.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::{pool::Pool, streams::SoftwareHistory};
///
/// let mut history = SoftwareHistory::default();
/// history.observe(0, &Pool::default());
/// assert_eq!(history.only_software(90_000, "demand-lm"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    observed_since_ms: Option<u64>,
    /// When each version of each service was listed last.
    listed_ms: BTreeMap<(Name, Name), u64>,
}

impl SoftwareHistory {
    /// Records the endpoints that are listed; to be called before and after each change
    /// of the list.
    pub fn observe(&mut self, now_ms: u64, pool: &Pool) {
        self.observed_since_ms.get_or_insert(now_ms);
        for endpoint in pool.all() {
            let record = &endpoint.record;
            let key = (record.service.clone(), record.software.clone());
            self.listed_ms.insert(key, now_ms);
        }
        self.listed_ms
            .retain(|_, listed_ms| now_ms < *listed_ms + MAX_STREAM_MS);
    }

    /// Returns the software version of a service, if any stream that has not ended must
    /// have begun there.
    #[must_use]
    pub fn only_software(&self, now_ms: u64, service: &str) -> Option<Name> {
        let is_observed = self
            .observed_since_ms
            .is_some_and(|since_ms| since_ms + MAX_STREAM_MS <= now_ms);
        let mut versions = self
            .listed_ms
            .keys()
            .filter(|(listed, _)| &**listed == service);
        let (_, only) = versions.next().filter(|_| is_observed)?;
        versions.next().is_none().then(|| only.clone())
    }
}
