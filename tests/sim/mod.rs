//! Simulated time, an unreliable network and an in-memory table for scenarios.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::wire::platform::{Transaction, TransactionOutcome};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Deserialize;
use serde_json::Value;

/// The delays and faults of messages between two simulated processes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// The shortest delay of a message, in milliseconds.
    pub min_delay_ms: u64,
    /// The longest delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// How many of 1,000 messages are lost.
    pub lost_permille: u32,
    /// How many of 1,000 messages are delivered twice.
    pub doubled_permille: u32,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            min_delay_ms: 1,
            max_delay_ms: 5,
            lost_permille: 0,
            doubled_permille: 0,
        }
    }
}

/// A queue of events ordered by time, then by when they were scheduled.
///
/// The same seed gives the same order.
#[derive(Debug)]
pub struct Sim<E> {
    /// The current simulated time, in milliseconds.
    pub now_ms: u64,
    /// The random numbers of the simulation.
    pub rng: SmallRng,
    queue: BTreeMap<(u64, u64), E>,
    scheduled_count: u64,
}

impl<E> Sim<E>
where
    E: Clone,
{
    /// Creates an empty queue at time 0 with a seed for its random numbers.
    pub fn new(seed: u64) -> Self {
        Self {
            now_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            scheduled_count: 0,
        }
    }

    /// Schedules an event, at the current time if `at_ms` has passed.
    pub fn schedule_at(&mut self, at_ms: u64, event: E) {
        self.scheduled_count += 1;
        let at_ms = at_ms.max(self.now_ms);
        self.queue.insert((at_ms, self.scheduled_count), event);
    }

    /// Schedules the arrival of a message, which the network may delay, lose or
    /// duplicate.
    pub fn send(&mut self, network: Network, event: &E) {
        if self.rng.random_ratio(network.lost_permille, 1_000) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_ratio(network.doubled_permille, 1_000));
        for _ in 0..copies {
            let delay_ms = self
                .rng
                .random_range(network.min_delay_ms..=network.max_delay_ms);
            self.schedule_at(self.now_ms + delay_ms, event.clone());
        }
    }

    /// Advances to the next event before `end_ms` and returns it.
    pub fn next_before(&mut self, end_ms: u64) -> Option<E> {
        let entry = self.queue.first_entry()?;
        if entry.key().0 >= end_ms {
            return None;
        }
        let ((at_ms, _), event) = entry.remove_entry();
        self.now_ms = at_ms;
        Some(event)
    }
}

/// An in-memory table with the behaviour of the platform's: each row has a
/// version, and transactions check versions before they write.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<Arc<str>, (u64, Value)>,
    last_versions: BTreeMap<Arc<str>, u64>,
}

impl Table {
    /// Returns a row's version and value, which are 0 and null if it does not exist.
    pub fn get(&self, key: &str) -> (u64, Value) {
        self.rows.get(key).cloned().unwrap_or((0, Value::Null))
    }

    /// Returns the rows whose keys start with a prefix, ordered by key.
    pub fn scan(&self, prefix: &str) -> Vec<(Arc<str>, Value)> {
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect()
    }

    /// Performs all writes of a transaction if all its checks hold, and none
    /// otherwise.
    pub fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let checks = &transaction.checks;
        let committed = checks
            .iter()
            .all(|check| self.get(&check.key).0 == check.row_version);
        let writes = transaction.writes.iter().filter(|_| committed);
        for write in writes {
            let version = self.last_versions.entry(write.key.clone()).or_default();
            *version += 1;
            match &write.value {
                Some(value) => self
                    .rows
                    .insert(write.key.clone(), (*version, value.clone())),
                None => self.rows.remove(&write.key),
            };
        }
        let keys = checks.iter().map(|check| &check.key);
        let keys = keys.chain(transaction.writes.iter().map(|write| &write.key));
        let row_versions = keys.map(|key| (key.clone(), self.get(key).0)).collect();
        TransactionOutcome {
            committed,
            row_versions,
        }
    }
}
