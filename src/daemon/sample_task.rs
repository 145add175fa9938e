//! Generates samples for the open slots of a trainer's ledger.

use std::sync::{Arc, atomic::Ordering};

use super::{
    clock::{now_ms, sleep_until},
    dispatch::RouteOptions,
    endpoints,
    state::{Daemon, lock},
    trainer_task::{LastFetch, TrainerTask},
};
use crate::{
    core::{
        admission::{Priority, sample_room},
        rendezvous,
        request::GenerationSpec,
        routing,
        run_ahead::{last_startable_step, min_weights_version},
        sample::{SampleOutcome, UncommittedSample},
    },
    wire::trainers::{OpenStep, Sample, Slot},
};

const SLOT_RETRY_DELAY_MS: u64 = 500;
const SAMPLE_TIMEOUT_MS: u64 = 60_000;
/// A trainer that has not fetched samples for this long is regarded as training,
/// and not as waiting for samples.
const FETCH_RECENCY_MS: u64 = 1_000;
const MAX_SAMPLE_ATTEMPTS: u32 = 4;

/// A sample to generate.
struct SampleJob {
    slot: Slot,
    prompt: Arc<str>,
    max_tokens: u32,
    route: RouteOptions,
}

/// Starts generating samples for open slots, as many as the endpoints have room
/// for.
///
/// If the trainer waits for the next step, only slots of that step and of earlier
/// ones are filled.
pub(super) fn start_samples(task: &Arc<TrainerTask>, daemon: &Arc<Daemon>) {
    let Some(service) = task.service(daemon) else {
        return;
    };
    let LastFetch { cursor, at_ms } = *lock(&task.last_fetch);
    let is_training = now_ms() > at_ms + FETCH_RECENCY_MS;
    let mut state = lock(&task.state);
    let generating_count = state.generating.len();
    let Some(ledger) = &mut state.ledger else {
        return;
    };
    let Some(next_step) = ledger.first_undelivered_step(cursor) else {
        return;
    };
    let is_waited_for = !is_training && ledger.has_open_slots_until(next_step);
    let newest_version = daemon
        .service(&service)
        .map_or(0, |service| service.weights_version);
    let min_weights_version = min_weights_version(newest_version, is_waited_for);
    let last_step = if is_waited_for {
        next_step
    } else {
        last_startable_step(next_step, is_training, 0)
    };
    let max_start_count = count_startable(daemon, &service, min_weights_version, generating_count);
    let slots = ledger.take_open_slots_until(last_step, max_start_count as usize);
    let is_tail = !ledger.has_open_slots_until(next_step);
    task.is_tail.store(is_tail, Ordering::Relaxed);
    let jobs = slots
        .into_iter()
        .filter_map(|slot| build_job(task, ledger.step(slot.step)?, slot, min_weights_version));
    for job in jobs.collect::<Vec<_>>() {
        state.generating.insert(job.slot);
        spawn_job(task, daemon, job);
    }
}

/// Builds the job for one slot, or returns `None` if its group has no prompt.
fn build_job(
    task: &TrainerTask,
    step: &OpenStep,
    slot: Slot,
    min_weights_version: u64,
) -> Option<SampleJob> {
    let affinity = format!("{}/{}/{}", task.trainer, slot.step, slot.group);
    Some(SampleJob {
        slot,
        prompt: step.prompts.get(slot.group as usize)?.clone(),
        max_tokens: step.max_tokens,
        route: RouteOptions {
            affinity: Some(affinity.into()),
            min_weights_version,
            is_tail: Some(task.is_tail.clone()),
        },
    })
}

/// Returns how many samples may be started now.
///
/// Limits are this trainer's share of the free slots of the service, and the
/// configured maximum of samples that are generated at once.
fn count_startable(
    daemon: &Daemon,
    service: &str,
    min_weights_version: u64,
    generating_count: usize,
) -> u32 {
    let generating_count = u32::try_from(generating_count).unwrap_or(u32::MAX);
    let max_generating = daemon.settings.limits.max_generating;
    let trainers = daemon.trainers_of(service);
    let table = lock(&daemon.endpoints);
    let free_slots = routing::free_slots(&table, now_ms(), service, min_weights_version);
    let share = sample_room(free_slots, trainers);
    share.min(max_generating.saturating_sub(generating_count))
}

fn spawn_job(task: &Arc<TrainerTask>, daemon: &Arc<Daemon>, job: SampleJob) {
    let (task, daemon) = (task.clone(), daemon.clone());
    tokio::spawn(async move {
        let slot = job.slot;
        let sample = generate(&task, &daemon, job).await;
        let sample = sample.and_then(|sample| UncommittedSample::try_new(&sample));
        on_generated(&task, &daemon, slot, sample).await;
    });
}

/// Passes a generated sample to the task. Opens the slot again if there is no
/// sample or if it is stale.
async fn on_generated(
    task: &TrainerTask,
    daemon: &Daemon,
    slot: Slot,
    sample: Option<UncommittedSample>,
) {
    let outcome = sample.map(|sample| {
        daemon.metrics.samples_generated.inc();
        task.offer_sample(sample)
    });
    if outcome == Some(SampleOutcome::Stale) {
        daemon.metrics.samples_stale.inc();
    }
    if outcome.is_none_or(|outcome| outcome == SampleOutcome::Stale) {
        // The slot is retried only after a delay. If the sample was stale, the
        // delay gives an engine with old weights time to swap them.
        sleep_until(now_ms() + SLOT_RETRY_DELAY_MS).await;
        task.on_generation_failed(slot);
    }
    task.wake_ledger.notify_one();
}

/// Generates one sample, or returns `None` if the generation is refused or fails.
async fn generate(task: &TrainerTask, daemon: &Arc<Daemon>, job: SampleJob) -> Option<Sample> {
    let SampleJob {
        slot,
        prompt,
        max_tokens,
        route,
    } = job;
    let service = task.service(daemon)?;
    let seed = rendezvous::weight(
        &task.trainer,
        &format!("{}/{}/{}", slot.step, slot.group, slot.index),
    );
    let nonce: u64 = rand::random();
    let spec = GenerationSpec {
        id: format!(
            "{}.{}.{nonce:016x}",
            daemon.own_record.vm, daemon.own_record.incarnation
        )
        .into(),
        prompt: prompt.clone(),
        max_tokens,
        seed,
        priority: Priority::Background as u8,
        deadline_ms: now_ms() + SAMPLE_TIMEOUT_MS,
        is_idempotent: true,
        max_attempts: MAX_SAMPLE_ATTEMPTS,
        continue_elsewhere: true,
    };
    let never_gone = std::future::pending();
    match endpoints::generate(daemon, &service, spec, route, |_, _| {}, never_gone).await {
        Ok(generated) => Some(Sample {
            slot,
            prompt,
            tokens: generated.tokens,
            weights: generated.spans,
            seed,
        }),
        Err(refusal) => {
            daemon.metrics.on_refusal(refusal.kind());
            None
        }
    }
}
