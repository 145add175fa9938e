//! Measures the code of a trainer's ledger with a store in memory, or with the
//! platform stand-in over loopback.

mod report;
mod store;

use std::{sync::Arc, time::Instant};

use chicoryreach::{
    core::sample::{CommitPlan, Ledger, UncommittedSample},
    error::Refusal,
    wire::{
        callers::VersionSpan,
        trainers::{Acknowledge, Fetch, OpenStep, Sample, Slot},
    },
};

pub use self::report::Report;
use self::{
    report::{CpuMeter, WorkKind, rss_bytes},
    store::CountingStore,
};

const TRAINER: &str = "pricing";
const MAX_SAMPLES_PER_FETCH: u32 = 256;
const MAX_GENERATING_SLOTS: usize = 256;

/// The settings of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct BenchSettings {
    /// The number of groups in the step.
    pub groups: u32,
    /// The number of samples in a group.
    pub samples_per_group: u32,
    /// The number of tokens in a sample.
    pub tokens: u32,
    /// The number of samples received between two commits.
    pub samples_per_commit: u32,
    /// Whether the platform stand-in is used over loopback.
    pub is_loopback: bool,
}

impl BenchSettings {
    const fn sample_count(&self) -> u32 {
        self.groups * self.samples_per_group
    }

    fn open_step_request(&self) -> OpenStep {
        OpenStep {
            step: 1,
            weights_version: 1,
            prompts: (0..self.groups).map(prompt).collect(),
            samples_per_group: self.samples_per_group,
            max_tokens: self.tokens,
            staleness_bound: 1,
        }
    }
}

fn prompt(group: u32) -> Arc<str> {
    format!("Room {group}: which items will be taken tonight?").into()
}

fn generate_sample(settings: &BenchSettings, slot: Slot) -> Sample {
    let tokens = (0..settings.tokens).map(|index| {
        let seed = u64::from(slot.group) << 32 | u64::from(slot.index);
        crate::text::token("bench", seed, index, 1)
    });
    Sample {
        slot,
        prompt: prompt(slot.group),
        tokens: tokens.collect(),
        weights: vec![VersionSpan {
            from_token: 0,
            to_token: settings.tokens,
            weights_version: 1,
        }],
        seed: u64::from(slot.index),
    }
}

/// Measures one step from its opening to its last acknowledgement, with a
/// takeover by a new holder when the step is complete.
///
/// # Errors
///
/// Returns a message if a call to the platform stand-in or to the ledger fails,
/// or if a sample is missing.
pub async fn run(settings: BenchSettings) -> Result<Report, String> {
    let mut store = CountingStore::try_new(settings.is_loopback).await?;
    let mut meter = CpuMeter::default();
    let rss_at_start = rss_bytes();
    let mut ledger = take_over(&mut store, 1).await?;
    ledger
        .open_step(settings.open_step_request())
        .map_err(error_text)?;
    commit(&mut ledger, &mut store, &mut meter).await?;
    let started = Instant::now();
    fill_step(&settings, &mut ledger, &mut store, &mut meter).await?;
    let wall_us = micros(started);
    let rss_when_full = rss_bytes();
    let row_bytes = store.row_bytes;
    let object_bytes = store.object_bytes;
    let (row_writes, object_writes) = (store.row_writes, store.object_writes);
    drop(ledger);
    let takeover_started = Instant::now();
    let mut ledger = take_over(&mut store, 2).await?;
    let takeover_us = micros(takeover_started);
    let cursor = fetch_all(&settings, &mut ledger, &store).await?;
    let refetch_us = micros(takeover_started) - takeover_us;
    let mut finish_meter = CpuMeter::default();
    ledger
        .acknowledge(Acknowledge {
            cursor,
            weights_version: 1,
        })
        .map_err(error_text)?;
    commit(&mut ledger, &mut store, &mut finish_meter).await?;
    let samples = u64::from(settings.sample_count());
    Ok(Report {
        samples,
        tokens: settings.tokens,
        samples_per_commit: settings.samples_per_commit,
        is_loopback: settings.is_loopback,
        wanted_ns: meter.spent_ns(WorkKind::ChooseSlots) / samples,
        take_ns: meter.spent_ns(WorkKind::AddSample) / samples,
        commit_ns: meter.spent_ns(WorkKind::Commit) / samples,
        fetch_ns: meter.spent_ns(WorkKind::Fetch) / samples,
        cpu_ns: meter.total_ns() / samples,
        row_bytes: row_bytes / samples,
        object_bytes: object_bytes / samples,
        row_writes,
        object_writes,
        memory_bytes: rss_when_full
            .saturating_sub(rss_at_start)
            .saturating_sub(object_bytes),
        takeover_us,
        refetch_us,
        finish_us: finish_meter.spent_ns(WorkKind::Commit) / 1_000,
        wall_us,
    })
}

