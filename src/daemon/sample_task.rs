//! Generates samples for the slots that a ledger wants filled.

use std::sync::Arc;

use super::{
    clock::{now_ms, sleep_until},
    dispatch::Route,
    endpoints,
    state::Daemon,
    trainer_task::TrainerTask,
};
use crate::{
    core::{
        admission::Priority,
        rendezvous,
        request::Spec,
        sample::{Taken, Uncommitted},
    },
    wire::trainers::{OpenStep, Sample, Slot},
};

const AFTER_FAILURE_MS: u64 = 500;
const SAMPLE_TIMEOUT_MS: u64 = 60_000;
const MAX_ATTEMPTS: u32 = 4;

/// Starts generating for one slot.
pub(super) fn start(
    task: &Arc<TrainerTask>,
    daemon: &Arc<Daemon>,
    slot: Slot,
    step: OpenStep,
    route: Route,
) {
    let (task, daemon) = (task.clone(), daemon.clone());
    tokio::spawn(async move {
        let sample = generate(&task, &daemon, slot, &step, route).await;
        let sample = sample.and_then(|sample| Uncommitted::try_new(&sample));
        on_generated(&task, &daemon, slot, sample).await;
    });
}

async fn on_generated(
    task: &TrainerTask,
    daemon: &Daemon,
    slot: Slot,
    sample: Option<Uncommitted>,
) {
    let taken = sample.map(|sample| {
        daemon.metrics.samples_generated.inc();
        task.offer(sample)
    });
    if taken == Some(Taken::Stale) {
        daemon.metrics.samples_stale.inc();
    }
    if taken.is_none_or(|taken| taken == Taken::Stale) {
        // A slot that just failed is not tried again at once; an engine that
        // still has old weights is given time to swap.
        sleep_until(now_ms() + AFTER_FAILURE_MS).await;
        task.on_generation_failed(slot);
    }
    task.wake.notify_one();
}

async fn generate(
    task: &TrainerTask,
    daemon: &Arc<Daemon>,
    slot: Slot,
    step: &OpenStep,
    route: Route,
) -> Option<Sample> {
    let service = task.service(daemon)?;
    let prompt = step.prompts.get(slot.group as usize)?.clone();
    let seed = rendezvous::weight(
        &task.trainer,
        &format!("{}/{}/{}", slot.step, slot.group, slot.index),
    );
    let nonce: u64 = rand::random();
    let spec = Spec {
        id: format!("{}.{}.{nonce:016x}", daemon.me.vm, daemon.me.incarnation).into(),
        prompt: prompt.clone(),
        max_tokens: step.max_tokens,
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
