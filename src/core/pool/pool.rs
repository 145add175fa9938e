use std::collections::BTreeMap;

use super::{EndpointRecord, PoolEndpoint};
use crate::core::Name;

/// How long after the platform's return an endpoint may be missing from its
/// list before it counts as gone, in milliseconds: the platform promises that
/// living ones are back within about two seconds.
const RELIST_MS: u64 = 2_300;

/// All endpoints that the platform lists.
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
    settled_at_ms: u64,
}

impl Pool {
    /// Notes what an endpoint says of itself now.
    ///
    /// One that has started again begins with a clean record.
    pub fn on_listed(&mut self, record: EndpointRecord) {
        match self.endpoints.get_mut(&record.id) {
            Some(known) if known.record.started_unix_ms == record.started_unix_ms => {
                let newer = merge_weights(&known.record, record);
                known.record = newer;
                known.remove_at_ms = None;
            }
            _ => {
                let id = record.id.clone();
                self.endpoints.insert(id, PoolEndpoint::new(record));
            }
        }
    }

    /// Notes that the platform no longer lists an endpoint.
    ///
    /// While the platform has just come back, entries that lapsed during its
    /// outage may still return.
    pub fn on_unlisted(&mut self, now_ms: u64, id: &str) {
        if now_ms >= self.settled_at_ms {
            self.endpoints.remove(id);
        } else if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.remove_at_ms = Some(self.settled_at_ms);
        }
    }

    /// Notes that the platform answers again after an outage.
    pub const fn on_platform_back(&mut self, now_ms: u64) {
        self.settled_at_ms = now_ms + RELIST_MS;
    }

    /// Replaces the whole list.
    pub fn on_all_listed(&mut self, now_ms: u64, records: Vec<EndpointRecord>) {
        let listed: std::collections::BTreeSet<Name> =
            records.iter().map(|record| record.id.clone()).collect();
        let missing = self.endpoints.keys().filter(|id| !listed.contains(*id));
        for id in missing.cloned().collect::<Vec<_>>() {
            self.on_unlisted(now_ms, &id);
        }
        for record in records {
            self.on_listed(record);
        }
    }

    /// Forgets endpoints whose entry did not come back in time, and returns
    /// their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Name> {
        let has_lapsed = |endpoint: &PoolEndpoint| {
            endpoint
                .remove_at_ms
                .is_some_and(|until_ms| until_ms <= now_ms)
        };
        let lapsed = self.endpoints.iter().filter(|(_, e)| has_lapsed(e));
        let lapsed: Vec<Name> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in &lapsed {
            self.endpoints.remove(id);
        }
        lapsed
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&PoolEndpoint> {
        self.endpoints.get(id)
    }

    /// Returns an endpoint to note something of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut PoolEndpoint> {
        self.endpoints.get_mut(id)
    }

    /// Returns the endpoints of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a PoolEndpoint> {
        let all = self.endpoints.values();
        all.filter(move |endpoint| &*endpoint.record.service == service)
    }

    /// Returns all endpoints.
    pub fn all(&self) -> impl Iterator<Item = &PoolEndpoint> {
        self.endpoints.values()
    }
}

/// The list lags behind what answers have shown: versions never go back for
/// one start of an endpoint.
fn merge_weights(known: &EndpointRecord, mut newer: EndpointRecord) -> EndpointRecord {
    for (model, version) in &mut newer.weights {
        let before = known.weights.get(model).copied().unwrap_or(0);
        *version = before.max(*version);
    }
    newer
}
