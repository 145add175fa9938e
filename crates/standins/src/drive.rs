//! Load: callers and a trainer against running daemons, and the verdict.

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
const TIMEOUT_MS: u64 = 5_000;
/// Longer than samplers take to swap their weights, as it is in earnest.
const TRAIN_MS: u64 = 1_500;
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// What to drive.
#[derive(Clone, Debug)]
pub struct DriveSettings {
    /// The platform.
    pub platform: SocketAddr,
    /// How many daemons to wait for.
    pub daemons: usize,
    /// The configuration to submit first.
    pub config: Value,
    /// How many callers send at the same time.
    pub callers: u64,
    /// How many requests each sends.
    pub requests: u64,
    /// How many steps the trainer trains.
    pub steps: u64,
    /// Samples in a group.
    pub samples_per_group: u32,
    /// The time after which all is given up, in milliseconds.
    pub timeout_ms: u64,
}

/// What came of it.
#[derive(Debug)]
pub struct DriveReport {
    /// What was seen.
    pub verdict: Verdict,
    /// Latencies of completions, in microseconds.
    pub completions_us: Histogram<u64>,
    /// Latencies of plain calls, in microseconds.
    pub calls_us: Histogram<u64>,
    /// The share of its time that the trainer waited.
    pub idle_percent: f64,
}

/// Returns the prompts of the data file.
///
/// # Panics
///
/// Never: the file is part of the program.
#[must_use]
pub fn prompts() -> Vec<Arc<str>> {
    serde_json::from_str(PROMPTS).expect("the prompts are valid")
}

/// Returns the calls of the data file.
///
/// # Panics
///
/// Never: the file is part of the program.
#[must_use]
pub fn calls() -> Vec<CallSpec> {
    serde_json::from_str(CALLS).expect("the calls are valid")
}

/// Waits until the table names this many daemons, and returns their records.
///
/// # Errors
///
/// A sentence if they do not come in time.
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
            .post_json(platform, "/table/scan", &scan, TIMEOUT_MS)
            .await;
        let rows = rows.unwrap_or_default();
        if rows.len() >= daemons {
            let records = rows
                .into_iter()
                .map(|row| serde_json::from_value(row.value));
            return records
                .collect::<Result<_, _>>()
                .map_err(|error| error.to_string());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{daemons} daemons did not start in time"))
}

/// Submits the first configuration and waits until it is in force everywhere.
///
/// # Errors
///
/// A sentence if it is not in force in time.
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
    let control = daemons
        .first()
        .ok_or("there are no daemons")?
        .control_address;
    let accepted: Accepted = http
        .post_json(control, "/operator/patch", &patch, TIMEOUT_MS)
        .await
        .map_err(|error| error.to_string())?;
    for daemon in daemons {
        loop {
            let config: Result<VersionedDocument, _> = http
                .get_json(daemon.control_address, "/operator/config", TIMEOUT_MS)
                .await;
            if config.is_ok_and(|config| config.number >= accepted.number) {
                break;
            }
            if Instant::now() >= deadline {
                return Err(format!(
                    "the configuration is not in force on {}",
                    daemon.vm
                ));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Waits for the daemons and puts the configuration in force on them.
///
/// # Errors
///
/// A sentence if that does not come about in time.
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

/// Drives load on prepared daemons and returns what came of it.
///
/// # Errors
///
/// A sentence if a caller's task fails.
///
/// # Panics
///
/// If there are no daemons.
pub async fn drive(
    settings: &DriveSettings,
    daemons: &[MemberRecord],
) -> Result<DriveReport, String> {
    let deadline = Instant::now() + Duration::from_millis(settings.timeout_ms);
    let addresses: Vec<_> = daemons.iter().map(|daemon| daemon.caller_address).collect();
    let control = daemons
        .iter()
        .map(|daemon| daemon.control_address)
        .collect();
    let load = (0..settings.callers)
        .map(|number| tokio::spawn(caller(number, settings.requests, addresses.clone())));
    let load: Vec<_> = load.collect();
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
    let mut trainer = Trainer::new(trainer, addresses, control);
    trainer.run(&mut verdict).await;
    let mut driven = DriveReport {
        verdict,
        completions_us: histogram(),
        calls_us: histogram(),
        idle_percent: 100.0 * trainer.idle.as_secs_f64()
            / trainer.total.as_secs_f64().max(f64::EPSILON),
    };
    for load in load {
        let part = load.await.map_err(|error| error.to_string())?;
        driven.add(part);
    }
    Ok(driven)
}

fn histogram() -> Histogram<u64> {
    const MAX_US: u64 = 60_000_000;
    Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid")
}

#[derive(Debug, Default)]
struct Part {
    verdict: Verdict,
    completions_us: Vec<u64>,
    calls_us: Vec<u64>,
}

impl DriveReport {
    fn add(&mut self, part: Part) {
        self.verdict.answered += part.verdict.answered;
        self.verdict.doubled += part.verdict.doubled;
        self.verdict
            .broken_promises
            .extend(part.verdict.broken_promises);
        for (kind, count) in part.verdict.refusals {
            *self.verdict.refusals.entry(kind).or_default() += count;
        }
        // Latencies are far below the largest value that a histogram takes.
        part.completions_us
            .into_iter()
            .for_each(|us| self.completions_us.saturating_record(us));
        part.calls_us
            .into_iter()
            .for_each(|us| self.calls_us.saturating_record(us));
    }
}

async fn caller(number: u64, requests: u64, addresses: Vec<SocketAddr>) -> Part {
    let (prompts, calls) = (prompts(), calls());
    let mut caller = Caller::new(addresses, number);
    let mut part = Part::default();
    for request in 0..requests {
        let id = format!("caller-{number}-{request}");
        let pick = usize::try_from(number + request).unwrap_or_default();
        if request % 2 == 0 {
            let prompt = prompts[pick % prompts.len()].clone();
            let seed = number * 1_000_003 + request;
            let completion = CompletionRequest {
                model: "demand-lm".into(),
                prompt,
                max_tokens: 32,
                seed,
                stream: false,
            };
            let started = Instant::now();
            let ended = caller.complete(&id, &completion, REQUEST_TIMEOUT_MS).await;
            part.completions_us.push(micros(started));
            part.note_completion(&completion, ended);
        } else {
            let call = &calls[pick % calls.len()];
            let started = Instant::now();
            let ended = caller.call(&id, call, REQUEST_TIMEOUT_MS).await;
            part.calls_us.push(micros(started));
            part.note_call(&id, call, ended);
        }
    }
    part
}

fn micros(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl Part {
    fn note_completion(&mut self, request: &CompletionRequest, ended: CallOutcome) {
        let Some(body) = self.answer(ended) else {
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

    fn note_call(&mut self, id: &str, call: &CallSpec, ended: CallOutcome) {
        let Some(body) = self.answer(ended) else {
            return;
        };
        let is_own = serde_json::from_slice(&body)
            .is_ok_and(|slip: ServiceAnswer| slip.request_id == id && slip.asked == call.body);
        if !is_own {
            self.verdict
                .broken_promises
                .push(format!("the answer to {id} is not its own"));
        }
    }

    fn answer(&mut self, ended: CallOutcome) -> Option<bytes::Bytes> {
        match ended {
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
