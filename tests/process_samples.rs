//! A trainer's samples with real processes: the daemon that holds the trainer's
//! lease is paused, killed or stopped, and the platform fails.

mod cluster;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use chicoryreach::{
    core::{
        lease::LeaseRow,
        sample::{HeadRow, head_key},
    },
    daemon::HttpError,
    error::ErrorKind,
    wire::{callers::ErrorBody, platform::Get, trainers::Acknowledge},
};
use cluster::{Cluster, WAIT_TIMEOUT, eventually};
use rustix::process::Signal;
use serde::de::DeserializeOwned;
use standins::{
    drive::prompts,
    engine::EngineSettings,
    oracle::Verdict,
    platform::Faults,
    trainer::{Trainer, TrainerSettings},
    world::WorldSize,
};
use tokio::task::JoinHandle;

const SIZE: WorldSize = WorldSize {
    daemons: 3,
    engines: 3,
    services: 1,
    data_centres: 2,
};
/// Slow enough that a step is still in progress when a fault occurs.
const ENGINE: EngineSettings = EngineSettings {
    slots: 2,
    chunk_tokens: 8,
    chunk_ms: 100,
    load_ms: 200,
    restart_ms: 1_000,
    checks_fence: true,
    weights_version: 1,
};
const STEPS: u64 = 3;
const GROUPS: usize = 6;
const SAMPLES_PER_GROUP: u32 = 8;
const SAMPLES: u64 = STEPS * GROUPS as u64 * SAMPLES_PER_GROUP as u64;
const LEASE_TERM: Duration = Duration::from_secs(10);

/// Starts a trainer, and returns once samples of its first step are committed.
async fn start_trainer(cluster: &Cluster) -> JoinHandle<(Trainer, Verdict)> {
    let settings = TrainerSettings {
        trainer: "pricing".into(),
        service: "demand-lm".into(),
        prompts: prompts()
            .into_iter()
            .take(GROUPS)
            .collect::<Vec<Arc<str>>>(),
        samples_per_group: SAMPLES_PER_GROUP,
        max_tokens: 64,
        staleness_bound: 1,
        steps: STEPS,
        train_ms: 0,
        deadline: Instant::now() + WAIT_TIMEOUT,
    };
    let mut trainer = Trainer::new(
        settings,
        cluster.caller_addresses(),
        cluster.control_addresses(),
    );
    let running = tokio::spawn(async move {
        let mut verdict = Verdict::default();
        trainer.run(&mut verdict).await;
        (trainer, verdict)
    });
    wait_for_head(cluster, "samples are committed", |head| {
        head.next_cursor > 4
    })
    .await;
    running
}

/// Waits for the trainer's end, and checks that every sample arrived once, fresh
/// and with the versions that produced it.
async fn finish_trainer(running: JoinHandle<(Trainer, Verdict)>) -> Trainer {
    let (trainer, verdict) = running.await.expect("the trainer ends");
    assert_eq!(verdict.broken_promises, Vec::<String>::new());
    let counts = (verdict.delivered, verdict.doubled, verdict.lost);
    assert_eq!(counts, (SAMPLES, 0, 0));
    trainer
}

fn read_row<T>(cluster: &Cluster, key: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let get = Get {
        keys: vec![key.into()],
    };
    let rows = cluster.world.platform.with_store(|store| store.get(&get));
    serde_json::from_value(rows.into_iter().next()?.value).ok()
}

async fn wait_for_head<F>(cluster: &Cluster, what: &str, condition: F) -> HeadRow
where
    F: Fn(&HeadRow) -> bool,
{
    eventually(what, async || {
        read_row::<HeadRow>(cluster, &head_key("pricing")).filter(&condition)
    })
    .await
}

/// Returns the number of the daemon that holds the trainer's lease.
fn find_holder(cluster: &Cluster) -> usize {
    let lease: LeaseRow = read_row(cluster, "lease/trainer/pricing").expect("there is a lease");
    let vm = lease.holder.expect("the lease is held");
    let mut records = cluster.records.iter();
    records
        .position(|record| record.vm == vm)
        .expect("the holder is known")
}

