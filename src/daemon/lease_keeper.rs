//! Acquires, renews and releases a lease in the platform's table.

use std::sync::{Arc, Mutex};

use super::{
    clock::now_ms,
    platform::TransactResult,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        lease::{Lease, LeaseAction, LeaseRow},
        rendezvous,
    },
    wire::platform::{Check, Transaction, Write},
};

const PLATFORM_RETRY_DELAY_MS: u64 = 500;
/// How many members compete for a lease. The limit keeps the other members from
/// reading its row.
const CANDIDATE_COUNT: usize = 2;

/// Acquires and renews one lease in the platform's table.
#[derive(Debug)]
pub(crate) struct LeaseKeeper {
    name: Arc<str>,
    lease: Mutex<Lease>,
}

impl LeaseKeeper {
    pub(crate) fn new(daemon: &Daemon, name: Arc<str>) -> Self {
        let lease = Lease::new(daemon.own_record.vm.clone(), daemon.own_record.incarnation);
        Self {
            name,
            lease: Mutex::new(lease),
        }
    }

    pub(crate) fn name(&self) -> Arc<str> {
        self.name.clone()
    }

    /// Returns the fencing number if this VM holds the lease.
    pub(crate) fn fence(&self) -> Option<u64> {
        lock(&self.lease).fence(now_ms())
    }

    /// Returns whether this VM may hold the lease.
    ///
    /// The current holder remains a candidate, so that the lease does not move
    /// unnecessarily.
    pub(crate) fn is_candidate(&self, daemon: &Daemon) -> bool {
        self.fence().is_some()
            || self
                .candidates(daemon, CANDIDATE_COUNT)
                .contains(&daemon.own_record.vm)
    }

    /// Returns the known holder of the lease, or else its first candidate.
    pub(crate) fn holder_or_candidate(&self, daemon: &Daemon) -> Option<Name> {
        let holder = lock(&self.lease).holder().cloned();
        holder.or_else(|| self.candidates(daemon, 1).pop())
    }

    /// Returns the first `count` alive members in the order of rendezvous hashing.
    fn candidates(&self, daemon: &Daemon, count: usize) -> Vec<Name> {
        let members = lock(&daemon.membership);
        let alive: Vec<_> = members
            .members_taking_work()
            .map(|record| record.vm.clone())
            .collect();
        rendezvous::choose(&alive, &self.name, count)
    }

    /// Runs the next action of the lease, and returns when to call this again.
    pub(crate) async fn run_next_action(&self, daemon: &Daemon) -> u64 {
        let action = lock(&self.lease).next_action(now_ms());
        match action {
            LeaseAction::Wait { until_ms } => until_ms,
            LeaseAction::Read => self.read(daemon).await,
            LeaseAction::Write { row, row_version } => self.write(daemon, row, row_version).await,
        }
    }

    /// Reads the row before the next action is due, and returns whether the
    /// platform answered.
    ///
    /// This shows sooner that the holder has released or renewed the lease. If
    /// this VM holds the lease, nothing is read and the result is `true`.
    pub(crate) async fn read_early(&self, daemon: &Daemon) -> bool {
        self.fence().is_some() || self.try_read(daemon).await
    }

    /// Returns whether another VM is known to hold the lease.
    pub(crate) fn is_held_elsewhere(&self, daemon: &Daemon) -> bool {
        let lease = lock(&self.lease);
        lease
            .holder()
            .is_some_and(|holder| *holder != daemon.own_record.vm)
    }

    /// Releases the lease if this VM holds it.
    pub(crate) async fn release(&self, daemon: &Daemon) {
        let action = lock(&self.lease).release(now_ms());
        if let Some(LeaseAction::Write { row, row_version }) = action {
            self.write(daemon, row, row_version).await;
        }
    }

    fn key(&self) -> Arc<str> {
        format!("lease/{}", self.name).into()
    }

    /// Reads the row, and returns when to run the next action.
    async fn read(&self, daemon: &Daemon) -> u64 {
        if self.try_read(daemon).await {
            now_ms()
        } else {
            now_ms() + PLATFORM_RETRY_DELAY_MS
        }
    }

    /// Reads the row, and returns whether the platform answered.
    async fn try_read(&self, daemon: &Daemon) -> bool {
        daemon.metrics.platform_reads.inc();
        let Ok(row) = daemon.platform.get(&self.key()).await else {
            return false;
        };
        let row_version = row.as_ref().map_or(0, |row| row.row_version);
        let row: Option<LeaseRow> = row.and_then(|row| serde_json::from_value(row.value).ok());
        lock(&self.lease).on_read(now_ms(), row, row_version);
        true
    }

    /// Writes the row with a compare-and-set, and returns when to run the next
    /// action.
    async fn write(&self, daemon: &Daemon, row: LeaseRow, row_version: u64) -> u64 {
        let key = self.key();
        let transaction = Transaction {
            checks: vec![Check {
                key: key.clone(),
                row_version,
            }],
            writes: vec![Write {
                key,
                value: serde_json::to_value(&row).ok(),
            }],
        };
        // The term of the lease starts before the write is sent.
        let sent_ms = now_ms();
        daemon.metrics.platform_writes.inc();
        match daemon.platform.transact(&transaction).await {
            TransactResult::Committed(_) => {
                let had_lease = self.fence().is_some();
                if !had_lease {
                    tracing::info!(lease = %self.name, fence = row.fence, "lease taken");
                }
                lock(&self.lease).on_written(sent_ms, row, row_version + 1);
                now_ms()
            }
            TransactResult::Conflict => {
                lock(&self.lease).on_conflict();
                now_ms()
            }
            TransactResult::Unknown => {
                lock(&self.lease).on_unanswered(sent_ms, row, row_version);
                now_ms()
            }
            TransactResult::Refused => now_ms() + PLATFORM_RETRY_DELAY_MS,
        }
    }
}
