//! Runs callers and a trainer against running daemons and checks their results.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use chicoryreach::{
    core::config::VersionedDocument,
    daemon::HttpClient,
    wire::{
        callers::CompletionRequest,
        operators::{Accepted, Patch},
        peers::MemberRecord,
        platform::{Row, Scan},
    },
};
use hdrhistogram::Histogram;
use serde_json::Value;

use crate::{
    caller::{CallOutcome, CallSpec, Caller, parse_completion},
    oracle::Verdict,
    service::ServiceAnswer,
    trainer::{Trainer, TrainerSettings},
};

const PROMPTS: &str = include_str!("../data/prompts.json");
const CALLS: &str = include_str!("../data/calls.json");
/// The time limit of a call to the platform or to a daemon's control address.
const CALL_TIMEOUT_MS: u64 = 5_000;
/// The time that training on a step takes. As in production, it is longer than
/// samplers take to load new weights.
const TRAIN_MS: u64 = 1_500;
/// The time limit that callers set for their requests.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// The settings of a load run.
#[derive(Clone, Debug)]
pub struct DriveSettings {
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The number of daemons to wait for.
    pub daemons: usize,
    /// The configuration to submit first.
    pub config: Value,
    /// The number of concurrent callers.
    pub callers: u64,
    /// The number of requests that each caller sends.
    pub requests: u64,
    /// The number of steps that the trainer trains.
    pub steps: u64,
    /// The number of samples in a group.
    pub samples_per_group: u32,
    /// The time limit of the preparation, and again of the load, in milliseconds.
    pub timeout_ms: u64,
}

/// The results of a load run.
#[derive(Debug)]
pub struct DriveReport {
    /// The counts and the broken promises.
    pub verdict: Verdict,
    /// Latencies of completions, in microseconds.
    pub completions_us: Histogram<u64>,
    /// Latencies of plain calls, in microseconds.
    pub calls_us: Histogram<u64>,
    /// The share of the trainer's time spent waiting, in percent.
    pub idle_percent: f64,
}

/// Returns the prompts of the data file.
///
/// # Panics
///
/// Never in practice: the data file is compiled in and valid.
#[must_use]
pub fn prompts() -> Vec<Arc<str>> {
    serde_json::from_str(PROMPTS).expect("the prompts are valid")
}

/// Returns the calls of the data file.
///
/// # Panics
///
/// Never in practice: the data file is compiled in and valid.
#[must_use]
pub fn calls() -> Vec<CallSpec> {
    serde_json::from_str(CALLS).expect("the calls are valid")
}

