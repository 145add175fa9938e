use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{Signal, SignalKind, signal},
};

use super::{
    claims, clean, connections, crash, crash_rows,
    duties::{self, DutyHandle},
    fleet,
    front::{ListenerKind, serve},
    members, orders, paths, permits, silence,
    state::Server,
    stream_rows,
};
use crate::{
    core::request::StopSchedule,
    daemon::{now_ms, sleep_until, unix_ms},
    settings::VmSettings,
};

/// How many connections may wait to be accepted: the kernel drops further ones, and
/// their callers try again only after a second.
const MAX_UNACCEPTED_CONNECTIONS: u32 = 1_024;
/// How often to check whether callers still wait at the end, in milliseconds.
const LAST_CALLERS_CHECK_INTERVAL_MS: u64 = 10;
/// The interval between removals of expired idle connections and endpoints, in
/// milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 500;

/// Runs one VM until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// `reload` reads the settings again on SIGHUP; `dropped_lines` returns how many
/// log lines were dropped so far.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a signal handler cannot be
/// installed.
pub async fn run<R, D>(settings: VmSettings, reload: R, dropped_lines: D) -> io::Result<()>
where
    R: Fn() -> Result<VmSettings, String> + Send,
    D: Fn() -> usize + Send + 'static,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let settings_at_start = settings.clone();
    let (settings, listeners) = bind(settings)?;
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
    tokio::spawn(claims::claim_shares(server.clone()));
    tokio::spawn(members::run_heartbeat(server.clone()));
    tokio::spawn(crash_rows::follow_rows(server.clone()));
    tokio::spawn(crash_rows::write_rows(server.clone()));
    tokio::spawn(silence::check_silent_endpoints(server.clone()));
    tokio::spawn(orders::run_orders(server.clone()));
    if let Some(handle) = DutyHandle::of(&server) {
        tokio::spawn(duties::keep_lease(handle.clone()));
        tokio::spawn(duties::run_duties(handle));
    }
    if let Some(counted) = server.duties.clone() {
        tokio::spawn(duties::write_counts(server.clone(), counted));
    }
    tokio::spawn(stream_rows::follow_origins(server.clone()));
    tokio::spawn(stream_rows::write_rows(server.clone()));
    tokio::spawn(stream_rows::clean_periodically(server.clone()));
    tokio::spawn(paths::run_checks(server.clone()));
    tokio::spawn(expire_periodically(server.clone(), dropped_lines));
    tokio::spawn(connections::close_expired_periodically(server.clone()));
    tokio::spawn(permits::expire_periodically(server.clone()));
    tokio::spawn(clean::delete_old_batches(server.clone()));
    let probing = server.clone();
    tokio::spawn(async move { probing.store.probe_direct_connection().await });
    wait_for_stop(
        &settings_at_start,
        &mut terminate,
        &mut interrupt,
        &mut hangup,
        reload,
    )
    .await;
    shut_down(&server).await;
    Ok(())
}

/// Binds the addresses in the settings, and replaces each port 0 by the port
/// that the kernel chose.
fn bind(mut settings: VmSettings) -> io::Result<(VmSettings, Vec<(TcpListener, ListenerKind)>)> {
    let addresses = [
        (&mut settings.caller_address, ListenerKind::Callers),
        (&mut settings.readiness_address, ListenerKind::Readiness),
        (&mut settings.directory_address, ListenerKind::Directory),
        (&mut settings.peer_address, ListenerKind::Peers),
        (&mut settings.metrics_address, ListenerKind::Metrics),
    ];
    let mut listeners = Vec::new();
    for (address, kind) in addresses {
        let listener = listen(*address).map_err(|error| {
            io::Error::new(error.kind(), format!("cannot bind {address}: {error}"))
        })?;
        *address = listener.local_addr()?;
        listeners.push((listener, kind));
    }
    Ok((settings, listeners))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // A VM that starts again binds its addresses although old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_UNACCEPTED_CONNECTIONS)
}

/// Waits for SIGTERM or SIGINT, and checks the settings on each SIGHUP.
async fn wait_for_stop<R>(
    settings_at_start: &VmSettings,
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
                    let is_changed = settings != *settings_at_start;
                    tracing::info!(is_changed,
                        "reload: settings are valid, changes take effect at the next start");
                }
                Err(error) => tracing::error!(error, "reload: settings are not valid"),
            },
        }
    }
}

/// Shuts down gracefully: withdraws this VM from the list for callers, releases
/// its shares, and lets requests in progress finish. Of those that come meanwhile, only
/// requests that end before the exit are accepted.
async fn shut_down(server: &Arc<Server>) {
    let grace_ms = Duration::from_secs_f64(server.settings.stop_grace_s).as_millis();
    let grace_ms = u64::try_from(grace_ms).unwrap_or(u64::MAX);
    let told_ms = now_ms();
    let stop = *server
        .stop
        .get_or_init(|| StopSchedule::new(told_ms, grace_ms));
    let (close_in_ms, exit_in_ms) = (stop.close_at_ms - told_ms, stop.exit_at_ms - told_ms);
    tracing::info!(close_in_ms, exit_in_ms, "stop: leaving");
    tokio::join!(
        members::delete_own_row(server),
        claims::release_all_shares(server)
    );
    sleep_until(stop.close_at_ms).await;
    server.close_connections.send_replace(true);
    sleep_until(stop.idle_exit_at_ms).await;
    let open_connections = || server.caller_connections.load(Ordering::SeqCst);
    let relayed_requests = || server.relayed_requests.load(Ordering::SeqCst);
    while open_connections() + relayed_requests() > 0 && now_ms() < stop.exit_at_ms {
        tokio::time::sleep(Duration::from_millis(LAST_CALLERS_CHECK_INTERVAL_MS)).await;
    }
    duties::flush_counts(server).await;
    tracing::info!(
        open_connections = open_connections(),
        relayed_requests = relayed_requests(),
        "stop: exiting"
    );
}

/// Removes expired idle connections and endpoints, and reports dropped log lines.
async fn expire_periodically<D>(server: Arc<Server>, dropped_lines: D)
where
    D: Fn() -> usize,
{
    let mut dropped_before = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        server.http.close_expired();
        let dropped = dropped_lines();
        if dropped > dropped_before {
            let lines = dropped - dropped_before;
            tracing::warn!(lines, "log lines dropped: they were not read in time");
            dropped_before = dropped;
        }
        let dropped = i64::try_from(dropped).unwrap_or(i64::MAX);
        server.metrics.log_lines_dropped.set(dropped);
        let expired = super::state::lock(&server.pool).expire(now_ms());
        for before in expired {
            tracing::info!(endpoint = %before.record.id, "endpoint gone: it was not listed again in time");
            crash::on_endpoint_gone(&server, &before);
        }
    }
}
