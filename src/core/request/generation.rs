use std::{collections::BTreeSet, sync::Arc};

use crate::{
    core::{
        Name,
        guard::{self, Guard},
        retry::RetryReason,
    },
    error::{ErrorKind, Refusal},
    wire::{
        callers::VersionSpan,
        engine::{Chunk, Generate},
    },
};

/// How long an attempt may bring nothing that counts.
pub const STALL_TIMEOUT_MS: u64 = 5_000;

/// What is asked of a model service.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// The prefix of this request's attempt ids; no other request has it.
    pub id: Arc<str>,
    /// The text to continue.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The seed for sampling.
    pub seed: u64,
    /// The priority towards engines.
    pub priority: u8,
    /// When the request is given up.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The most attempts.
    pub max_attempts: u32,
    /// Whether tokens of two endpoints may stand in one answer.
    pub continue_elsewhere: bool,
}

/// Why an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// The reason.
    pub reason: RetryReason,
    /// Whether any byte may have reached the endpoint.
    pub was_sent: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum GenerationEvent {
    /// Routing chose an endpoint, or found none.
    EndpointChosen(Option<Name>),
    /// A piece of the answer came in.
    Chunk(Chunk),
    /// An attempt failed.
    AttemptFailed {
        /// The attempt.
        attempt: Arc<str>,
        /// How it failed.
        failure: AttemptFailure,
        /// The answer of the retry budget.
        may_retry: bool,
    },
    /// The deadline passed.
    Deadline,
    /// The caller does not want the answer any more.
    CallerGone,
}

/// What to do, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GenerationEffect {
    /// Choose an endpoint other than these.
    ChooseEndpoint {
        /// Endpoints that failed this request.
        avoid: BTreeSet<Name>,
    },
    /// Send this to the endpoint.
    Start {
        /// The endpoint.
        endpoint: Name,
        /// What to send.
        generate: Generate,
    },
    /// Send this to the endpoint that ran the attempt before.
    Resume {
        /// The endpoint.
        endpoint: Name,
        /// What to send.
        generate: Generate,
    },
    /// Tell the endpoint that the attempt is dropped.
    Cancel {
        /// The endpoint.
        endpoint: Name,
        /// The attempt.
        attempt: Arc<str>,
    },
    /// Hand these tokens on.
    Forward {
        /// The tokens.
        tokens: Vec<Arc<str>>,
        /// The weights version that produced them, and their place.
        span: VersionSpan,
    },
    /// The answer is whole.
    Finish {
        /// `stop` or `length`.
        reason: Arc<str>,
    },
    /// The request ends without a whole answer.
    Refuse(Refusal),
}

/// One request to a model service, from the first attempt to the whole answer.
///
/// Tokens are handed on once each and in order, whatever the attempts do: a
/// piece counts only if it belongs to the attempt that runs now and starts at
/// the token that is due. An attempt that brings no such piece for [`STALL_TIMEOUT_MS`]
/// is dropped. After a failure the answer goes on at the token that is due: at
/// another endpoint if the service allows tokens of two in one answer or none
/// was handed on yet, else at the same one.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::{GenerationEffect, GenerationEvent, Generation, GenerationSpec};
///
/// let spec = GenerationSpec {
///     id: "vm-1.9.r".into(),
///     prompt: "floor 3".into(),
///     max_tokens: 8,
///     seed: 1,
///     priority: 0,
///     deadline_ms: 10_000,
///     is_idempotent: true,
///     max_attempts: 3,
///     continue_elsewhere: true,
/// };
/// let mut effects = Vec::new();
/// let mut generation = Generation::new(spec, &mut effects);
/// effects.clear();
/// generation.handle(0, GenerationEvent::EndpointChosen(Some("sampler-1".into())), &mut effects);
/// assert!(matches!(effects[0], GenerationEffect::Start { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct Generation {
    spec: GenerationSpec,
    tokens: Vec<Arc<str>>,
    spans: Vec<VersionSpan>,
    attempts: u32,
    running: Option<Running>,
    avoid: BTreeSet<Name>,
    was_sent: bool,
    is_over: bool,
}

