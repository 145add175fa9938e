//! One model request whose attempts fail: connections are cut, endpoints hang, and
//! chunks are delayed or duplicated.

use std::sync::Arc;

use chicoryreach::{
    core::{
        request::{AttemptFailure, Generation, GenerationEffect, GenerationEvent, GenerationSpec},
        retry::RetryReason,
    },
    error::ErrorKind,
    wire::engine::{Chunk, Generate},
};
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

use crate::sim::{Network, Sim};

const ANSWER_TOKENS: u32 = 24;
const CHUNK_TOKENS: u32 = 4;
const DEADLINE_MS: u64 = 60_000;
const END_MS: u64 = 120_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    endpoints: u64,
    is_idempotent: bool,
    continue_elsewhere: bool,
    /// The delays and duplicates of chunks. Chunks of a cut attempt still arrive.
    network: Network,
    /// How many of 1,000 attempts are cut, at a random chunk.
    cut_permille: u32,
    /// How many of 1,000 attempts hang at a random chunk and resume 70 s later,
    /// which is after the deadline.
    hang_permille: u32,
    /// When the request must have ended at the latest.
    ends_by_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Chunk(Chunk),
    Cut(Arc<str>),
    Stall(Arc<str>, u64),
    Deadline,
}

/// Plays one request and returns the violations of its promise.
///
/// A wrong, duplicate or missing token breaks the promise, and so do an answer that
/// comes too late, a second run of a non-idempotent request, and a refusal as "not
/// run" after the request was sent.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while world.ended_at_ms.is_none()
        && let Some(event) = world.sim.next_before(END_MS)
    {
        world.handle(event);
    }
    world.check_end();
    world.violations
}

struct World {
    body: Body,
    sim: Sim<Event>,
    generation: Generation,
    /// The id of the latest attempt and its endpoint.
    current: Option<(Arc<str>, Arc<str>)>,
    attempts_started: u32,
    /// The number of tokens that the caller received.
    forwarded: u32,
    first_endpoint: Option<Arc<str>>,
    ended_at_ms: Option<u64>,
    violations: Vec<String>,
}

