//! Engines that swap weights late, also in the middle of a sample.

use std::sync::Arc;

use chicoryreach::{
    core::request::{Generation, GenerationEffect, GenerationEvent, GenerationSpec},
    wire::{
        engine::{Chunk, Generate},
        trainers::{Sample, Slot},
    },
};
use rand::{Rng, rngs::SmallRng};

use super::Plan;

const TOKENS: u32 = 4;

/// Returns the token that a weights version produces.
pub fn token(slot: Slot, index: u32, version: u64) -> Arc<str> {
    format!(
        "{}/{}/{}:{index}@{version}",
        slot.step, slot.group, slot.index
    )
    .into()
}

/// All engines: which version one has depends on when it swapped.
#[derive(Debug)]
pub struct Engines {
    max_swap_ms: u64,
    published: Vec<(u64, u64)>,
}

impl Engines {
    pub fn new(plan: Plan) -> Self {
        Self {
            max_swap_ms: plan.max_swap_ms,
            published: vec![(0, 1)],
        }
    }

    /// Notes that a weights version was brought out.
    pub fn publish(&mut self, now_ms: u64, version: u64) {
        self.published.push((now_ms, version));
    }

    fn version(&self, at_ms: u64) -> u64 {
        let versions = self.published.iter().filter(|(from, _)| *from <= at_ms);
        versions.map(|(_, version)| *version).max().unwrap_or(1)
    }

    /// Generates through the machine that daemons drive.
    pub fn generate(&self, rng: &mut SmallRng, slot: Slot, from_ms: u64, to_ms: u64) -> Sample {
        let lag_ms = rng.random_range(0..=self.max_swap_ms);
        let versions = [from_ms, to_ms].map(|at_ms| self.version(at_ms.saturating_sub(lag_ms)));
        let mut effects = Vec::new();
        let mut machine = Generation::new(spec(), &mut effects);
        effects.clear();
        machine.handle(
            from_ms,
            GenerationEvent::EndpointChosen(Some("sampler".into())),
            &mut effects,
        );
        let Some(GenerationEffect::Start { generate, .. }) = effects.pop() else {
            panic!("the attempt starts");
        };
        for (half, version) in (0..).zip(versions) {
            let chunk = chunk(&generate, slot, half * TOKENS / 2, version);
            machine.handle(to_ms, GenerationEvent::Chunk(chunk), &mut effects);
        }
        Sample {
            slot,
            prompt: "prompt".into(),
            tokens: machine.tokens().to_vec(),
            weights: machine.spans().to_vec(),
            seed: 0,
        }
    }
}

fn chunk(generate: &Generate, slot: Slot, offset: u32, version: u64) -> Chunk {
    let indices = offset..offset + TOKENS / 2;
    let is_last = indices.end == TOKENS;
    Chunk {
        attempt: generate.attempt.clone(),
        offset,
        tokens: indices.map(|index| token(slot, index, version)).collect(),
        weights_version: version,
        finish: is_last.then(|| "stop".into()),
    }
}

fn spec() -> GenerationSpec {
    GenerationSpec {
        id: "sample".into(),
        prompt: "prompt".into(),
        max_tokens: TOKENS,
        seed: 0,
        priority: 0,
        deadline_ms: u64::MAX,
        is_idempotent: true,
        max_attempts: 1,
        continue_elsewhere: true,
    }
}
