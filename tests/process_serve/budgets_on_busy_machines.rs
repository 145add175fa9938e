//! Guards against repeats beyond the budgets of attempts, time and crashes on machines
//! whose processors are scarce, so that timers fire late and answers come late.
//!
//! The bounds are judged from what samplers received. The long form runs by hand:
//! `BUSY_SECONDS=60 cargo test --test process_serve busy_machines -- --ignored --nocapture`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use chicoryreach::daemon::HttpClient;
use hyper::Method;
use rustix::process::Signal;
use standins::fleet::{AnswerFault, RowStore, RunStart, Sampler, SamplerSettings};

use super::requests_that_crash_samplers::{CULPRIT, Damage, MAX_LATE_RETRIES};
use crate::fleet::{Fleet, SAMPLER_SETTINGS, call, config};

/// The deadline that callers of the tests state.
const CALLER_DEADLINE_MS: u64 = 5_000;
/// What the users allow: how much later a deadline may end, and how much later a repeat
/// counts.
const SLACK: Duration = Duration::from_millis(500);
/// The most requests that may reach more samplers than their route's attempts.
const MAX_BEYOND_ATTEMPTS: usize = 3;
/// The most requests that may be handed more time than is left, unless they are a
/// smaller share than [`MAX_BEYOND_TIME_SHARE`] of all that were repeated late.
const MAX_BEYOND_TIME: usize = 20;
const MAX_BEYOND_TIME_SHARE: f64 = 0.2;

/// What requests got beyond their budgets.
#[derive(Debug, Default)]
struct Overruns {
    /// The requests that ran at more samplers than their attempts.
    beyond_attempts: BTreeSet<String>,
    /// The requests that were handed more time than was left.
    beyond_time: BTreeSet<String>,
    /// The requests that were sent once more, later than the slack.
    repeated_late: usize,
}

impl Overruns {
    /// Judges all runs of plain samplers; score calls have the time of their first run.
    fn of(samplers: &[Sampler], max_attempts: usize) -> Self {
        let mut by_id: BTreeMap<String, Vec<(RunStart, &str)>> = BTreeMap::new();
        for sampler in samplers {
            for run in sampler
                .all_runs()
                .into_iter()
                .filter(|run| *run.body != *CULPRIT)
            {
                by_id
                    .entry(run.id.clone())
                    .or_default()
                    .push((run, &sampler.id));
            }
        }
        let mut overruns = Self::default();
        for (id, mut runs) in by_id {
            runs.sort_by_key(|(run, _)| run.at);
            let is_score = id.contains("-score");
            let at: BTreeSet<&str> = runs.iter().map(|(_, sampler)| *sampler).collect();
            if !is_score && at.len() > max_attempts {
                overruns.beyond_attempts.insert(id.clone());
            }
            let ends_at = |run: &RunStart| {
                run.deadline_ms
                    .map(|deadline_ms| run.at + Duration::from_millis(deadline_ms))
            };
            let (first, _) = &runs[0];
            let late: Vec<&RunStart> = runs.iter().map(|(run, _)| run).collect();
            let late: Vec<&RunStart> = late
                .into_iter()
                .filter(|run| run.at > first.at + SLACK)
                .collect();
            overruns.repeated_late += usize::from(!late.is_empty());
            let is_too_long = |run: &RunStart| match run.deadline_ms {
                None => true,
                Some(deadline_ms) => !is_score && deadline_ms > CALLER_DEADLINE_MS + 500,
            };
            let ends_late = late.iter().any(|run| {
                ends_at(run)
                    .zip(ends_at(first))
                    .is_some_and(|(end, first)| end > first + SLACK)
            });
            if ends_late || runs.iter().any(|(run, _)| is_too_long(run)) {
                overruns.beyond_time.insert(id);
            }
        }
        overruns
    }

    fn assert_bounded(&self) {
        let (attempts, time) = (self.beyond_attempts.len(), self.beyond_time.len());
        println!(
            "beyond attempts {attempts}, beyond time {time} of {} repeated late",
            self.repeated_late
        );
        assert!(
            attempts <= MAX_BEYOND_ATTEMPTS,
            "{:?}",
            self.beyond_attempts
        );
        #[expect(clippy::cast_precision_loss, reason = "a count")]
        let share = time as f64 / self.repeated_late.max(1) as f64;
        let is_bounded = time <= MAX_BEYOND_TIME || share <= MAX_BEYOND_TIME_SHARE;
        assert!(
            is_bounded,
            "{time} of {}: {:?}",
            self.repeated_late, self.beyond_time
        );
    }
}

/// Guards against score calls that are handed new time with each repeat, at samplers
/// that answer later than one try waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_score_calls_are_handed_only_the_time_that_is_left() {
    let slow = SamplerSettings {
        work_ms: 450,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start(2, slow).await;
    fleet.submit_batch(0, "b1", 48, 1).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    Overruns::of(&fleet.plain_samplers, 3).assert_bounded();
}