fn attempt_failed(attempt: Arc<str>, reason: RetryReason) -> GenerationEvent {
    GenerationEvent::AttemptFailed {
        attempt,
        failure: AttemptFailure {
            reason,
            was_sent: true,
        },
        may_retry: true,
    }
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let spec = GenerationSpec {
            id: "r".into(),
            prompt: "floor 3".into(),
            max_tokens: ANSWER_TOKENS,
            seed,
            priority: 0,
            deadline_ms: DEADLINE_MS,
            is_idempotent: body.is_idempotent,
            max_attempts: 8,
            continue_elsewhere: body.continue_elsewhere,
        };
        let mut effects = Vec::new();
        let mut sim = Sim::new(seed);
        sim.schedule_at(DEADLINE_MS, Event::Deadline);
        let mut world = Self {
            generation: Generation::new(spec, &mut effects),
            body,
            sim,
            current: None,
            attempts_started: 0,
            forwarded: 0,
            first_endpoint: None,
            ended_at_ms: None,
            violations: Vec::new(),
        };
        world.execute_effects(effects);
        world.schedule_stall_check();
        world
    }

    fn handle(&mut self, event: Event) {
        let generation_event = match event {
            Event::Chunk(chunk) => GenerationEvent::Chunk(chunk),
            Event::Deadline => GenerationEvent::Deadline,
            Event::Cut(attempt) => attempt_failed(attempt, RetryReason::AnswerCut),
            Event::Stall(attempt, at_ms) => {
                if self.generation.stalls_at_ms() != Some(at_ms) {
                    return;
                }
                attempt_failed(attempt, RetryReason::AnswerStalled)
            }
        };
        let mut effects = Vec::new();
        self.generation
            .handle(self.sim.now_ms, generation_event, &mut effects);
        self.execute_effects(effects);
        self.schedule_stall_check();
    }

    fn schedule_stall_check(&mut self) {
        if let (Some(at_ms), Some((attempt, _))) = (self.generation.stalls_at_ms(), &self.current) {
            self.sim
                .schedule_at(at_ms, Event::Stall(attempt.clone(), at_ms));
        }
    }

    fn execute_effects(&mut self, effects: Vec<GenerationEffect>) {
        for effect in effects {
            match effect {
                GenerationEffect::ChooseEndpoint { .. } => {
                    let number = self.sim.rng.random_range(0..self.body.endpoints);
                    let chosen =
                        GenerationEvent::EndpointChosen(Some(format!("sampler-{number}").into()));
                    let mut effects = Vec::new();
                    self.generation
                        .handle(self.sim.now_ms, chosen, &mut effects);
                    self.execute_effects(effects);
                }
                GenerationEffect::Start { endpoint, generate }
                | GenerationEffect::Resume { endpoint, generate } => {
                    self.start(endpoint, &generate);
                }
                GenerationEffect::Cancel { .. } => {}
                GenerationEffect::Forward { tokens, .. } => self.check_tokens(&tokens),
                GenerationEffect::Finish { .. } => self.on_end(None),
                GenerationEffect::Refuse(refusal) => self.on_end(Some(refusal.kind())),
            }
        }
    }

    fn start(&mut self, endpoint: Arc<str>, generate: &Generate) {
        self.attempts_started += 1;
        self.current = Some((generate.attempt.clone(), endpoint));
        let from = u32::try_from(generate.prefix.len())
            .expect("the length of the prefix fits into 32 bits");
        let chunk_count = (ANSWER_TOKENS - from).div_ceil(CHUNK_TOKENS);
        let is_cut = self.sim.rng.random_ratio(self.body.cut_permille, 1_000);
        let hangs = self.sim.rng.random_ratio(self.body.hang_permille, 1_000);
        let faulty_chunk = self.sim.rng.random_range(0..chunk_count);
        let mut at_ms = self.sim.now_ms;
        for chunk_index in 0..chunk_count {
            at_ms += 10;
            if chunk_index == faulty_chunk && hangs {
                at_ms += 70_000;
            }
            if chunk_index == faulty_chunk && is_cut {
                let attempt = generate.attempt.clone();
                self.sim.schedule_at(at_ms, Event::Cut(attempt));
            }
            self.send_chunk(at_ms, generate, from + chunk_index * CHUNK_TOKENS);
        }
    }

    fn send_chunk(&mut self, at_ms: u64, generate: &Generate, offset: u32) {
        let end = (offset + CHUNK_TOKENS).min(ANSWER_TOKENS);
        let token = |index| format!("{}:{index}", generate.attempt).into();
        let chunk = Chunk {
            attempt: generate.attempt.clone(),
            offset,
            tokens: (offset..end).map(token).collect(),
            weights_version: u64::from(self.attempts_started),
            finish: (end == ANSWER_TOKENS).then(|| "length".into()),
        };
        let copies = 1 + u32::from(
            self.sim
                .rng
                .random_ratio(self.body.network.doubled_permille, 1_000),
        );
        for _ in 0..copies {
            let network = self.body.network;
            let delay_ms = self
                .sim
                .rng
                .random_range(network.min_delay_ms..=network.max_delay_ms);
            self.sim
                .schedule_at(at_ms + delay_ms, Event::Chunk(chunk.clone()));
        }
    }

    fn check_tokens(&mut self, tokens: &[Arc<str>]) {
        let (attempt, endpoint) = self.current.clone().expect("an attempt was started");
        for token in tokens {
            let expected = format!("{attempt}:{}", self.forwarded);
            if **token != *expected {
                self.violations.push(format!(
                    "the caller received token {token} instead of {expected}"
                ));
            }
            self.forwarded += 1;
        }
        let first = self.first_endpoint.get_or_insert_with(|| endpoint.clone());
        if !self.body.continue_elsewhere && *first != endpoint {
            self.violations
                .push("one answer contains tokens of two endpoints".to_owned());
        }
    }

    fn on_end(&mut self, refusal_kind: Option<ErrorKind>) {
        if self.ended_at_ms.is_some() {
            self.violations.push("the request ended twice".to_owned());
        }
        self.ended_at_ms = Some(self.sim.now_ms);
        match refusal_kind {
            None if self.forwarded != ANSWER_TOKENS => self.violations.push(format!(
                "the answer ended after {} of {ANSWER_TOKENS} tokens",
                self.forwarded
            )),
            Some(kind) if kind.response().not_run => self.violations.push(format!(
                "the request was sent, but refused with {kind}, which means 'not run'"
            )),
            _ => {}
        }
    }

    fn check_end(&mut self) {
        let by_ms = self.body.ends_by_ms;
        if self.ended_at_ms.is_none_or(|at_ms| at_ms > by_ms) {
            let ended = self.ended_at_ms;
            self.violations.push(format!(
                "the request ended at {ended:?} ms instead of by {by_ms} ms"
            ));
        }
        if !self.body.is_idempotent && self.attempts_started > 1 {
            self.violations.push(format!(
                "the non-idempotent request was sent {} times",
                self.attempts_started
            ));
        }
    }
}
