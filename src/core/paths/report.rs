use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// From what a VM is cut off, as it tells other VMs.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::paths::PathReport;
///
/// let report = PathReport {
///     cut_data_centres: ["dc-1".into()].into(),
///     ..PathReport::default()
/// };
/// assert!(report.has_cut() && report.is_cut_off("dc-1", "slips"));
/// assert!(!report.is_cut_off("dc-2", "slips"));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PathReport {
    /// Whether it is cut off from all endpoints.
    pub is_isolated: bool,
    /// The data centres whose endpoints it does not reach.
    pub cut_data_centres: BTreeSet<Name>,
    /// The services whose endpoints it does not reach.
    pub cut_services: BTreeSet<Name>,
}

impl PathReport {
    /// Returns whether any path is cut.
    #[must_use]
    pub fn has_cut(&self) -> bool {
        self.is_isolated || !self.cut_data_centres.is_empty() || !self.cut_services.is_empty()
    }

    /// Returns whether the VM is cut off from the endpoints of a service in a data centre.
    #[must_use]
    pub fn is_cut_off(&self, data_centre: &str, service: &str) -> bool {
        self.is_isolated
            || self.cut_data_centres.contains(data_centre)
            || self.cut_services.contains(service)
    }
}
