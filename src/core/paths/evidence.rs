use std::collections::BTreeMap;

use crate::core::Name;

/// How long a failed connection counts, in milliseconds: several intervals at which a cut
/// path is checked.
const FAILURE_KEEP_MS: u64 = 5_000;

/// The connections that a set of endpoints has accepted and not accepted lately.
///
/// Only new connections count. An open one may outlive the path on which it was opened.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::paths::PathEvidence;
///
/// let mut evidence = PathEvidence::default();
/// evidence.on_connect_failed(1_000, 1_100, &"sampler-1".into(), 2);
/// evidence.on_connect_failed(1_000, 1_100, &"sampler-2".into(), 2);
/// assert!(evidence.is_cut(1_200));
/// evidence.on_connected(1_300);
/// assert!(!evidence.is_cut(1_300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PathEvidence {
    /// The endpoints that have failed since one of the set last accepted a connection,
    /// and when.
    failed: BTreeMap<Name, u64>,
    /// How many endpoints must have failed before the path counts as cut.
    required: usize,
    connected_ms: Option<u64>,
    /// Whether another VM has reached one of them since.
    is_reached_by_others: bool,
}

impl PathEvidence {
    /// Records that an endpoint of the set has accepted a connection.
    pub fn on_connected(&mut self, now_ms: u64) {
        self.failed.clear();
        self.connected_ms = Some(now_ms);
        self.is_reached_by_others = false;
    }

    /// Records that an endpoint has not accepted a connection that was opened at
    /// `started_ms`; the path counts as cut once `required` endpoints have failed.
    ///
    /// A connection that was opened before another endpoint accepted one says nothing of
    /// the path.
    pub fn on_connect_failed(
        &mut self,
        started_ms: u64,
        now_ms: u64,
        endpoint: &Name,
        required: usize,
    ) {
        if self
            .connected_ms
            .is_some_and(|connected_ms| started_ms <= connected_ms)
        {
            return;
        }
        self.required = required;
        self.failed.insert(endpoint.clone(), now_ms);
        self.failed
            .retain(|_, at_ms| *at_ms + FAILURE_KEEP_MS > now_ms);
    }

    /// Records that another VM reaches an endpoint of the set, which shows that they are not
    /// down.
    pub fn on_reached_by_other(&mut self, now_ms: u64) {
        self.is_reached_by_others = self.is_cut(now_ms);
    }

    /// Returns whether the path counts as cut and other VMs reach the endpoints.
    #[must_use]
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        self.is_reached_by_others && self.is_cut(now_ms)
    }

    /// Returns whether the path to all endpoints of the set counts as cut: they do not
    /// accept connections, though they may all be down.
    #[must_use]
    pub fn is_cut(&self, now_ms: u64) -> bool {
        !self.failed.is_empty() && self.failed_count(now_ms) >= self.required
    }

    /// Returns how many endpoints have failed since one last accepted a connection.
    #[must_use]
    pub fn failed_count(&self, now_ms: u64) -> usize {
        let recent = self.failed.values();
        recent
            .filter(|at_ms| **at_ms + FAILURE_KEEP_MS > now_ms)
            .count()
    }

    /// Returns whether an endpoint has failed since one of the set last accepted a
    /// connection.
    #[must_use]
    pub fn has_failed(&self, now_ms: u64, endpoint: &str) -> bool {
        let failed = self.failed.get(endpoint);
        failed.is_some_and(|at_ms| *at_ms + FAILURE_KEEP_MS > now_ms)
    }

    /// Returns when an endpoint of the set last accepted a connection.
    #[must_use]
    pub const fn connected_ms(&self) -> Option<u64> {
        self.connected_ms
    }
}
