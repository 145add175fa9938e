//! Engines that swap weights with a delay, possibly in the middle of a sample.

use std::sync::Arc;

use chicoryreach::{
    core::request::{Generation, GenerationEffect, GenerationEvent, GenerationSpec},
    wire::{
        engine::{Chunk, Generate},
        trainers::{Sample, Slot},
    },
};
use rand::{Rng, rngs::SmallRng};

use super::TrainerPlan;

const TOKENS_PER_SAMPLE: u32 = 4;

/// Returns the token that a weights version produces at an index of a slot.
pub fn token(slot: Slot, index: u32, version: u64) -> Arc<str> {
    format!(
        "{}/{}/{}:{index}@{version}",
        slot.step, slot.group, slot.index
    )
    .into()
}

/// All engines, each of which swaps to a published version with a random delay.
#[derive(Debug)]
pub struct Engines {
    max_swap_ms: u64,
    /// The time of each publication, and the version.
    published: Vec<(u64, u64)>,
}

impl Engines {
    pub fn new(plan: TrainerPlan) -> Self {
        Self {
            max_swap_ms: plan.max_swap_ms,
            published: vec![(0, 1)],
        }
    }

    /// Records the publication of a weights version.
    pub fn publish(&mut self, now_ms: u64, version: u64) {
        self.published.push((now_ms, version));
    }

    fn version_at(&self, at_ms: u64) -> u64 {
        let versions = self.published.iter().filter(|(from, _)| *from <= at_ms);
        versions.map(|(_, version)| *version).max().unwrap_or(1)
    }

    /// Generates a sample with the state machine that daemons use.
    ///
    /// The first half of the tokens comes from the version at the start, the
    /// second half from the version at the end.
    pub fn generate(&self, rng: &mut SmallRng, slot: Slot, from_ms: u64, to_ms: u64) -> Sample {
        let lag_ms = rng.random_range(0..=self.max_swap_ms);
        let versions = [from_ms, to_ms].map(|at_ms| self.version_at(at_ms.saturating_sub(lag_ms)));
        let mut effects = Vec::new();
        let mut generation = Generation::new(generation_spec(), &mut effects);
        effects.clear();
        generation.handle(
            from_ms,
            GenerationEvent::EndpointChosen(Some("sampler".into())),
            &mut effects,
        );
        let Some(GenerationEffect::Start { generate, .. }) = effects.pop() else {
            panic!("the generation did not start an attempt");
        };
        for (half, version) in (0..).zip(versions) {
            let chunk = build_chunk(&generate, slot, half * TOKENS_PER_SAMPLE / 2, version);
            generation.handle(to_ms, GenerationEvent::Chunk(chunk), &mut effects);
        }
        Sample {
            slot,
            prompt: "prompt".into(),
            tokens: generation.tokens().to_vec(),
            weights: generation.spans().to_vec(),
            seed: 0,
        }
    }
}

fn build_chunk(generate: &Generate, slot: Slot, offset: u32, version: u64) -> Chunk {
    let indices = offset..offset + TOKENS_PER_SAMPLE / 2;
    let is_last = indices.end == TOKENS_PER_SAMPLE;
    Chunk {
        attempt: generate.attempt.clone(),
        offset,
        tokens: indices.map(|index| token(slot, index, version)).collect(),
        weights_version: version,
        finish: is_last.then(|| "stop".into()),
    }
}

fn generation_spec() -> GenerationSpec {
    GenerationSpec {
        id: "sample".into(),
        prompt: "prompt".into(),
        max_tokens: TOKENS_PER_SAMPLE,
        seed: 0,
        priority: 0,
        deadline_ms: u64::MAX,
        is_idempotent: true,
        max_attempts: 1,
        continue_elsewhere: true,
    }
}
