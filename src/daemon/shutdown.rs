//! The graceful shutdown.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

use super::{
    clock::{now_ms, sleep_until},
    peers::announce,
    state::{Daemon, lock},
    trainer_task,
};
use crate::core::request::{Drain, DrainStep};

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

    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Starts to take hangups, which would end the process otherwise.
pub(crate) fn listen_for_hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Notes hangups until the daemon stops: its settings hold for one start.
pub(crate) async fn ignore_hangups(mut hangups: Signal, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            _ = hangups.recv() => tracing::info!("reload: settings are read at the next start"),
            // An error means that the daemon is gone.
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Waits for a signal or a drain by configuration, then leaves in order.
///
/// Returns whether all was finished; a second signal cuts it short.
pub(crate) async fn wait_and_drain(daemon: Arc<Daemon>, signals: &mut Signals) -> bool {
    let mut config = daemon.config.subscribe();
    let vm = daemon.own_record.vm.clone();
    tokio::select! {
        () = signals.next() => {}
        _ = config.wait_for(|config| config.document.draining_vms.contains(&vm)) => {}
    }
    tokio::select! {
        () = leave(&daemon) => true,
        () = signals.next() => {
            tracing::warn!("a second signal ends the process at once");
            false
        }
    }
}

async fn leave(daemon: &Daemon) {
    tracing::info!("leaving");
    let drain = Drain::new(
        now_ms(),
        daemon.settings.limits.keep_addresses_ms,
        SPREAD_MS,
    );
    lock(&daemon.membership).leave();
    trainer_task::hand_over_all(daemon);
    announce(daemon).await;
    loop {
        let in_progress = daemon.requests_in_progress.load(Ordering::SeqCst);
        match drain.next_step(now_ms(), in_progress) {
            DrainStep::Serve { until_ms } => sleep_until(until_ms).await,
            DrainStep::Finish => {
                refuse_new(daemon);
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
            DrainStep::Close => break,
        }
    }
    refuse_new(daemon);
    tracing::info!("left");
}

fn refuse_new(daemon: &Daemon) {
    daemon.is_draining.store(true, Ordering::SeqCst);
    daemon.stop_tasks.send_replace(true);
}