#[derive(Clone, Debug)]
struct Running {
    attempt: Arc<str>,
    endpoint: Name,
    /// When the attempt is dropped if no piece that counts comes before.
    stalls_at_ms: u64,
}

impl Generation {
    /// Starts a request; the first effect asks for an endpoint.
    #[must_use]
    pub fn new(spec: GenerationSpec, effects: &mut Vec<GenerationEffect>) -> Self {
        effects.push(GenerationEffect::ChooseEndpoint {
            avoid: BTreeSet::new(),
        });
        Self {
            spec,
            tokens: Vec::new(),
            spans: Vec::new(),
            attempts: 0,
            running: None,
            avoid: BTreeSet::new(),
            was_sent: false,
            is_over: false,
        }
    }

    /// Takes an event and appends what to do to `effects`.
    pub fn handle(
        &mut self,
        now_ms: u64,
        event: GenerationEvent,
        effects: &mut Vec<GenerationEffect>,
    ) {
        if self.is_over {
            return;
        }
        match event {
            GenerationEvent::EndpointChosen(Some(endpoint)) => {
                let generate = self.start(now_ms, endpoint.clone());
                effects.push(GenerationEffect::Start { endpoint, generate });
            }
            GenerationEvent::EndpointChosen(None) => self.on_no_endpoint(effects),
            GenerationEvent::Chunk(chunk) => self.on_chunk(now_ms, chunk, effects),
            GenerationEvent::AttemptFailed {
                attempt,
                failure,
                may_retry,
            } => {
                self.on_failed(now_ms, &attempt, failure, may_retry, effects);
            }
            GenerationEvent::Deadline => self.on_deadline(effects),
            GenerationEvent::CallerGone => {
                self.refuse(ErrorKind::CallerGone, "the caller is gone", effects);
            }
        }
    }

    /// Returns when the request is given up.
    #[must_use]
    pub const fn deadline_ms(&self) -> u64 {
        self.spec.deadline_ms
    }

    /// Returns when the running attempt is dropped if nothing comes before.
    #[must_use]
    pub fn stalls_at_ms(&self) -> Option<u64> {
        let running = self.running.as_ref()?;
        guard::is_on(Guard::StallDeadline).then_some(running.stalls_at_ms)
    }

    /// Returns the tokens handed on so far.
    #[must_use]
    pub fn tokens(&self) -> &[Arc<str>] {
        &self.tokens
    }

    /// Returns the weights versions that produced the tokens, range by range.
    #[must_use]
    pub fn spans(&self) -> &[VersionSpan] {
        &self.spans
    }

    fn start(&mut self, now_ms: u64, endpoint: Name) -> Generate {
        self.attempts += 1;
        let attempt: Arc<str> = format!("{}-{}", self.spec.id, self.attempts).into();
        let generate = Generate {
            attempt: attempt.clone(),
            prompt: self.spec.prompt.clone(),
            prefix: self.tokens.clone(),
            max_tokens: self.spec.max_tokens,
            seed: self.spec.seed,
            priority: self.spec.priority,
        };
        self.running = Some(Running {
            attempt,
            endpoint,
            stalls_at_ms: now_ms + STALL_TIMEOUT_MS,
        });
        generate
    }

    fn on_no_endpoint(&mut self, effects: &mut Vec<GenerationEffect>) {
        let kind = self.final_kind();
        self.refuse(kind, "no endpoint of the service takes work now", effects);
    }

    fn final_kind(&self) -> ErrorKind {
        let claims_not_run = !self.was_sent || !guard::is_on(Guard::NotRunOnlyBeforeSend);
        match (claims_not_run, self.spec.is_idempotent) {
            (true, _) => ErrorKind::NoEndpoint,
            (false, true) => ErrorKind::AttemptsExhausted,
            (false, false) => ErrorKind::OutcomeUnknown,
        }
    }

