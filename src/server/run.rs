use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
};

use super::{
    claims, clean, fleet,
    front::{ListenerKind, serve},
    members, orders,
    state::Server,
};
use crate::{
    daemon::{now_ms, sleep_until, unix_ms},
    settings::VmSettings,
};

/// How long before it is killed the process ends by itself, in milliseconds.
const BEFORE_KILL_MS: u64 = 1_200;
/// How long before its end the process closes connections, in milliseconds:
/// by then callers have asked again which VMs to use.
const CLOSING_MS: u64 = 1_500;
/// How often idle connections are looked through, in milliseconds.
const EXPIRE_MS: u64 = 500;

/// Runs one VM until it is told to stop.
///
/// `reload` reads the settings again on SIGHUP; `dropped_lines` returns how many
/// log lines were dropped so far.
///
/// # Errors
///
/// Those of binding the addresses and of listening for signals.
pub async fn run<R, D>(settings: VmSettings, reload: R, dropped_lines: D) -> io::Result<()>
where
    R: Fn() -> Result<VmSettings, String> + Send,
    D: Fn() -> usize + Send + 'static,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let read_at_start = settings.clone();
    let (settings, listeners) = bind(settings).await?;
    let server = Arc::new(Server::new(settings, unix_ms()));
    let bound = &server.settings;
    tracing::info!(vm = %bound.vm, data_centre = %bound.data_centre,
        incarnation = server.incarnation, callers = %bound.caller_address,
        readiness = %bound.readiness_address, directory = %bound.directory_address,
        peers = %bound.peer_address, metrics = %bound.metrics_address, "start");
    for (listener, kind) in listeners {
        tokio::spawn(serve(server.clone(), listener, kind));
    }
    tokio::spawn(fleet::follow_operator(server.clone()));
    tokio::spawn(fleet::follow_endpoints(server.clone()));
    tokio::spawn(claims::follow_batches(server.clone()));
    tokio::spawn(claims::claim(server.clone()));
    tokio::spawn(members::beat(server.clone()));
    tokio::spawn(orders::order(server.clone()));
    tokio::spawn(expire(server.clone(), dropped_lines));
    tokio::spawn(clean::clean(server.clone()));
    let probing = server.clone();
    tokio::spawn(async move { probing.store.probe().await });
    wait(
        &read_at_start,
        &mut terminate,
        &mut interrupt,
        &mut hangup,
        reload,
    )
    .await;
    leave(&server).await;
    Ok(())
}

/// Binds the addresses of the settings, and puts in the ports that the kernel
/// chose where a port is 0.
async fn bind(mut settings: VmSettings) -> io::Result<(VmSettings, Vec<(TcpListener, ListenerKind)>)> {
    let doors = [
        (&mut settings.caller_address, ListenerKind::Callers),
        (&mut settings.readiness_address, ListenerKind::Readiness),
        (&mut settings.directory_address, ListenerKind::Directory),
        (&mut settings.peer_address, ListenerKind::Peers),
        (&mut settings.metrics_address, ListenerKind::Metrics),
    ];
    let mut listeners = Vec::new();
    for (address, kind) in doors {
        let listener = TcpListener::bind(*address).await?;
        *address = listener.local_addr()?;
        listeners.push((listener, kind));
    }
    Ok((settings, listeners))
}

/// Waits for the signal to stop.
async fn wait<R>(
    read_at_start: &VmSettings,
    terminate: &mut Signal,
    interrupt: &mut Signal,
    hangup: &mut Signal,
    reload: R,
) where
    R: Fn() -> Result<VmSettings, String>,
{
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => match reload() {
                Ok(settings) => {
                    let is_changed = settings != *read_at_start;
                    tracing::info!(is_changed, "reload: changes take effect at the next start");
                }
                Err(error) => tracing::error!(error, "reload: the settings are not valid"),
            },
        }
    }
}

/// Leaves in order: callers are sent elsewhere, shares are given back, and
/// what is in progress ends.
async fn leave(server: &Arc<Server>) {
    let grace_ms = Duration::from_secs_f64(server.settings.stop_grace_s).as_millis();
    let grace_ms = u64::try_from(grace_ms).unwrap_or(u64::MAX);
    let end_ms = now_ms() + grace_ms.saturating_sub(BEFORE_KILL_MS);
    tracing::info!(end_ms, "stop: leaving");
    server
        .is_draining
        .store(true, std::sync::atomic::Ordering::SeqCst);
    tokio::join!(members::withdraw(server), claims::release_all(server));
    sleep_until(end_ms.saturating_sub(CLOSING_MS)).await;
    server.close.send_replace(true);
    sleep_until(end_ms).await;
    tracing::info!("stop: left");
}

async fn expire<D>(server: Arc<Server>, dropped_lines: D)
where
    D: Fn() -> usize,
{
    let mut dropped_before = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRE_MS)).await;
        server.http.expire();
        let dropped = dropped_lines();
        if dropped > dropped_before {
            let lines = dropped - dropped_before;
            tracing::warn!(lines, "log lines dropped: they were not read in time");
            dropped_before = dropped;
        }
        let dropped = i64::try_from(dropped).unwrap_or(i64::MAX);
        server.metrics.log_lines_dropped.set(dropped);
        let lapsed = super::state::lock(&server.pool).expire(now_ms());
        for endpoint in lapsed {
            tracing::info!(%endpoint, "endpoint gone: its entry did not come back");
        }
    }
}
