use std::collections::BTreeMap;

use super::{CutSpan, PathEvidence, PathReport};
use crate::core::{Name, pool::EndpointRecord};

/// How many endpoints of one data centre or service must fail: one alone may be down.
const REQUIRED_IN_PART: usize = 2;
/// How many endpoints of all must fail, if there are so many.
const REQUIRED_OF_ALL: usize = 3;

/// A VM's paths to all endpoints, to those of each data centre and of each service.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::{
///     paths::EndpointPaths,
///     pool::{EndpointRecord, EndpointStage},
/// };
///
/// let sampler = |id: &str, data_centre: &str| EndpointRecord {
///     id: id.into(),
///     started_unix_ms: 0,
///     service: "slips".into(),
///     software: "v1".into(),
///     address: ([127, 0, 0, 1], 8000).into(),
///     data_centre: data_centre.into(),
///     slots: 8,
///     stage: EndpointStage::Ready,
///     is_spot: false,
///     leaves_ms: None,
///     weights: Default::default(),
/// };
/// let mut paths = EndpointPaths::default();
/// for id in ["sampler-1", "sampler-2"] {
///     paths.on_connect_failed(1_000, 1_100, &sampler(id, "dc-1"), 8);
/// }
/// paths.on_connected(1_200, &sampler("sampler-3", "dc-2"));
/// assert!(paths.is_cut(1_300, &sampler("sampler-4", "dc-1")));
/// assert!(!paths.is_cut(1_300, &sampler("sampler-5", "dc-2")));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointPaths {
    all: PathEvidence,
    by_data_centre: BTreeMap<Name, PathEvidence>,
    by_service: BTreeMap<Name, PathEvidence>,
    /// Whether any path is confirmed to be cut.
    cut: CutSpan,
    /// Whether all paths are.
    isolation: CutSpan,
}

impl EndpointPaths {
    /// Records that an endpoint has accepted a new connection.
    pub fn on_connected(&mut self, now_ms: u64, record: &EndpointRecord) {
        self.all.on_connected(now_ms);
        let data_centre = self.by_data_centre.entry(record.data_centre.clone());
        data_centre.or_default().on_connected(now_ms);
        let service = self.by_service.entry(record.service.clone());
        service.or_default().on_connected(now_ms);
        self.update_times(now_ms);
    }

    /// Records that an endpoint, one of `listed` in total, has not accepted a connection
    /// that was opened at `started_ms`.
    pub fn on_connect_failed(
        &mut self,
        started_ms: u64,
        now_ms: u64,
        record: &EndpointRecord,
        listed: usize,
    ) {
        let id = &record.id;
        self.all
            .on_connect_failed(started_ms, now_ms, id, REQUIRED_OF_ALL.min(listed.max(1)));
        let data_centre = self.by_data_centre.entry(record.data_centre.clone());
        let data_centre = data_centre.or_default();
        data_centre.on_connect_failed(started_ms, now_ms, id, REQUIRED_IN_PART);
        let service = self.by_service.entry(record.service.clone());
        let service = service.or_default();
        service.on_connect_failed(started_ms, now_ms, id, REQUIRED_IN_PART);
        self.update_times(now_ms);
    }

    /// Brings the times of cuts up to date, as failures also expire.
    pub fn update_times(&mut self, now_ms: u64) {
        let is_isolated = self.all.is_confirmed(now_ms);
        let parts = self.by_data_centre.values();
        let mut parts = parts.chain(self.by_service.values());
        let has_cut = is_isolated || parts.any(|evidence| evidence.is_confirmed(now_ms));
        self.cut.update(now_ms, has_cut);
        self.isolation.update(now_ms, is_isolated);
    }

    /// Records that another VM reaches an endpoint.
    pub fn on_reached_by_other(&mut self, now_ms: u64, record: &EndpointRecord) {
        self.all.on_reached_by_other(now_ms);
        let data_centre = self.by_data_centre.get_mut(&record.data_centre);
        let service = self.by_service.get_mut(&record.service);
        for evidence in data_centre.into_iter().chain(service) {
            evidence.on_reached_by_other(now_ms);
        }
        self.update_times(now_ms);
    }

    /// Returns whether this VM is cut off from an endpoint that other VMs reach, or from
    /// others like it.
    #[must_use]
    pub fn is_confirmed(&self, now_ms: u64, record: &EndpointRecord) -> bool {
        let is_confirmed =
            |evidence: Option<&PathEvidence>| evidence.is_some_and(|e| e.is_confirmed(now_ms));
        self.all.is_confirmed(now_ms)
            || is_confirmed(self.by_data_centre.get(&record.data_centre))
            || is_confirmed(self.by_service.get(&record.service))
    }

    /// Returns whether this VM seems to be cut off from an endpoint.
    #[must_use]
    pub fn is_cut(&self, now_ms: u64, record: &EndpointRecord) -> bool {
        let is_cut = |evidence: Option<&PathEvidence>| evidence.is_some_and(|e| e.is_cut(now_ms));
        self.all.is_cut(now_ms)
            || is_cut(self.by_data_centre.get(&record.data_centre))
            || is_cut(self.by_service.get(&record.service))
    }

    /// Returns whether an endpoint has failed since any last accepted a connection.
    #[must_use]
    pub fn has_failed(&self, now_ms: u64, endpoint: &str) -> bool {
        self.all.has_failed(now_ms, endpoint)
    }

    /// Returns from what this VM seems to be cut off.
    #[must_use]
    pub fn report(&self, now_ms: u64) -> PathReport {
        let cut = |evidence: &BTreeMap<Name, PathEvidence>| {
            let cut = evidence.iter().filter(|(_, e)| e.is_cut(now_ms));
            cut.map(|(name, _)| name.clone()).collect()
        };
        PathReport {
            is_isolated: self.all.is_cut(now_ms),
            cut_data_centres: cut(&self.by_data_centre),
            cut_services: cut(&self.by_service),
        }
    }

    /// Returns since when any path has been confirmed to be cut, and whether that lasts.
    #[must_use]
    pub const fn cut(&self) -> &CutSpan {
        &self.cut
    }

    /// Returns since when this VM has been cut off from all endpoints, and whether that
    /// lasts.
    #[must_use]
    pub const fn isolation(&self) -> &CutSpan {
        &self.isolation
    }

    /// Returns the evidence on all endpoints.
    #[must_use]
    pub const fn all(&self) -> &PathEvidence {
        &self.all
    }
}
