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
    peers::write_own_row,
    state::{Daemon, lock},
    trainer_task,
};
use crate::core::request::{Drain, DrainStep};

/// How long other members may hand out this VM's address after it has announced
/// that it leaves, in milliseconds.
const LEAVE_SPREAD_MS: u64 = 1_000;
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

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

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Installs the handler for `SIGHUP`, which would otherwise end the process.
pub(crate) fn listen_for_hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Logs and ignores hangups until the daemon stops: settings are read only at
/// the start.
pub(crate) async fn ignore_hangups(mut hangups: Signal, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            _ = hangups.recv() => tracing::info!("reload: settings are read at the next start"),
            // An error means that the daemon was dropped.
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Waits for a signal or a drain by configuration, then drains the VM.
///
/// Returns whether the drain was completed. A second signal aborts it.
pub(crate) async fn wait_and_drain(daemon: Arc<Daemon>, signals: &mut Signals) -> bool {
    let mut config = daemon.config.subscribe();
    let vm = daemon.own_record.vm.clone();
    tokio::select! {
        () = signals.next() => {}
        _ = config.wait_for(|config| config.document.draining_vms.contains(&vm)) => {}
    }
    tokio::select! {
        () = drain(&daemon) => true,
        () = signals.next() => {
            tracing::warn!("drain aborted by a second signal");
            false
        }
    }
}

async fn drain(daemon: &Daemon) {
    tracing::info!("leaving");
    let drain = Drain::new(
        now_ms(),
        daemon.settings.limits.keep_addresses_ms,
        LEAVE_SPREAD_MS,
    );
    lock(&daemon.membership).leave();
    trainer_task::hand_over_ledgers(daemon);
    write_own_row(daemon).await;
    loop {
        let in_progress = daemon.requests_in_progress.load(Ordering::SeqCst);
        match drain.next_step(now_ms(), in_progress) {
            DrainStep::Serve { until_ms } => sleep_until(until_ms).await,
            DrainStep::Finish => {
                refuse_new_requests(daemon);
                tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
            }
            DrainStep::Close => break,
        }
    }
    refuse_new_requests(daemon);
    tracing::info!("left");
}

fn refuse_new_requests(daemon: &Daemon) {
    daemon.is_draining.store(true, Ordering::SeqCst);
    daemon.stop_tasks.send_replace(true);
}
