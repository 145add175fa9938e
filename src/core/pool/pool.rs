use std::collections::BTreeMap;

use super::{EndpointRecord, EndpointStage, PoolEndpoint, SILENCE_MS};
use crate::core::{Name, paths::EndpointPaths};

/// How long after an outage of the platform an endpoint may be missing from its
/// list before it is removed, in milliseconds: the platform promises to list
/// running endpoints again within about two seconds.
const RELIST_GRACE_MS: u64 = 2_300;

/// On which connections a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionRule {
    /// Whether on one that is open.
    pub may_reuse: bool,
    /// Whether on a new one.
    pub may_open: bool,
}

/// The endpoints that the platform lists.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::pool::Pool;
///
/// let pool = Pool::default();
/// assert!(!pool.has_ready_endpoint("demand-lm"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pool {
    endpoints: BTreeMap<Name, PoolEndpoint>,
    paths: EndpointPaths,
    grace_ends_at_ms: u64,
    has_been_read: bool,
}

impl Pool {
    /// Adds an endpoint or updates its description.
    ///
    /// What was observed of an endpoint before a restart is discarded and returned.
    pub fn on_listed(&mut self, record: EndpointRecord) -> Option<PoolEndpoint> {
        match self.endpoints.get_mut(&record.id) {
            Some(known) if known.record.started_unix_ms == record.started_unix_ms => {
                let newer = merge_weights(&known.record, record);
                known.update_record(newer);
                known.remove_at_ms = None;
                None
            }
            _ => {
                let id = record.id.clone();
                self.endpoints.insert(id, PoolEndpoint::new(record))
            }
        }
    }

    /// Removes and returns an endpoint that the platform no longer lists.
    ///
    /// Shortly after an outage of the platform, the endpoint is kept for a grace
    /// period instead: an entry that expired during the outage may be listed
    /// again.
    pub fn on_unlisted(&mut self, now_ms: u64, id: &str) -> Option<PoolEndpoint> {
        if now_ms >= self.grace_ends_at_ms {
            return self.endpoints.remove(id);
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.remove_at_ms = Some(self.grace_ends_at_ms);
        }
        None
    }

    /// Starts the grace period after an outage of the platform.
    pub const fn on_platform_back(&mut self, now_ms: u64) {
        self.grace_ends_at_ms = now_ms + RELIST_GRACE_MS;
    }

    /// Replaces the list: adds or updates the endpoints of `records`, and treats
    /// all others as no longer listed. Returns the endpoints that were removed or
    /// have restarted, as they were before.
    pub fn on_all_listed(
        &mut self,
        now_ms: u64,
        records: Vec<EndpointRecord>,
    ) -> Vec<PoolEndpoint> {
        self.has_been_read = true;
        let listed: std::collections::BTreeSet<Name> =
            records.iter().map(|record| record.id.clone()).collect();
        let missing = self.endpoints.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<Name> = missing.cloned().collect();
        let mut gone: Vec<PoolEndpoint> = missing
            .iter()
            .filter_map(|id| self.on_unlisted(now_ms, id))
            .collect();
        gone.extend(
            records
                .into_iter()
                .filter_map(|record| self.on_listed(record)),
        );
        gone
    }

    /// Returns whether the whole list has been read once.
    #[must_use]
    pub const fn has_been_read(&self) -> bool {
        self.has_been_read
    }

    /// Removes and returns the endpoints that were not listed again within the grace
    /// period.
    pub fn expire(&mut self, now_ms: u64) -> Vec<PoolEndpoint> {
        let is_overdue = |endpoint: &PoolEndpoint| {
            endpoint
                .remove_at_ms
                .is_some_and(|remove_at_ms| remove_at_ms <= now_ms)
        };
        let overdue = self.endpoints.iter().filter(|(_, e)| is_overdue(e));
        let overdue: Vec<Name> = overdue.map(|(id, _)| id.clone()).collect();
        let removed = overdue.iter().filter_map(|id| self.endpoints.remove(id));
        removed.collect()
    }

