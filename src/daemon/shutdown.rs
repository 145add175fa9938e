//! The graceful shutdown.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{
    clock::{now_ms, sleep_until},
    peers::announce,
    state::{Daemon, lock},
    trainer_task,
};
use crate::core::guard::{self, Guard};

/// How long after leaving the members are told before callers' lists lapse.
const SPREAD_MS: u64 = 1_000;
const LOOK_MS: u64 = 20;

/// The signals that end the process.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    pub(crate) fn try_new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal or a drain by configuration, then leaves in order.
pub(crate) async fn wait(daemon: Arc<Daemon>, signals: &mut Signals) {
    let mut config = daemon.config.subscribe();
    let vm = daemon.me.vm.clone();
    tokio::select! {
        () = signals.next() => {}
        _ = config.wait_for(|config| config.document.draining_vms.contains(&vm)) => {}
    }
    tokio::select! {
        () = leave(&daemon) => {}
        () = signals.next() => tracing::warn!("a second signal ends the process at once"),
    }
}

async fn leave(daemon: &Daemon) {
    tracing::info!("leaving");
    lock(&daemon.membership).leave();
    trainer_task::hand_over_all(daemon);
    announce(daemon).await;
    if guard::is_on(Guard::DrainWaitsForCallers) {
        let lapse_ms = daemon.settings.limits.keep_addresses_ms + SPREAD_MS;
        sleep_until(now_ms() + lapse_ms).await;
    }
    daemon.is_draining.store(true, Ordering::SeqCst);
    daemon.stop.send_replace(true);
    while daemon.in_progress.load(Ordering::SeqCst) > 0
        && guard::is_on(Guard::DrainWaitsForRequests)
    {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    tracing::info!("left");
}
