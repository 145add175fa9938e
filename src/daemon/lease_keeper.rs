use std::sync::{Arc, Mutex};

use super::{
    clock::now_ms,
    platform::Written,
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

const AFTER_FAILURE_MS: u64 = 500;
/// How many members contend for a lease, so that not all of them read its row.
const CANDIDATES: usize = 2;

/// Takes and keeps one lease in the platform's table.
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

    /// Returns the fencing number while this VM holds the lease.
    pub(crate) fn fence(&self) -> Option<u64> {
        lock(&self.lease).fence(now_ms())
    }

    /// Returns whether this VM is one of those that may hold the lease; a
    /// holder stays one, so that the lease does not move without need.
    pub(crate) fn is_candidate(&self, daemon: &Daemon) -> bool {
        self.fence().is_some()
            || self
                .candidates(daemon, CANDIDATES)
                .contains(&daemon.own_record.vm)
    }

    /// Returns who holds the lease, or who is most likely to.
    pub(crate) fn holder_or_candidate(&self, daemon: &Daemon) -> Option<Name> {
        let holder = lock(&self.lease).holder().cloned();
        holder.or_else(|| self.candidates(daemon, 1).pop())
    }

    fn candidates(&self, daemon: &Daemon, count: usize) -> Vec<Name> {
        let members = lock(&daemon.membership);
        let alive: Vec<_> = members
            .members_taking_work()
            .map(|record| record.vm.clone())
            .collect();
        rendezvous::choose(&alive, &self.name, count)
    }

    /// Does what is due about the lease, and returns when to look again.
    pub(crate) async fn turn(&self, daemon: &Daemon) -> u64 {
        let step = lock(&self.lease).next_action(now_ms());
        match step {
            LeaseAction::Wait { until_ms } => until_ms,
            LeaseAction::Read => self.read(daemon).await,
            LeaseAction::Write { row, row_version } => self.write(daemon, row, row_version).await,
        }
    }

    /// Reads the row although nothing is due yet, and says whether the platform
    /// answered: that a holder has given the lease back or renewed it is
    /// noticed sooner. A lease that is held is not read.
    pub(crate) async fn look(&self, daemon: &Daemon) -> bool {
        self.fence().is_some() || self.try_read(daemon).await
    }

    /// Returns whether another VM is known to hold the lease.
    pub(crate) fn is_held_elsewhere(&self, daemon: &Daemon) -> bool {
        let lease = lock(&self.lease);
        lease
            .holder()
            .is_some_and(|holder| *holder != daemon.own_record.vm)
    }

    /// Gives the lease back, if it is held.
    pub(crate) async fn release(&self, daemon: &Daemon) {
        let step = lock(&self.lease).release(now_ms());
        if let Some(LeaseAction::Write { row, row_version }) = step {
            self.write(daemon, row, row_version).await;
        }
    }

    fn key(&self) -> Arc<str> {
        format!("lease/{}", self.name).into()
    }

    async fn read(&self, daemon: &Daemon) -> u64 {
        if self.try_read(daemon).await {
            now_ms()
        } else {
            now_ms() + AFTER_FAILURE_MS
        }
    }

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
        // The term counts from before the write is sent.
        let sent_ms = now_ms();
        daemon.metrics.platform_writes.inc();
        match daemon.platform.transact(&transaction).await {
            Written::Committed(_) => {
                let had_lease = self.fence().is_some();
                if !had_lease {
                    tracing::info!(lease = %self.name, fence = row.fence, "lease taken");
                }
                lock(&self.lease).on_written(sent_ms, row, row_version + 1);
                now_ms()
            }
            Written::Conflict => {
                lock(&self.lease).on_conflict();
                now_ms()
            }
            Written::Unknown => {
                lock(&self.lease).on_unanswered(sent_ms, row, row_version);
                now_ms()
            }
            Written::Refused => now_ms() + AFTER_FAILURE_MS,
        }
    }
}