    fn on_chunk(&mut self, now_ms: u64, chunk: Chunk, effects: &mut Vec<GenerationEffect>) {
        self.was_sent = true;
        if !self.is_due(&chunk) {
            return;
        }
        if let Some(running) = &mut self.running {
            running.stalls_at_ms = now_ms + STALL_TIMEOUT_MS;
        }
        let from_token = self.token_count();
        let weights_version = self.version_of(&chunk);
        let finish = chunk.finish;
        if !chunk.tokens.is_empty() {
            self.tokens.extend(chunk.tokens.iter().cloned());
            let span = VersionSpan {
                from_token,
                to_token: self.token_count(),
                weights_version,
            };
            self.note_span(span);
            effects.push(GenerationEffect::Forward {
                tokens: chunk.tokens,
                span,
            });
        }
        if let Some(reason) = finish {
            self.running = None;
            self.is_over = true;
            effects.push(GenerationEffect::Finish { reason });
        }
    }

    fn is_due(&self, chunk: &Chunk) -> bool {
        let is_current = self
            .running
            .as_ref()
            .is_some_and(|running| running.attempt == chunk.attempt);
        let is_next = chunk.offset == self.token_count();
        (is_current || !guard::is_on(Guard::AttemptId))
            && (is_next || !guard::is_on(Guard::ChunkOffset))
    }

    fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// What produced a piece is what the piece says; the version with which
    /// the answer began may have been swapped since.
    fn version_of(&self, chunk: &Chunk) -> u64 {
        match self.spans.first() {
            Some(first) if !guard::is_on(Guard::VersionsFromChunks) => first.weights_version,
            _ => chunk.weights_version,
        }
    }

    fn note_span(&mut self, span: VersionSpan) {
        match self.spans.last_mut() {
            Some(last) if last.weights_version == span.weights_version => {
                last.to_token = span.to_token;
            }
            _ => self.spans.push(span),
        }
    }

    fn on_failed(
        &mut self,
        now_ms: u64,
        attempt: &Arc<str>,
        failure: AttemptFailure,
        may_retry: bool,
        effects: &mut Vec<GenerationEffect>,
    ) {
        let is_current = |running: &mut Running| running.attempt == *attempt;
        let Some(Running { endpoint, .. }) = self.running.take_if(is_current) else {
            return;
        };
        self.was_sent |= failure.was_sent;
        self.avoid.insert(endpoint.clone());
        let is_spent = self.was_sent && !self.spec.is_idempotent && guard::is_on(Guard::AtMostOnce);
        let is_bound = !self.tokens.is_empty() && !self.spec.continue_elsewhere;
        let is_gone = is_bound && !failure.was_sent;
        if is_spent || is_gone || !may_retry || self.attempts >= self.spec.max_attempts {
            let kind = self.final_kind();
            self.refuse(kind, "the attempts that are allowed have failed", effects);
            return;
        }
        if is_bound {
            let generate = self.start(now_ms, endpoint.clone());
            effects.push(GenerationEffect::Resume { endpoint, generate });
            return;
        }
        effects.push(GenerationEffect::ChooseEndpoint {
            avoid: self.avoid.clone(),
        });
    }

    fn on_deadline(&mut self, effects: &mut Vec<GenerationEffect>) {
        let has_run = self.was_sent || self.running.is_some();
        let kind = match (has_run, self.spec.is_idempotent) {
            (false, _) => ErrorKind::DeadlinePassed,
            (true, true) => ErrorKind::TimedOut,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        self.refuse(kind, "the deadline passed", effects);
    }

    fn refuse(&mut self, kind: ErrorKind, message: &str, effects: &mut Vec<GenerationEffect>) {
        self.is_over = true;
        if let Some(Running {
            attempt, endpoint, ..
        }) = self.running.take()
        {
            effects.push(GenerationEffect::Cancel { endpoint, attempt });
        }
        effects.push(GenerationEffect::Refuse(Refusal::new(kind, message)));
    }
}
