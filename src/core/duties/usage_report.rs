use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The requests of a window that began to run, by account: of one VM, or of all.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::UsageReport;
///
/// let of_vm = |count| UsageReport { counts: [("club".into(), count)].into() };
/// let report = UsageReport::sum([of_vm(2), of_vm(3)]);
/// assert_eq!(report, of_vm(5));
/// assert_eq!(report.total(), 5);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// The requests of each account that has any.
    pub counts: BTreeMap<Name, u64>,
}

impl UsageReport {
    /// Returns the sum of several counts.
    #[must_use]
    pub fn sum<I>(reports: I) -> Self
    where
        I: IntoIterator<Item = Self>,
    {
        let mut counts: BTreeMap<Name, u64> = BTreeMap::new();
        for (account, count) in reports.into_iter().flat_map(|report| report.counts) {
            let sum = counts.entry(account).or_default();
            *sum = sum.saturating_add(count);
        }
        Self { counts }
    }

    /// Returns the requests of all accounts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts
            .values()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }
}