/// Waits until the table lists this many daemons, and returns their records.
///
/// # Errors
///
/// Returns a message if too few daemons are listed by the deadline, or if a
/// record is invalid.
pub async fn wait_for_daemons(
    platform: SocketAddr,
    daemons: usize,
    deadline: Instant,
) -> Result<Vec<MemberRecord>, String> {
    let http = HttpClient::new();
    let scan = Scan {
        prefix: "vm/".into(),
        after: "".into(),
        limit: 1_000,
    };
    while Instant::now() < deadline {
        let rows: Result<Vec<Row>, _> = http
            .post_json(platform, "/table/scan", &scan, CALL_TIMEOUT_MS)
            .await;
        let rows = rows.unwrap_or_default();
        if rows.len() >= daemons {
            let records = rows
                .into_iter()
                .map(|row| serde_json::from_value(row.value));
            return records
                .collect::<Result<_, _>>()
                .map_err(|error| format!("invalid record of a daemon: {error}"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{daemons} daemons did not start in time"))
}

/// Submits the first configuration and waits until it is in force on all
/// daemons.
///
/// # Errors
///
/// Returns a message if there are no daemons, if the patch is refused, or if a
/// daemon does not have the configuration in force by the deadline.
pub async fn apply_config(
    daemons: &[MemberRecord],
    config: Value,
    deadline: Instant,
) -> Result<(), String> {
    let http = HttpClient::new();
    let patch = Patch {
        id: "first".into(),
        against: 0,
        merge: config,
    };
    let control_address = daemons
        .first()
        .ok_or("there are no daemons")?
        .control_address;
    let accepted: Accepted = http
        .post_json(control_address, "/operator/patch", &patch, CALL_TIMEOUT_MS)
        .await
        .map_err(|error| {
            format!("cannot submit the configuration to {control_address}: {error}")
        })?;
    for daemon in daemons {
        loop {
            let config: Result<VersionedDocument, _> = http
                .get_json(daemon.control_address, "/operator/config", CALL_TIMEOUT_MS)
                .await;
            if config.is_ok_and(|config| config.number >= accepted.number) {
                break;
            }
            if Instant::now() >= deadline {
                return Err(format!(
                    "configuration {} is not in force on {} within the time limit",
                    accepted.number, daemon.vm
                ));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Waits for the daemons and applies the configuration.
///
/// # Errors
///
/// Returns a message if the daemons do not start, or the configuration is not in
/// force, within the time limit.
pub async fn prepare_daemons(settings: &DriveSettings) -> Result<Vec<MemberRecord>, String> {
    let deadline = Instant::now() + Duration::from_millis(settings.timeout_ms);
    let daemons = wait_for_daemons(settings.platform, settings.daemons, deadline).await?;
    apply_config(&daemons, settings.config.clone(), deadline).await?;
    println!(
        "{} daemons run with the configuration in force",
        daemons.len()
    );
    Ok(daemons)
}

/// Runs callers and a trainer against prepared daemons.
///
/// # Errors
///
/// Returns a message if the task of a caller fails.
///
/// # Panics
///
/// Panics if there are no daemons.
pub async fn drive(
    settings: &DriveSettings,
    daemons: &[MemberRecord],
) -> Result<DriveReport, String> {
    let deadline = Instant::now() + Duration::from_millis(settings.timeout_ms);
    let addresses: Vec<_> = daemons.iter().map(|daemon| daemon.caller_address).collect();
    let control_addresses = daemons
        .iter()
        .map(|daemon| daemon.control_address)
        .collect();
    let caller_tasks = (0..settings.callers)
        .map(|number| tokio::spawn(run_caller(number, settings.requests, addresses.clone())));
    let caller_tasks: Vec<_> = caller_tasks.collect();
    let mut verdict = Verdict::default();
    let trainer = TrainerSettings {
        trainer: "pricing".into(),
        service: "demand-lm".into(),
        prompts: prompts(),
        samples_per_group: settings.samples_per_group,
        max_tokens: 64,
        staleness_bound: 1,
        steps: settings.steps,
        train_ms: TRAIN_MS,
        deadline,
    };
    let mut trainer = Trainer::new(trainer, addresses, control_addresses);
    trainer.run(&mut verdict).await;
    let mut report = DriveReport {
        verdict,
        completions_us: new_histogram(),
        calls_us: new_histogram(),
        idle_percent: 100.0 * trainer.idle.as_secs_f64()
            / trainer.total.as_secs_f64().max(f64::EPSILON),
    };
    for task in caller_tasks {
        let result = task
            .await
            .map_err(|error| format!("the task of a caller failed: {error}"))?;
        report.add_caller(result);
    }
    Ok(report)
}

fn new_histogram() -> Histogram<u64> {
    const MAX_US: u64 = 60_000_000;
    Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid")
}

/// The results of one caller.
#[derive(Debug, Default)]
struct CallerResult {
    verdict: Verdict,
    completions_us: Vec<u64>,
    calls_us: Vec<u64>,
}

impl DriveReport {
    fn add_caller(&mut self, result: CallerResult) {
        self.verdict.answered += result.verdict.answered;
        self.verdict.doubled += result.verdict.doubled;
        self.verdict
            .broken_promises
            .extend(result.verdict.broken_promises);
        for (kind, count) in result.verdict.refusals {
            *self.verdict.refusals.entry(kind).or_default() += count;
        }
        // Latencies are far below the largest value of the histogram, so none is
        // clamped.
        result
            .completions_us
            .into_iter()
            .for_each(|us| self.completions_us.saturating_record(us));
        result
            .calls_us
            .into_iter()
            .for_each(|us| self.calls_us.saturating_record(us));
    }
}

async fn run_caller(number: u64, requests: u64, addresses: Vec<SocketAddr>) -> CallerResult {
    let (prompts, calls) = (prompts(), calls());
    let mut caller = Caller::new(addresses, number);
    let mut result = CallerResult::default();
    for request in 0..requests {
        let id = format!("caller-{number}-{request}");
        let data_index = usize::try_from(number + request).unwrap_or_default();
        if request % 2 == 0 {
            let prompt = prompts[data_index % prompts.len()].clone();
            let seed = number * 1_000_003 + request;
            let completion = CompletionRequest {
                model: "demand-lm".into(),
                prompt,
                max_tokens: 32,
                seed,
                stream: false,
            };
            let started = Instant::now();
            let outcome = caller.complete(&id, &completion, REQUEST_TIMEOUT_MS).await;
            result.completions_us.push(micros(started));
            result.check_completion(&completion, outcome);
        } else {
            let call = &calls[data_index % calls.len()];
            let started = Instant::now();
            let outcome = caller.call(&id, call, REQUEST_TIMEOUT_MS).await;
            result.calls_us.push(micros(started));
            result.check_call(&id, call, outcome);
        }
    }
    result
}

fn micros(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl CallerResult {
    fn check_completion(&mut self, request: &CompletionRequest, outcome: CallOutcome) {
        let Some(body) = self.count_outcome(outcome) else {
            return;
        };
        match parse_completion(&body) {
            Ok(completion) => {
                let text: String = completion
                    .choices
                    .iter()
                    .map(|choice| choice.text.as_str())
                    .collect();
                self.verdict.check_text(
                    &request.prompt,
                    request.seed,
                    request.max_tokens,
                    &text,
                    &completion.weights,
                );
            }
            Err(error) => self.verdict.broken_promises.push(error),
        }
    }

    fn check_call(&mut self, id: &str, call: &CallSpec, outcome: CallOutcome) {
        let Some(body) = self.count_outcome(outcome) else {
            return;
        };
        let is_expected = serde_json::from_slice(&body).is_ok_and(|answer: ServiceAnswer| {
            answer.request_id == id && answer.asked == call.body
        });
        if !is_expected {
            self.verdict
                .broken_promises
                .push(format!("the answer to {id} is not its own"));
        }
    }

    /// Counts an outcome and returns the body of an answer.
    fn count_outcome(&mut self, outcome: CallOutcome) -> Option<bytes::Bytes> {
        match outcome {
            CallOutcome::Answer(body) => {
                self.verdict.answered += 1;
                Some(body)
            }
            CallOutcome::Refused(body) => {
                *self
                    .verdict
                    .refusals
                    .entry(body.kind.to_string())
                    .or_default() += 1;
                None
            }
            CallOutcome::Failed(reason) => {
                *self
                    .verdict
                    .refusals
                    .entry(format!("cut: {reason}"))
                    .or_default() += 1;
                None
            }
        }
    }
}
