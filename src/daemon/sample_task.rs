//! Generates samples for the slots that a ledger wants filled.

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

const AFTER_FAILURE_MS: u64 = 500;
const SAMPLE_TIMEOUT_MS: u64 = 60_000;
/// A trainer that has not asked for samples for this long does not wait for them.
const WAITING_MS: u64 = 1_000;
const MAX_ATTEMPTS: u32 = 4;

/// A sample that is to be generated.
struct Wanted {
    slot: Slot,
    prompt: Arc<str>,
    max_tokens: u32,
    route: RouteOptions,
}

/// Starts generating for the slots that are wanted now, as far as there is room.
pub(super) fn start_wanted(task: &Arc<TrainerTask>, daemon: &Arc<Daemon>) {
    let Some(service) = task.service(daemon) else {
        return;
    };
    let LastFetch { cursor, at_ms } = *lock(&task.fetched);
    let is_training = now_ms() > at_ms + WAITING_MS;
    let mut state = lock(&task.state);
    let generating = state.generating.len();
    let Some(ledger) = &mut state.ledger else {
        return;
    };
    let Some(next) = ledger.first_undelivered_step(cursor) else {
        return;
    };
    let is_waited_for = !is_training && ledger.has_open_slots_until(next);
    let newest = daemon
        .service(&service)
        .map_or(0, |service| service.weights_version);
    let min_weights_version = min_weights_version(newest, is_waited_for);
    let last_step = if is_waited_for {
        next
    } else {
        last_startable_step(next, is_training, 0)
    };
    let room = room(daemon, &service, min_weights_version, generating);
    let slots = ledger.take_open_slots_until(last_step, room as usize);
    let is_tail = !ledger.has_open_slots_until(next);
    task.is_tail.store(is_tail, Ordering::Relaxed);
    let wanted = slots
        .into_iter()
        .filter_map(|slot| wanted(task, ledger.step(slot.step)?, slot, min_weights_version));
    for wanted in wanted.collect::<Vec<_>>() {
        state.generating.insert(wanted.slot);
        start(task, daemon, wanted);
    }
}

fn wanted(
    task: &TrainerTask,
    step: &OpenStep,
    slot: Slot,
    min_weights_version: u64,
) -> Option<Wanted> {
    let affinity = format!("{}/{}/{}", task.trainer, slot.step, slot.group);
    Some(Wanted {
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
fn room(daemon: &Daemon, service: &str, min_weights_version: u64, generating: usize) -> u32 {
    let generating = u32::try_from(generating).unwrap_or(u32::MAX);
    let most = daemon.settings.limits.max_generating;
    let trainers = daemon.trainers_of(service);
    let table = lock(&daemon.endpoints);
    let free = routing::free_slots(&table, now_ms(), service, min_weights_version);
    let share = sample_room(free, trainers);
    share.min(most.saturating_sub(generating))
}

fn start(task: &Arc<TrainerTask>, daemon: &Arc<Daemon>, wanted: Wanted) {
    let (task, daemon) = (task.clone(), daemon.clone());
    tokio::spawn(async move {
        let slot = wanted.slot;
        let sample = generate(&task, &daemon, wanted).await;
        let sample = sample.and_then(|sample| UncommittedSample::try_new(&sample));
        on_generated(&task, &daemon, slot, sample).await;
    });
}

async fn on_generated(
    task: &TrainerTask,
    daemon: &Daemon,
    slot: Slot,
    sample: Option<UncommittedSample>,
) {
    let taken = sample.map(|sample| {
        daemon.metrics.samples_generated.inc();
        task.offer(sample)
    });
    if taken == Some(SampleOutcome::Stale) {
        daemon.metrics.samples_stale.inc();
    }
    if taken.is_none_or(|taken| taken == SampleOutcome::Stale) {
        // A slot that just failed is not tried again at once; an engine that
        // still has old weights is given time to swap.
        sleep_until(now_ms() + AFTER_FAILURE_MS).await;
        task.on_generation_failed(slot);
    }
    task.wake.notify_one();
}

async fn generate(task: &TrainerTask, daemon: &Arc<Daemon>, wanted: Wanted) -> Option<Sample> {
    let Wanted {
        slot,
        prompt,
        max_tokens,
        route,
    } = wanted;
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
        max_attempts: MAX_ATTEMPTS,
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
