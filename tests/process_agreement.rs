//! Agreement on the configuration with real processes: concurrent patches,
//! outages, lost answers and crashes.

mod cluster;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use chicoryreach::{
    daemon::{HttpClient, HttpError},
    wire::operators::{Accepted, HistoryEntry, Patch},
};
use cluster::{Cluster, eventually};
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::{engine::EngineSettings, platform::Faults, world::WorldSize};

const REQUEST_TIMEOUT_MS: u64 = 20_000;
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
const SIZE: WorldSize = WorldSize {
    daemons: 3,
    engines: 3,
    services: 1,
    data_centres: 2,
};

/// Submits a patch, and returns its number or the error's body.
async fn submit_patch(
    daemon: SocketAddr,
    id: &str,
    against: u64,
    weights_version: u64,
) -> Result<u64, Value> {
    let merge = json!({"services": {"demand-lm": {"weights_version": weights_version}}});
    let patch = Patch {
        id: id.into(),
        against,
        merge,
    };
    let answer: Result<Accepted, _> = HttpClient::new()
        .post_json(daemon, "/operator/patch", &patch, REQUEST_TIMEOUT_MS)
        .await;
    match answer {
        Ok(accepted) => Ok(accepted.number),
        Err(HttpError::Status(_, body)) => {
            Err(serde_json::from_slice(&body).expect("the error is JSON"))
        }
        Err(error) => panic!("the daemon did not answer: {error}"),
    }
}

async fn fetch_history(daemon: SocketAddr) -> Vec<HistoryEntry> {
    HttpClient::new()
        .get_json(daemon, "/operator/history", REQUEST_TIMEOUT_MS)
        .await
        .expect("the daemon returns its history")
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_patches_accept_exactly_one() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control = cluster.control_addresses();
    for against in 1..=5 {
        let (one, other) = (format!("one-{against}"), format!("other-{against}"));
        let (one, other) = tokio::join!(
            submit_patch(control[0], &one, against, against),
            submit_patch(control[1], &other, against, against + 1)
        );
        let (accepted, refused) = match (one, other) {
            (Ok(accepted), Err(refused)) | (Err(refused), Ok(accepted)) => (accepted, refused),
            both => panic!("exactly one of two concurrent patches must be refused: {both:?}"),
        };
        assert_eq!(accepted, against + 1);
        assert_eq!(refused["kind"], "config_conflict", "{refused}");
        assert_eq!(refused["not_run"], true, "{refused}");
    }
    assert_eq!(fetch_history(control[2]).await.len(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses_patches_and_keeps_daemons_ready() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control = cluster.control_addresses();
    cluster.world.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let refused = submit_patch(control[0], "in-outage", 1, 2).await;
    let refused = refused.expect_err("no patch is accepted in an outage");
    assert_eq!(refused["kind"], "platform_unavailable", "{refused}");
    assert_eq!(refused["not_run"], true, "{refused}");
    for daemon in &control {
        assert_eq!(fetch_readiness(&cluster.http, *daemon).await, "ready");
    }
    cluster.world.platform.set_faults(Faults::default());
    assert_eq!(submit_patch(control[1], "in-outage", 1, 2).await, Ok(2));
    assert_eq!(fetch_history(control[2]).await.len(), 2);
}

/// Returns "ready", or why a daemon is not.
async fn fetch_readiness(http: &HttpClient, daemon: SocketAddr) -> String {
    let answer: Result<Value, _> = http.get_json(daemon, "/readyz", REQUEST_TIMEOUT_MS).await;
    match answer {
        Err(HttpError::Status(_, body)) => String::from_utf8_lossy(&body).into_owned(),
        Err(HttpError::Invalid(_)) => "ready".to_owned(),
        other => panic!("readiness was answered with {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_keeps_quorum_ready_and_lone_daemon_refuses() {
    // Longer than a daemon may act on its last answer from the table.
    const OUTAGE: Duration = Duration::from_secs(14);
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control = cluster.control_addresses();
    cluster.world.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let started = Instant::now();
    while started.elapsed() < OUTAGE {
        for daemon in &control {
            assert_eq!(fetch_readiness(&cluster.http, *daemon).await, "ready");
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
    cluster.signal(1, Signal::STOP);
    cluster.signal(2, Signal::STOP);
    let refuses = async || {
        let reason = fetch_readiness(&cluster.http, control[0]).await;
        reason.contains("config_too_old").then_some(())
    };
    eventually("the only running daemon refuses work", refuses).await;
    let answer: Result<Value, _> = cluster
        .http
        .get_json(
            cluster.caller_addresses()[0],
            "/v1/addresses",
            REQUEST_TIMEOUT_MS,
        )
        .await;
    assert!(
        matches!(answer, Err(HttpError::Status(status, _)) if status.as_u16() == 503),
        "{answer:?}"
    );
    cluster.signal(1, Signal::CONT);
    cluster.signal(2, Signal::CONT);
    for daemon in &control {
        let ready =
            async || (fetch_readiness(&cluster.http, *daemon).await == "ready").then_some(());
        eventually("the quorum is ready again without the table", ready).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn patch_with_lost_answers_is_written_once() {
    // Leases write too: enough answers are lost for them and for the patch.
    const LOST_ANSWERS: u32 = 6;
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control = cluster.control_addresses();
    cluster.world.platform.set_faults(Faults {
        lose_answers: LOST_ANSWERS,
        ..Faults::default()
    });
    assert_eq!(submit_patch(control[0], "lost", 1, 2).await, Ok(2));
    assert_eq!(submit_patch(control[1], "lost", 1, 2).await, Ok(2));
    let history = fetch_history(control[2]).await;
    let written = history.iter().filter(|entry| &*entry.patch_id == "lost");
    assert_eq!(written.count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn crashed_engines_get_new_weights() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control = cluster.control_addresses();
    assert_eq!(submit_patch(control[0], "weights", 1, 2).await, Ok(2));
    let engines = &cluster.world.engines;
    engines[0].1.crash();
    let all_have_version = async |version: u64| {
        let mut engines = engines.iter();
        engines
            .all(|(_, engine)| engine.weights_version() == version)
            .then_some(())
    };
    eventually("all engines have version 2", async || {
        all_have_version(2).await
    })
    .await;
    let before = engines[1].1.incarnation();
    engines[1].1.crash();
    let restarted = async || (engines[1].1.incarnation() > before).then_some(());
    eventually("the engine has restarted", restarted).await;
    eventually("the restarted engine has version 2", async || {
        all_have_version(2).await
    })
    .await;
}
