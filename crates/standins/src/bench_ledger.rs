//! Measures a trainer's ledger: the real code, before a store in memory or
//! before the platform stand-in over loopback.

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
    report::{Meter, Work, rss_bytes},
    store::Store,
};

const TRAINER: &str = "pricing";
const FETCH_LIMIT: u32 = 256;
const MAX_GENERATING: usize = 256;

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct BenchSettings {
    /// Groups of the step.
    pub groups: u32,
    /// Samples in a group.
    pub samples_per_group: u32,
    /// Tokens in a sample.
    pub tokens: u32,
    /// Samples that come in between two commits.
    pub samples_per_commit: u32,
    /// Whether the platform stand-in is used over loopback.
    pub is_loopback: bool,
}

impl BenchSettings {
    const fn samples(&self) -> u32 {
        self.groups * self.samples_per_group
    }

    fn open(&self) -> OpenStep {
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

fn sample(settings: &BenchSettings, slot: Slot) -> Sample {
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

/// Takes one step from its opening to its last acknowledgement, with a
/// takeover when it is whole.
///
/// # Errors
///
/// Those of the platform stand-in; and if a sample is missing.
pub async fn run(settings: BenchSettings) -> Result<Report, String> {
    let mut store = Store::try_new(settings.is_loopback).await?;
    let mut meter = Meter::default();
    let rss_at_start = rss_bytes();
    let mut ledger = take_over(&mut store, 1).await?;
    ledger.open_step(settings.open()).map_err(text)?;
    commit(&mut ledger, &mut store, &mut meter).await?;
    let started = Instant::now();
    fill(&settings, &mut ledger, &mut store, &mut meter).await?;
    let wall_us = micros(started);
    let rss_when_full = rss_bytes();
    let rows_bytes = store.row_bytes;
    let objects_bytes = store.object_bytes;
    let (row_writes, object_writes) = (store.row_writes, store.object_writes);
    drop(ledger);
    let takeover = Instant::now();
    let mut ledger = take_over(&mut store, 2).await?;
    let takeover_us = micros(takeover);
    let cursor = fetch_all(&settings, &mut ledger, &store).await?;
    let refetch_us = micros(takeover) - takeover_us;
    let mut last = Meter::default();
    ledger
        .acknowledge(Acknowledge {
            cursor,
            weights_version: 1,
        })
        .map_err(text)?;
    commit(&mut ledger, &mut store, &mut last).await?;
    let samples = u64::from(settings.samples());
    Ok(Report {
        samples,
        tokens: settings.tokens,
        samples_per_commit: settings.samples_per_commit,
        is_loopback: settings.is_loopback,
        wanted_ns: meter.spent_ns(Work::Choose) / samples,
        take_ns: meter.spent_ns(Work::Take) / samples,
        commit_ns: meter.spent_ns(Work::Commit) / samples,
        fetch_ns: meter.spent_ns(Work::HandOver) / samples,
        cpu_ns: meter.total_ns() / samples,
        row_bytes: rows_bytes / samples,
        object_bytes: objects_bytes / samples,
        row_writes,
        object_writes,
        memory_bytes: rss_when_full
            .saturating_sub(rss_at_start)
            .saturating_sub(objects_bytes),
        takeover_us,
        refetch_us,
        finish_us: last.spent_ns(Work::Commit) / 1_000,
        wall_us,
    })
}

/// Reads what stands, and claims it.
async fn take_over(store: &mut Store, fence: u64) -> Result<Ledger, String> {
    let loaded = store.load(TRAINER).await?;
    let mut ledger = Ledger::try_new(TRAINER.into(), fence, loaded).map_err(text)?;
    commit(&mut ledger, store, &mut Meter::default()).await?;
    Ok(ledger)
}

async fn fill(
    settings: &BenchSettings,
    ledger: &mut Ledger,
    store: &mut Store,
    meter: &mut Meter,
) -> Result<(), String> {
    let mut wanted = meter.time(Work::Choose, || ledger.take_open_slots(MAX_GENERATING));
    let mut cursor = 0;
    let mut have = 0;
    while !wanted.is_empty() {
        for _ in 0..settings.samples_per_commit {
            let Some(slot) = wanted.pop() else { break };
            // Making a sample is the engines' work, and is not measured.
            let sample = sample(settings, slot);
            meter.time(Work::Take, || {
                UncommittedSample::try_new(&sample).map(|sample| ledger.on_sample(sample))
            });
            wanted.extend(meter.time(Work::Choose, || ledger.take_open_slots(1)));
        }
        commit(ledger, store, meter).await?;
        let fetch = Fetch {
            cursor,
            weights_version: 1,
            limit: FETCH_LIMIT,
        };
        let (samples, next_cursor) = fetched(ledger, store, fetch, meter).await?;
        have += samples;
        cursor = next_cursor;
    }
    if have == u64::from(settings.samples()) {
        Ok(())
    } else {
        Err(format!("{have} of {} samples", settings.samples()))
    }
}

/// Fetches as the daemon does: to the bytes of the answer.
async fn fetched(
    ledger: &mut Ledger,
    store: &Store,
    fetch: Fetch,
    meter: &mut Meter,
) -> Result<(u64, u64), String> {
    loop {
        let answer = meter.time(Work::HandOver, || {
            let answer = ledger.fetch(fetch)?;
            std::hint::black_box(answer.to_json());
            Ok::<_, Refusal>(answer)
        });
        let answer = answer.map_err(text)?;
        let Some(missing) = answer.missing else {
            return Ok((answer.samples.len() as u64, answer.next_cursor));
        };
        let object = store.object(&missing.object).await?;
        meter.time(Work::HandOver, || ledger.on_object(&missing, Some(&object)));
    }
}

async fn fetch_all(
    settings: &BenchSettings,
    ledger: &mut Ledger,
    store: &Store,
) -> Result<u64, String> {
    let mut cursor = 0;
    let mut meter = Meter::default();
    while cursor < u64::from(settings.samples()) {
        let fetch = Fetch {
            cursor,
            weights_version: 1,
            limit: FETCH_LIMIT,
        };
        let (samples, next_cursor) = fetched(ledger, store, fetch, &mut meter).await?;
        if samples == 0 {
            return Err(format!("nothing from cursor {cursor} on"));
        }
        cursor = next_cursor;
    }
    Ok(cursor)
}

async fn commit(ledger: &mut Ledger, store: &mut Store, meter: &mut Meter) -> Result<(), String> {
    while let Some(plan) = meter.time(Work::Commit, || ledger.begin_commit()) {
        let row_version = write(store, &plan).await?;
        meter.time(Work::Commit, || ledger.on_committed(plan, row_version));
    }
    Ok(())
}

async fn write(store: &mut Store, plan: &CommitPlan) -> Result<u64, String> {
    if let Some(payload) = &plan.payload {
        store.put(&payload.object, &payload.bytes).await?;
    }
    store.transact(TRAINER, &plan.transaction).await
}

fn text<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}

fn micros(from: Instant) -> u64 {
    u64::try_from(from.elapsed().as_micros()).unwrap_or(u64::MAX)
}
