//! Takes and renews the lease of one trainer's ledger.

use super::{
    clock::{now_ms, sleep_until},
    state::Daemon,
    trainer_task::{AFTER_FAILURE_MS, IDLE_MS, TrainerTask},
};

/// How often a member that may take over reads a lease that another one holds.
const LOOK_MS: u64 = 2_000;
/// How often it does so at most, when the trainer itself comes to it.
const MIN_LOOK_MS: u64 = 100;
/// How long a lease that another VM held is left to it after the platform was
/// down: it has what it could not commit.
const GRACE_MS: u64 = 1_000;

/// The looks at a lease that another VM holds.
#[derive(Debug, Default)]
struct Looks {
    next_ms: u64,
    /// Since when every look has been answered.
    answered_since_ms: Option<u64>,
}

impl Looks {
    fn on_look(&mut self, now_ms: u64, is_read: bool) {
        self.next_ms = now_ms + LOOK_MS;
        if is_read {
            self.answered_since_ms.get_or_insert(now_ms);
        } else {
            self.answered_since_ms = None;
        }
    }

    fn grace_until_ms(&self) -> u64 {
        self.answered_since_ms
            .map_or(self.next_ms, |since_ms| since_ms + GRACE_MS)
    }
}

impl TrainerTask {
    /// Takes and renews the lease until the daemon stops.
    pub(super) async fn keep_lease(&self, daemon: &Daemon) {
        let mut stop = daemon.stop_tasks.subscribe();
        let mut looks = Looks::default();
        while !*stop.borrow_and_update() {
            let at_ms = self.lease_turn(daemon, &mut looks).await;
            tokio::select! {
                () = sleep_until(at_ms) => {}
                () = self.wake_lease.notified() => {
                    looks.next_ms = looks.next_ms.min(now_ms() + MIN_LOOK_MS);
                }
                _ = stop.changed() => {}
            }
        }
    }

    async fn lease_turn(&self, daemon: &Daemon, looks: &mut Looks) -> u64 {
        let is_held = self.lease.fence().is_some();
        if self.is_leaving() && !is_held {
            return now_ms() + IDLE_MS;
        }
        if !self.lease.is_candidate(daemon) {
            return now_ms() + AFTER_FAILURE_MS;
        }
        if !is_held && now_ms() >= looks.next_ms {
            let is_read = self.lease.read_early(daemon).await;
            looks.on_look(now_ms(), is_read);
        }
        if self.lease.is_held_elsewhere(daemon) && looks.grace_until_ms() > now_ms() {
            return looks.next_ms.min(looks.grace_until_ms());
        }
        let at_ms = self.lease.run_next_action(daemon).await;
        if self.lease.fence().is_some() {
            self.wake.notify_one();
            return at_ms;
        }
        at_ms.min(looks.next_ms)
    }
}
