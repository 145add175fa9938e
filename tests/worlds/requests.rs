//! One request whose attempts are cut, hang, double and come late.

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

const LENGTH: u32 = 24;
const CHUNK_TOKENS: u32 = 4;
const DEADLINE_MS: u64 = 60_000;
const END_MS: u64 = 120_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    endpoints: u64,
    is_idempotent: bool,
    continue_elsewhere: bool,
    /// How pieces fare; those of a cut attempt go on to come in.
    network: Network,
    /// How many of a thousand attempts are cut, at a piece drawn at random.
    cut_permille: u32,
    /// How many of a thousand attempts hang at a piece drawn at random and go
    /// on a good while later.
    hang_permille: u32,
    /// By when the request has to have ended.
    ends_by_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Chunk(Chunk),
    Cut(Arc<str>),
    Stall(Arc<str>, u64),
    Deadline,
}

/// Plays one request; a token that is wrong, doubled or missing breaks the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while world.ended_at_ms.is_none()
        && let Some(event) = world.sim.next_before(END_MS)
    {
        world.handle(event);
    }
    world.judge_end();
    world.broken
}

struct World {
    body: Body,
    sim: Sim<Event>,
    machine: Generation,
    /// The attempt that runs, and its endpoint.
    current: Option<(Arc<str>, Arc<str>)>,
    starts: u32,
    forwarded: u32,
    first_endpoint: Option<Arc<str>>,
    ended_at_ms: Option<u64>,
    broken: Vec<String>,
}

fn failed(attempt: Arc<str>, reason: RetryReason) -> GenerationEvent {
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
            max_tokens: LENGTH,
            seed,
            priority: 0,
            deadline_ms: DEADLINE_MS,
            is_idempotent: body.is_idempotent,
            max_attempts: 8,
            continue_elsewhere: body.continue_elsewhere,
        };
        let mut effects = Vec::new();
        let mut sim = Sim::new(seed);
        sim.at(DEADLINE_MS, Event::Deadline);
        let mut world = Self {
            machine: Generation::new(spec, &mut effects),
            body,
            sim,
            current: None,
            starts: 0,
            forwarded: 0,
            first_endpoint: None,
            ended_at_ms: None,
            broken: Vec::new(),
        };
        world.carry_out(effects);
        world.watch_for_stall();
        world
    }

    fn handle(&mut self, event: Event) {
        let input = match event {
            Event::Chunk(chunk) => GenerationEvent::Chunk(chunk),
            Event::Deadline => GenerationEvent::Deadline,
            Event::Cut(attempt) => failed(attempt, RetryReason::AnswerCut),
            Event::Stall(attempt, at_ms) => {
                if self.machine.stalls_at_ms() != Some(at_ms) {
                    return;
                }
                failed(attempt, RetryReason::AnswerStalled)
            }
        };
        let mut effects = Vec::new();
        self.machine.handle(self.sim.now_ms, input, &mut effects);
        self.carry_out(effects);
        self.watch_for_stall();
    }

    fn watch_for_stall(&mut self) {
        if let (Some(at_ms), Some((attempt, _))) = (self.machine.stalls_at_ms(), &self.current) {
            self.sim.at(at_ms, Event::Stall(attempt.clone(), at_ms));
        }
    }

    fn carry_out(&mut self, effects: Vec<GenerationEffect>) {
        for effect in effects {
            match effect {
                GenerationEffect::ChooseEndpoint { .. } => {
                    let number = self.sim.rng.random_range(0..self.body.endpoints);
                    let chosen =
                        GenerationEvent::EndpointChosen(Some(format!("sampler-{number}").into()));
                    let mut effects = Vec::new();
                    self.machine.handle(self.sim.now_ms, chosen, &mut effects);
                    self.carry_out(effects);
                }
                GenerationEffect::Start { endpoint, generate }
                | GenerationEffect::Resume { endpoint, generate } => {
                    self.start(endpoint, &generate);
                }
                GenerationEffect::Cancel { .. } => {}
                GenerationEffect::Forward { tokens, .. } => self.judge_tokens(&tokens),
                GenerationEffect::Finish { .. } => self.end(None),
                GenerationEffect::Refuse(refusal) => self.end(Some(refusal.kind())),
            }
        }
    }

    fn start(&mut self, endpoint: Arc<str>, generate: &Generate) {
        self.starts += 1;
        self.current = Some((generate.attempt.clone(), endpoint));
        let from = u32::try_from(generate.prefix.len()).expect("the prefix is short");
        let pieces = (LENGTH - from).div_ceil(CHUNK_TOKENS);
        let is_cut = self.sim.rng.random_ratio(self.body.cut_permille, 1_000);
        let hangs = self.sim.rng.random_ratio(self.body.hang_permille, 1_000);
        let fault_at = self.sim.rng.random_range(0..pieces);
        let mut at_ms = self.sim.now_ms;
        for piece in 0..pieces {
            at_ms += 10;
            if piece == fault_at && hangs {
                at_ms += 70_000;
            }
            if piece == fault_at && is_cut {
                let attempt = generate.attempt.clone();
                self.sim.at(at_ms, Event::Cut(attempt));
            }
            self.send_piece(at_ms, generate, from + piece * CHUNK_TOKENS);
        }
    }

    fn send_piece(&mut self, at_ms: u64, generate: &Generate, offset: u32) {
        let end = (offset + CHUNK_TOKENS).min(LENGTH);
        let token = |index| format!("{}:{index}", generate.attempt).into();
        let chunk = Chunk {
            attempt: generate.attempt.clone(),
            offset,
            tokens: (offset..end).map(token).collect(),
            weights_version: u64::from(self.starts),
            finish: (end == LENGTH).then(|| "length".into()),
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
            self.sim.at(at_ms + delay_ms, Event::Chunk(chunk.clone()));
        }
    }

    fn judge_tokens(&mut self, tokens: &[Arc<str>]) {
        let (attempt, endpoint) = self.current.clone().expect("an attempt runs");
        for token in tokens {
            let due = format!("{attempt}:{}", self.forwarded);
            if **token != *due {
                self.broken
                    .push(format!("the caller got {token} where {due} was due"));
            }
            self.forwarded += 1;
        }
        let first = self.first_endpoint.get_or_insert_with(|| endpoint.clone());
        if !self.body.continue_elsewhere && *first != endpoint {
            self.broken
                .push("tokens of two endpoints stand in one answer".to_owned());
        }
    }

    fn end(&mut self, refused: Option<ErrorKind>) {
        if self.ended_at_ms.is_some() {
            self.broken.push("the request ended twice".to_owned());
        }
        self.ended_at_ms = Some(self.sim.now_ms);
        match refused {
            None if self.forwarded != LENGTH => self.broken.push(format!(
                "an answer has {} of {LENGTH} tokens",
                self.forwarded
            )),
            Some(kind) if kind.response().not_run => self.broken.push(format!(
                "a request that was sent ended with {kind}, 'not run'"
            )),
            _ => {}
        }
    }

    fn judge_end(&mut self) {
        let by_ms = self.body.ends_by_ms;
        if self.ended_at_ms.is_none_or(|at_ms| at_ms > by_ms) {
            let ended = self.ended_at_ms;
            self.broken.push(format!(
                "the request ended at {ended:?} ms, not by {by_ms} ms"
            ));
        }
        if !self.body.is_idempotent && self.starts > 1 {
            self.broken
                .push(format!("it was sent {} times", self.starts));
        }
    }
}
