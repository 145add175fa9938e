//! Acquires and renews the lease of one trainer's ledger.

use super::{
    clock::{now_ms, sleep_until},
    state::Daemon,
    trainer_task::{IDLE_WAIT_MS, RETRY_DELAY_MS, TrainerTask},
};

/// The interval at which a candidate reads a lease that another VM holds.
const LEASE_READ_INTERVAL_MS: u64 = 2_000;
/// The time within which the lease is read again when the trainer itself calls
/// this VM. It also limits the rate of these reads.
const LEASE_READ_DELAY_AFTER_CALL_MS: u64 = 100;
/// How long a candidate leaves the lease to its previous holder after the platform
/// answers again. The previous holder has samples that it could not commit.
const PREVIOUS_HOLDER_GRACE_MS: u64 = 1_000;

/// The schedule of reads of a lease that another VM holds.
#[derive(Debug, Default)]
struct LeaseReads {
    next_ms: u64,
    /// The time since which the platform has answered every read.
    answered_since_ms: Option<u64>,
}

impl LeaseReads {
    fn record_read(&mut self, now_ms: u64, is_answered: bool) {
        self.next_ms = now_ms + LEASE_READ_INTERVAL_MS;
        if is_answered {
            self.answered_since_ms.get_or_insert(now_ms);
        } else {
            self.answered_since_ms = None;
        }
    }

    /// Returns until when the lease is left to its previous holder.
    fn grace_until_ms(&self) -> u64 {
        self.answered_since_ms
            .map_or(self.next_ms, |since_ms| since_ms + PREVIOUS_HOLDER_GRACE_MS)
    }
}

impl TrainerTask {
    /// Acquires and renews the lease until the daemon stops.
    pub(super) async fn keep_lease(&self, daemon: &Daemon) {
        let mut stop = daemon.stop_tasks.subscribe();
        let mut reads = LeaseReads::default();
        while !*stop.borrow_and_update() {
            let at_ms = self.run_lease_round(daemon, &mut reads).await;
            tokio::select! {
                () = sleep_until(at_ms) => {}
                () = self.wake_lease.notified() => {
                    reads.next_ms = reads.next_ms.min(now_ms() + LEASE_READ_DELAY_AFTER_CALL_MS);
                }
                _ = stop.changed() => {}
            }
        }
    }

    /// Reads or renews the lease if that is due, and returns when to call this
    /// again.
    async fn run_lease_round(&self, daemon: &Daemon, reads: &mut LeaseReads) -> u64 {
        let is_held = self.lease.fence().is_some();
        if self.is_leaving() && !is_held {
            return now_ms() + IDLE_WAIT_MS;
        }
        if !self.lease.is_candidate(daemon) {
            return now_ms() + RETRY_DELAY_MS;
        }
        if !is_held && now_ms() >= reads.next_ms {
            let is_answered = self.lease.read_early(daemon).await;
            reads.record_read(now_ms(), is_answered);
        }
        if self.lease.is_held_elsewhere(daemon) && reads.grace_until_ms() > now_ms() {
            return reads.next_ms.min(reads.grace_until_ms());
        }
        let at_ms = self.lease.run_next_action(daemon).await;
        if self.lease.fence().is_some() {
            self.wake_ledger.notify_one();
            return at_ms;
        }
        at_ms.min(reads.next_ms)
    }
}
