use std::{io, sync::Arc, time::Duration};

use poem::{EndpointExt, Response, Route, get, handler, post, web::Data};
use tokio::{net::TcpListener, task::JoinSet};

use super::{
    at_most_once, callers, config, config_peers, crash, operators, peers,
    response::refusal_response,
    rollout_task,
    serve::{OnDisconnect, serve},
    shutdown::{self, Signals},
    state::{Daemon, lock},
    trainer_task, trainers, watch,
};
use crate::{
    error::{ErrorKind, Refusal},
    settings::Settings,
    wire::peers::{MemberRecord, MemberState},
};

const EXPIRE_MS: u64 = 1_000;

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// Those of binding the two addresses, and of listening for signals.
pub async fn run(settings: Settings) -> io::Result<()> {
    let mut signals = Signals::try_new()?;
    let hangups = shutdown::listen_for_hangups()?;
    let callers = TcpListener::bind(settings.caller_address).await?;
    let control = TcpListener::bind(settings.control_address).await?;
    let me = MemberRecord {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: callers.local_addr()?,
        control_address: control.local_addr()?,
        incarnation: super::clock::unix_ms(),
        generation: 0,
        state: MemberState::Alive,
    };
    tracing::info!(vm = %me.vm, callers = %me.caller_address, control = %me.control_address, "listening");
    let daemon = Arc::new(Daemon::new(settings, me));
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_routes(
        callers,
        caller_routes(),
        OnDisconnect::Cancel,
        daemon.clone(),
    ));
    tasks.spawn(serve_routes(
        control,
        control_routes(),
        OnDisconnect::Finish,
        daemon.clone(),
    ));
    tasks.spawn(keep_announced(daemon.clone()));
    tasks.spawn(config::poll(daemon.clone()));
    tasks.spawn(peers::membership_loop(daemon.clone()));
    tasks.spawn(watch::run_endpoint_polls(daemon.clone()));
    tasks.spawn(watch::run_list_reads(daemon.clone()));
    tasks.spawn(trainer_task::supervise(daemon.clone()));
    tasks.spawn(rollout_task::supervise(daemon.clone()));
    tasks.spawn(shutdown::ignore_hangups(
        hangups,
        daemon.stop_tasks.subscribe(),
    ));
    tasks.spawn(expire(daemon.clone()));
    if !shutdown::wait_and_drain(daemon.clone(), &mut signals).await {
        return Ok(());
    }
    daemon.stop_tasks.send_replace(true);
    daemon.close_listeners.send_replace(true);
    // Answers to slow readers are still being written. No answer may take
    // longer than a request.
    let flush_ms = daemon.settings.limits.max_request_ms;
    let all = async { while tasks.join_next().await.is_some() {} };
    tokio::select! {
        _ = tokio::time::timeout(Duration::from_millis(flush_ms), all) => {}
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
        .at(crash::CRASH_NOTICE_PATH, post(crash::receive_notice))
        .at("/peer/gossip", post(peers::answer_gossip))
        .at("/peer/probe", post(peers::answer_probe))
        .at("/peer/synchronise", post(peers::answer_synchronise))
        .at("/peer/config/announce", post(config_peers::announced))
        .at("/peer/config/since", post(config_peers::changes_since))
        .at("/peer/config/vouches", post(config_peers::vouches))
        .at("/operator/config", get(operators::get_config))
        .at("/operator/patch", post(operators::patch))
        .at("/operator/history", get(operators::history))
        .at("/operator/status", get(operators::status))
        .at("/metrics", get(metrics))
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
}

/// Serves routes; whatever the library refuses by itself gets an error of the
/// list as well.
async fn serve_routes(
    listener: TcpListener,
    routes: Route,
    on_disconnect: OnDisconnect,
    daemon: Arc<Daemon>,
) {
    let (refusing, close) = (daemon.clone(), daemon.close_listeners.subscribe());
    let refuse_all = move |error: poem::Error| {
        let refusal = Refusal::new(ErrorKind::BadRequest, error.to_string());
        std::future::ready(refusal_response(&refusing, &refusal))
    };
    let endpoint = routes.data(daemon).catch_all_error(refuse_all);
    serve(listener, Arc::new(endpoint), on_disconnect, close).await;
}

async fn keep_announced(daemon: Arc<Daemon>) {
    const AFTER_FAILURE_MS: u64 = 1_000;
    while !peers::announce(&daemon).await {
        tokio::time::sleep(Duration::from_millis(AFTER_FAILURE_MS)).await;
    }
}

async fn expire(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    while !*stop.borrow_and_update() {
        lock(&daemon.deduplication).expire(super::clock::now_ms());
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(EXPIRE_MS)) => {}
            _ = stop.changed() => {}
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "poem hands extractors over by value"
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
    reason = "poem hands extractors over by value"
)]
#[handler]
fn readyz(daemon: Data<&Arc<Daemon>>) -> Response {
    let refused = if daemon.is_draining.load(std::sync::atomic::Ordering::SeqCst) {
        Some(Refusal::new(
            ErrorKind::Draining,
            "this VM is shutting down",
        ))
    } else {
        config::check_fresh(&daemon).err()
    };
    let status = refused
        .as_ref()
        .map_or(200, |refusal| refusal.response().status);
    let status = poem::http::StatusCode::from_u16(status).unwrap_or_default();
    let text = refused.map_or_else(
        || "ready\n".to_owned(),
        |refusal| format!("not ready: {refusal}\n"),
    );
    Response::builder().status(status).body(text)
}