/// Guards against score calls that are repeated until their sample expires, since no try
/// waits as long as the sampler takes, although the route allows it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn score_calls_wait_longer_after_a_try_that_timed_out() {
    const SAMPLES: usize = 12;
    const MAX_TRIES: usize = 3;
    let slow = SamplerSettings {
        work_ms: 450,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start(2, slow).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    let results = fleet.read_all_results(0, "b1", SAMPLES).await;
    fleet.assert_all_complete("b1", &results, SAMPLES, SAMPLER_SETTINGS.events);
    for number in 0..SAMPLES {
        let id = format!("b1-score{number}");
        let runs = fleet
            .plain_samplers
            .iter()
            .flat_map(Sampler::run_request_ids);
        let tries = runs.filter(|run| *run == id).count();
        assert!((1..=MAX_TRIES).contains(&tries), "{id}: {tries} tries");
    }
}

/// Keeps processors busy until it is dropped.
struct Burners(Arc<AtomicBool>, Vec<thread::JoinHandle<()>>);

impl Burners {
    fn start(count: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let burn = |is_over: Arc<AtomicBool>| {
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            })
        };
        let threads = (0..count).map(|_| burn(is_over.clone())).collect();
        Self(is_over, threads)
    }
}

impl Drop for Burners {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        for burner in self.1.drain(..) {
            // A burner does not panic.
            let _ = burner.join();
        }
    }
}

/// Sends the culprit and harmless requests to VMs in turn until the time is over.
async fn send_requests(fleet: &Fleet, ends_at: Instant) {
    let http = HttpClient::new();
    let vms: Vec<_> = fleet.vms.iter().map(|vm| vm.addresses["callers"]).collect();
    let (http, vms) = (&http, &vms);
    let senders = (0..12).map(|sender| async move {
        let mut number = 0;
        while Instant::now() < ends_at {
            let vm = vms[(sender + number) % vms.len()];
            let (path, body) = if sender == 0 {
                ("/slips/culprit", Bytes::from_static(CULPRIT))
            } else {
                ("/slips/1", Bytes::from(format!("{sender}-{number}")))
            };
            let id = format!("busy-{sender}-{number}");
            call(http, Method::POST, vm, path, &id, body).await;
            number += 1;
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    });
    futures_util::future::join_all(senders).await;
}

/// Changes the configuration, breaks answers and freezes VMs until the time is over.
async fn disturb(fleet: &Fleet, ends_at: Instant) {
    let mut version = 2_u64;
    while Instant::now() < ends_at {
        let mut changed = config(version);
        let attempts = 2 + version % 2;
        changed["routes"][0]["attempts"] = attempts.into();
        changed["routes"][0]["timeout_ms"] = (1_500 + 500 * (version % 2)).into();
        let changed = STANDARD.encode(changed.to_string());
        fleet
            .store
            .with_store(|store: &mut RowStore| store.put("op", "config", changed));
        for sampler in &fleet.plain_samplers {
            sampler.inject_answer_faults(AnswerFault::Cut, 2);
            sampler.inject_answer_faults(AnswerFault::Refused, 2);
        }
        let vm = usize::try_from(version).expect("small") % fleet.vms.len();
        fleet.try_signal(vm, Signal::STOP);
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.try_signal(vm, Signal::CONT);
        tokio::time::sleep(Duration::from_millis(500)).await;
        version += 1;
    }
}

async fn run_busy_fleet(seconds: u64, burners: usize) {
    let fleet = Fleet::start(4, SAMPLER_SETTINGS).await;
    for sampler in &fleet.plain_samplers {
        sampler.crash_on(CULPRIT);
    }
    let _burners = Burners::start(burners);
    let ends_at = Instant::now() + Duration::from_secs(seconds);
    fleet.submit_batch(0, "b1", 48, 1).await;
    futures_util::future::join(send_requests(&fleet, ends_at), disturb(&fleet, ends_at)).await;
    let damage = Damage::of(&fleet.plain_samplers);
    println!("{damage:?}");
    Overruns::of(&fleet.plain_samplers, 3).assert_bounded();
    assert!(damage.late_runs <= MAX_LATE_RETRIES, "{damage:?}");
}

/// Guards against repeats that pile up while processors are scarce, VMs freeze and the
/// configuration changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budgets_hold_on_a_busy_machine() {
    run_busy_fleet(10, 8).await;
}

/// Runs [`run_busy_fleet`] for `BUSY_SECONDS` beside `BUSY_THREADS` threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "runs for a minute; started by hand"]
async fn budgets_hold_on_a_busy_machine_for_longer() {
    let number = |name: &str, default: u64| {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let threads = usize::try_from(number("BUSY_THREADS", 24)).expect("small");
    run_busy_fleet(number("BUSY_SECONDS", 60), threads).await;
}