/// Loads the stored ledger and claims it with a fencing number.
async fn take_over(store: &mut CountingStore, fence: u64) -> Result<Ledger, String> {
    let loaded = store.load(TRAINER).await?;
    let mut ledger = Ledger::try_new(TRAINER.into(), fence, loaded).map_err(error_text)?;
    commit(&mut ledger, store, &mut CpuMeter::default()).await?;
    Ok(ledger)
}

/// Adds, commits and fetches samples until the step is complete.
async fn fill_step(
    settings: &BenchSettings,
    ledger: &mut Ledger,
    store: &mut CountingStore,
    meter: &mut CpuMeter,
) -> Result<(), String> {
    let mut open_slots = meter.measure(WorkKind::ChooseSlots, || {
        ledger.take_open_slots(MAX_GENERATING_SLOTS)
    });
    let mut cursor = 0;
    let mut received = 0;
    while !open_slots.is_empty() {
        for _ in 0..settings.samples_per_commit {
            let Some(slot) = open_slots.pop() else { break };
            // The engines generate samples, so this is not measured.
            let sample = generate_sample(settings, slot);
            meter.measure(WorkKind::AddSample, || {
                UncommittedSample::try_new(&sample).map(|sample| ledger.on_sample(sample))
            });
            open_slots.extend(meter.measure(WorkKind::ChooseSlots, || ledger.take_open_slots(1)));
        }
        commit(ledger, store, meter).await?;
        let request = Fetch {
            cursor,
            weights_version: 1,
            limit: MAX_SAMPLES_PER_FETCH,
        };
        let (samples, next_cursor) = fetch(ledger, store, request, meter).await?;
        received += samples;
        cursor = next_cursor;
    }
    if received == u64::from(settings.sample_count()) {
        Ok(())
    } else {
        Err(format!(
            "received {received} of {} samples",
            settings.sample_count()
        ))
    }
}

/// Fetches samples as a daemon does, including the serialization of the answer.
///
/// Returns the number of samples and the next cursor.
async fn fetch(
    ledger: &mut Ledger,
    store: &CountingStore,
    request: Fetch,
    meter: &mut CpuMeter,
) -> Result<(u64, u64), String> {
    loop {
        let answer = meter.measure(WorkKind::Fetch, || {
            let answer = ledger.fetch(request)?;
            std::hint::black_box(answer.to_json());
            Ok::<_, Refusal>(answer)
        });
        let answer = answer.map_err(error_text)?;
        let Some(missing) = answer.missing else {
            return Ok((answer.samples.len() as u64, answer.next_cursor));
        };
        let object = store.get_object(&missing.object).await?;
        meter.measure(WorkKind::Fetch, || {
            ledger.on_object(&missing, Some(&object));
        });
    }
}

/// Fetches all samples of the step and returns the cursor after them.
async fn fetch_all(
    settings: &BenchSettings,
    ledger: &mut Ledger,
    store: &CountingStore,
) -> Result<u64, String> {
    let mut cursor = 0;
    let mut meter = CpuMeter::default();
    while cursor < u64::from(settings.sample_count()) {
        let request = Fetch {
            cursor,
            weights_version: 1,
            limit: MAX_SAMPLES_PER_FETCH,
        };
        let (samples, next_cursor) = fetch(ledger, store, request, &mut meter).await?;
        if samples == 0 {
            return Err(format!("no samples from cursor {cursor} on"));
        }
        cursor = next_cursor;
    }
    Ok(cursor)
}

/// Commits until the ledger has no more changes to write.
async fn commit(
    ledger: &mut Ledger,
    store: &mut CountingStore,
    meter: &mut CpuMeter,
) -> Result<(), String> {
    while let Some(plan) = meter.measure(WorkKind::Commit, || ledger.begin_commit()) {
        let row_version = write_commit(store, &plan).await?;
        meter.measure(WorkKind::Commit, || ledger.on_committed(plan, row_version));
    }
    Ok(())
}

async fn write_commit(store: &mut CountingStore, plan: &CommitPlan) -> Result<u64, String> {
    if let Some(payload) = &plan.payload {
        store.put_object(&payload.object, &payload.bytes).await?;
    }
    store.transact(TRAINER, &plan.transaction).await
}

fn error_text<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}

fn micros(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}