    /// Returns the endpoints that are silent during runs and are to be checked now.
    ///
    /// An endpoint that stays silent is returned again after [`SILENCE_MS`].
    pub fn take_silent(&mut self, now_ms: u64) -> Vec<EndpointRecord> {
        let is_due = |endpoint: &&mut PoolEndpoint| {
            endpoint.record.stage == EndpointStage::Ready
                && endpoint.is_silent(now_ms)
                && endpoint.silence_checked_ms + SILENCE_MS <= now_ms
        };
        let due = self.endpoints.values_mut().filter(is_due);
        due.map(|endpoint| {
            endpoint.silence_checked_ms = now_ms;
            endpoint.record.clone()
        })
        .collect()
    }

    /// Returns the endpoint with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&PoolEndpoint> {
        self.endpoints.get(id)
    }

    /// Returns the endpoint with this id, to be updated.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut PoolEndpoint> {
        self.endpoints.get_mut(id)
    }

    /// Returns the endpoints of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a PoolEndpoint> {
        let all = self.endpoints.values();
        all.filter(move |endpoint| &*endpoint.record.service == service)
    }

    /// Returns what is known of this VM's paths to the endpoints.
    #[must_use]
    pub const fn paths(&self) -> &EndpointPaths {
        &self.paths
    }

    /// Brings the times of cut paths up to date.
    pub fn update_paths(&mut self, now_ms: u64) {
        self.paths.update_times(now_ms);
    }

    /// Records whether an endpoint has accepted a connection that was opened at
    /// `started_ms`.
    pub fn on_connect(&mut self, started_ms: u64, now_ms: u64, id: &str, is_accepted: bool) {
        let listed = self.endpoints.len();
        let Some(known) = self.endpoints.get(id) else {
            return;
        };
        if is_accepted {
            self.paths.on_connected(now_ms, &known.record);
        } else {
            self.paths
                .on_connect_failed(started_ms, now_ms, &known.record, listed);
        }
    }

    /// Records that another VM reaches an endpoint.
    pub fn on_reached_by_other(&mut self, now_ms: u64, id: &str) {
        if let Some(known) = self.endpoints.get(id) {
            self.paths.on_reached_by_other(now_ms, &known.record);
        }
    }

    /// Returns how a request may be sent to an endpoint. One that must not be sent on a dead
    /// connection is `is_cautious`.
    #[must_use]
    pub fn connection_rule(&self, now_ms: u64, id: &str, is_cautious: bool) -> ConnectionRule {
        let is_cut = self.is_cut_off(now_ms, id);
        let known = self.endpoints.get(id);
        let is_answering = known.is_some_and(|known| known.has_answered_lately(now_ms));
        ConnectionRule {
            may_reuse: is_answering || !(is_cut || is_cautious),
            may_open: !is_cut,
        }
    }

    /// Records that no request could be sent to an endpoint, or that one failed after it
    /// was sent.
    pub fn on_exchange_failed(&mut self, now_ms: u64, id: &str, was_sent: bool) {
        let is_cut = !was_sent && self.is_cut_off(now_ms, id);
        let Some(known) = self.endpoints.get_mut(id) else {
            return;
        };
        if is_cut {
            known.on_unreached(now_ms);
        } else {
            known.on_failure(now_ms);
        }
    }

    /// Returns whether this VM is cut off from an endpoint.
    #[must_use]
    pub fn is_cut_off(&self, now_ms: u64, id: &str) -> bool {
        let known = self.endpoints.get(id);
        known.is_some_and(|known| self.paths.is_cut(now_ms, &known.record))
    }

    /// Returns all endpoints.
    pub fn all(&self) -> impl Iterator<Item = &PoolEndpoint> {
        self.endpoints.values()
    }
}

/// Returns the newer description with, for each model, the higher of both weights
/// versions.
///
/// The list lags behind the versions that responses state, and until an endpoint
/// restarts its versions never decrease.
fn merge_weights(known: &EndpointRecord, mut newer: EndpointRecord) -> EndpointRecord {
    for (model, version) in &mut newer.weights {
        let known_version = known.weights.get(model).copied().unwrap_or(0);
        *version = known_version.max(*version);
    }
    newer
}