async fn read_counter(cluster: &Cluster, daemon: usize, name: &str) -> u64 {
    let address = cluster.records[daemon].control_address;
    let text = cluster.metrics(address).await;
    let name = format!("chicoryreach_{name}_total ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    let value = value.and_then(|value| value.parse().ok());
    value.expect("the daemon shows the counter")
}

/// Returns the sum of a counter over all daemons.
async fn sum_counter(cluster: &Cluster, name: &str) -> u64 {
    let mut sum = 0;
    for daemon in 0..SIZE.daemons {
        sum += read_counter(cluster, daemon, name).await;
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_paused_past_its_lease_duplicates_nothing() {
    let cluster = Cluster::start(SIZE, ENGINE).await;
    let running = start_trainer(&cluster).await;
    let paused = find_holder(&cluster);
    let before = wait_for_head(&cluster, "there is a head", |_| true).await;
    cluster.signal(paused, Signal::STOP);
    wait_for_head(&cluster, "another daemon commits samples", |head| {
        head.fence > before.fence && head.next_cursor > before.next_cursor
    })
    .await;
    cluster.signal(paused, Signal::CONT);
    let trainer = finish_trainer(running).await;
    println!("gap of a pause: {} ms", trainer.longest_gap.as_millis());
}

#[tokio::test(flavor = "multi_thread")]
async fn short_outage_refuses_calls_quickly_and_loses_no_sample() {
    let cluster = Cluster::start(SIZE, ENGINE).await;
    let running = start_trainer(&cluster).await;
    let holder = find_holder(&cluster);
    let failures = read_counter(&cluster, holder, "commit_failures").await;
    cluster.world.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    eventually("commits fail", async || {
        (read_counter(&cluster, holder, "commit_failures").await > failures + 3).then_some(())
    })
    .await;
    // The version is new, so that the call has a change to commit.
    let ack = Acknowledge {
        cursor: 0,
        weights_version: 1_000,
    };
    let address = cluster.records[holder].caller_address;
    let sent_at = Instant::now();
    let path = "/v1/trainers/pricing/acknowledge";
    let answer: Result<serde_json::Value, _> =
        cluster.http.post_json(address, path, &ack, 60_000).await;
    let waited = sent_at.elapsed();
    let Err(HttpError::Status(_, body)) = answer else {
        panic!("the call was not refused: {answer:?}");
    };
    let body: ErrorBody = serde_json::from_slice(&body).expect("the refusal can be read");
    assert_eq!(
        (body.kind, body.not_run),
        (ErrorKind::PlatformUnavailable, true)
    );
    assert!(body.retry_at_ms.is_some(), "the refusal says when to retry");
    assert!(
        waited < Duration::from_secs(1),
        "the refusal took {waited:?}"
    );
    cluster.world.platform.set_faults(Faults::default());
    finish_trainer(running).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_longer_than_a_lease_generates_no_sample_twice() {
    let cluster = Cluster::start(SIZE, ENGINE).await;
    let running = start_trainer(&cluster).await;
    let holder = find_holder(&cluster);
    cluster.world.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    eventually("the lease expires", async || {
        (read_counter(&cluster, holder, "ledgers_lost").await > 0).then_some(())
    })
    .await;
    cluster.world.platform.set_faults(Faults::default());
    finish_trainer(running).await;
    let generated = sum_counter(&cluster, "samples_generated").await;
    let stale = sum_counter(&cluster, "samples_stale").await
        + sum_counter(&cluster, "samples_dropped").await;
    assert_eq!(
        generated - stale,
        SAMPLES,
        "{generated} generated, {stale} stale"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn busy_trainer_commits_about_once_a_second_and_idle_one_never() {
    let cluster = Cluster::start(SIZE, ENGINE).await;
    let started = Instant::now();
    finish_trainer(start_trainer(&cluster).await).await;
    let busy = started.elapsed();
    let commits = sum_counter(&cluster, "commits").await;
    println!(
        "{commits} commits in {} ms, {STEPS} steps",
        busy.as_millis()
    );
    // One paced commit per second, a burst of 4, one for the takeover, and 4 per
    // step: its opening, its end, the acknowledgement of its end, and samples that
    // became stale.
    let max_commits = busy.as_secs() + 4 + 1 + 4 * STEPS;
    assert!(
        commits <= max_commits,
        "{commits} commits in {busy:?}, expected at most {max_commits}"
    );
    let lease_version = || {
        let key = "lease/trainer/pricing";
        let get = Get {
            keys: vec![key.into()],
        };
        cluster
            .world
            .platform
            .with_store(|store| store.get(&get)[0].row_version)
    };
    let before = lease_version();
    eventually("the lease is renewed", async || {
        (lease_version() > before + 1).then_some(())
    })
    .await;
    assert_eq!(
        sum_counter(&cluster, "commits").await,
        commits,
        "an idle trainer caused commits"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn commits_with_lost_answers_are_resolved() {
    let cluster = Cluster::start(SIZE, ENGINE).await;
    let running = start_trainer(&cluster).await;
    cluster.world.platform.set_faults(Faults {
        lose_answers: 4,
        ..Faults::default()
    });
    finish_trainer(running).await;
    let left = cluster.world.platform.faults().lose_answers;
    assert_eq!(left, 0, "some answers that were to be lost were not lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_holder_hands_over_within_half_a_lease_term() {
    let mut cluster = Cluster::start(SIZE, ENGINE).await;
    let running = start_trainer(&cluster).await;
    let leaving = find_holder(&cluster);
    cluster.signal(leaving, Signal::TERM);
    let code = cluster.exit_code(leaving).await;
    let trainer = finish_trainer(running).await;
    let gap = trainer.longest_gap;
    println!("gap of a planned stop: {} ms", gap.as_millis());
    assert_eq!(code, Some(0));
    assert!(gap < LEASE_TERM / 2, "no answer for {gap:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed_during_a_step_loses_nothing() {
    let mut cluster = Cluster::start(SIZE, ENGINE).await;
    let running = start_trainer(&cluster).await;
    let killed = find_holder(&cluster);
    cluster.kill(killed);
    let trainer = finish_trainer(running).await;
    println!("gap of a kill: {} ms", trainer.longest_gap.as_millis());
}
