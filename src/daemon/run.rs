use std::{io, sync::Arc, time::Duration};

use poem::{EndpointExt, Response, Route, get, handler, post, web::Data};
use tokio::{net::TcpListener, task::JoinSet};

use super::{
    at_most_once, callers, config, config_peers, crash, operators, peers,
    response::refusal_response,
    serve::{OnDisconnect, serve},
    shutdown::{self, Signals},
    state::{Daemon, lock},
    trainer_task, trainers, watch, weights_rollout_task,
};
use crate::{
    error::{ErrorKind, Refusal},
    settings::Settings,
    wire::peers::{CRASH_NOTICE_PATH, MemberRecord, MemberState},
};

const REQUEST_ID_EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Runs a daemon until it receives a signal or its VM is drained.
///
/// # Errors
///
/// An I/O error if one of the two addresses cannot be bound, or if the signal
/// handlers cannot be installed.
pub async fn run(settings: Settings) -> io::Result<()> {
    let mut signals = Signals::try_new()?;
    let hangups = shutdown::listen_for_hangups()?;
    let caller_listener = TcpListener::bind(settings.caller_address).await?;
    let control_listener = TcpListener::bind(settings.control_address).await?;
    let own_record = MemberRecord {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: caller_listener.local_addr()?,
        control_address: control_listener.local_addr()?,
        incarnation: super::clock::unix_ms(),
        generation: 0,
        state: MemberState::Alive,
    };
    tracing::info!(vm = %own_record.vm, callers = %own_record.caller_address, control = %own_record.control_address, "listening");
    let daemon = Arc::new(Daemon::new(settings, own_record));
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_routes(
        caller_listener,
        caller_routes(),
        OnDisconnect::Cancel,
        daemon.clone(),
    ));
    tasks.spawn(serve_routes(
        control_listener,
        control_routes(),
        OnDisconnect::Finish,
        daemon.clone(),
    ));
    tasks.spawn(write_own_row_with_retries(daemon.clone()));
    tasks.spawn(config::poll_table(daemon.clone()));
    tasks.spawn(peers::run_membership(daemon.clone()));
    tasks.spawn(watch::run_endpoint_polls(daemon.clone()));
    tasks.spawn(watch::run_vm_list_reads(daemon.clone()));
    tasks.spawn(trainer_task::supervise(daemon.clone()));
    tasks.spawn(weights_rollout_task::supervise(daemon.clone()));
    tasks.spawn(shutdown::ignore_hangups(
        hangups,
        daemon.stop_tasks.subscribe(),
    ));
    tasks.spawn(expire_request_ids(daemon.clone()));
    if !shutdown::wait_and_drain(daemon.clone(), &mut signals).await {
        return Ok(());
    }
    daemon.stop_tasks.send_replace(true);
    daemon.close_listeners.send_replace(true);
    // Responses to slow readers are still being written. Writing a response may
    // take as long as a request, but no longer.
    let flush_timeout_ms = daemon.settings.limits.max_request_ms;
    let all_ended = async { while tasks.join_next().await.is_some() {} };
    tokio::select! {
        _ = tokio::time::timeout(Duration::from_millis(flush_timeout_ms), all_ended) => {}
        () = signals.next() => {}
    }
    peers::delete_row(&daemon, &daemon.own_record).await;
    Ok(())
}

fn caller_routes() -> Route {
    Route::new()
        .at("/v1/addresses", get(callers::addresses))
        .at("/v1/completions", post(callers::completions))
        .at("/services/:service/*path", callers::plain_call)
        .at("/v1/trainers/:trainer/steps", post(trainers::open_step))
        .at("/v1/trainers/:trainer/fetch", post(trainers::fetch))
        .at(
            "/v1/trainers/:trainer/acknowledge",
            post(trainers::acknowledge),
        )
}

fn control_routes() -> Route {
    Route::new()
        .at(
            at_most_once::OUTCOME_QUERY_PATH,
            post(at_most_once::answer_outcome_query),
        )
        .at(CRASH_NOTICE_PATH, post(crash::receive_notice))
        .at("/peer/gossip", post(peers::answer_gossip))
        .at("/peer/probe", post(peers::answer_probe))
        .at("/peer/synchronise", post(peers::answer_synchronise))
        .at("/peer/config/announce", post(config_peers::answer_announce))
        .at(
            "/peer/config/since",
            post(config_peers::answer_changes_since),
        )
        .at("/peer/config/vouches", post(config_peers::answer_vouches))
        .at("/operator/config", get(operators::get_config))
        .at("/operator/patch", post(operators::patch))
        .at("/operator/history", get(operators::history))
        .at("/operator/status", get(operators::status))
        .at("/metrics", get(metrics))
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
}

/// Serves routes. Requests that poem itself refuses get an [`ErrorKind`] as
/// well.
async fn serve_routes(
    listener: TcpListener,
    routes: Route,
    on_disconnect: OnDisconnect,
    daemon: Arc<Daemon>,
) {
    let (error_daemon, close) = (daemon.clone(), daemon.close_listeners.subscribe());
    let convert_error = move |error: poem::Error| {
        let refusal = Refusal::new(ErrorKind::BadRequest, error.to_string());
        std::future::ready(refusal_response(&error_daemon, &refusal))
    };
    let endpoint = routes.data(daemon).catch_all_error(convert_error);
    serve(listener, Arc::new(endpoint), on_disconnect, close).await;
}

/// Writes this VM's record to the platform, and retries until it succeeds.
async fn write_own_row_with_retries(daemon: Arc<Daemon>) {
    const OWN_ROW_RETRY_DELAY_MS: u64 = 1_000;
    while !peers::write_own_row(&daemon).await {
        tokio::time::sleep(Duration::from_millis(OWN_ROW_RETRY_DELAY_MS)).await;
    }
}

/// Periodically removes expired request ids.
async fn expire_request_ids(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    while !*stop.borrow_and_update() {
        lock(&daemon.deduplication).expire(super::clock::now_ms());
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(REQUEST_ID_EXPIRY_INTERVAL_MS)) => {}
            _ = stop.changed() => {}
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "poem passes extractors by value"
)]
#[handler]
fn metrics(daemon: Data<&Arc<Daemon>>) -> Response {
    Response::builder()
        .content_type("text/plain; version=0.0.4")
        .body(daemon.metrics.to_text())
}

#[handler]
const fn healthz() -> &'static str {
    "ok\n"
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "poem passes extractors by value"
)]
#[handler]
fn readyz(daemon: Data<&Arc<Daemon>>) -> Response {
    let refusal = if daemon.is_draining.load(std::sync::atomic::Ordering::SeqCst) {
        Some(Refusal::new(
            ErrorKind::Draining,
            "this VM is shutting down",
        ))
    } else {
        config::check_fresh(&daemon).err()
    };
    let status = refusal
        .as_ref()
        .map_or(200, |refusal| refusal.response().status);
    let status = poem::http::StatusCode::from_u16(status).unwrap_or_default();
    let text = refusal.map_or_else(
        || "ready\n".to_owned(),
        |refusal| format!("not ready: {refusal}\n"),
    );
    Response::builder().status(status).body(text)
}
