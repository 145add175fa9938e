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

/// How long an attempt may go without an accepted chunk before it is given up.
pub const STALL_TIMEOUT_MS: u64 = 5_000;

/// A request to a model service.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// The prefix of this request's attempt ids, which no other request uses.
    pub id: Arc<str>,
    /// The text to continue.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The seed for sampling.
    pub seed: u64,
    /// The priority that engines are sent.
    pub priority: u8,
    /// When the request is given up, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The most attempts.
    pub max_attempts: u32,
    /// Whether one answer may consist of tokens from several endpoints.
    pub continue_elsewhere: bool,
}

/// Why an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// The reason.
    pub reason: RetryReason,
    /// Whether any byte of the request may have reached the endpoint.
    pub was_sent: bool,
}

/// An input of [`Generation`].
#[derive(Clone, Debug)]
pub enum GenerationEvent {
    /// Routing chose this endpoint, or found none.
    EndpointChosen(Option<Name>),
    /// A chunk of the answer arrived.
    Chunk(Chunk),
    /// An attempt failed.
    AttemptFailed {
        /// The attempt's id.
        attempt: Arc<str>,
        /// Why it failed.
        failure: AttemptFailure,
        /// Whether the retry budget allows another attempt.
        may_retry: bool,
    },
    /// The deadline passed.
    Deadline,
    /// The caller no longer waits for the answer.
    CallerGone,
}

/// An action that [`Generation`] asks for; actions are carried out in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GenerationEffect {
    /// Choose an endpoint that is not in `avoid`.
    ChooseEndpoint {
        /// The endpoints on which this request has failed.
        avoid: BTreeSet<Name>,
    },
    /// Start an attempt on the chosen endpoint.
    Start {
        /// The endpoint.
        endpoint: Name,
        /// The message to send.
        generate: Generate,
    },
    /// Start an attempt on the endpoint of the previous attempt.
    Resume {
        /// The endpoint.
        endpoint: Name,
        /// The message to send.
        generate: Generate,
    },
    /// Cancel an attempt at its endpoint.
    Cancel {
        /// The endpoint.
        endpoint: Name,
        /// The attempt's id.
        attempt: Arc<str>,
    },
    /// Forward tokens to the caller.
    Forward {
        /// The tokens.
        tokens: Vec<Arc<str>>,
        /// The weights version that produced them, and their positions.
        span: VersionSpan,
    },
    /// End the request with a complete answer.
    Finish {
        /// `stop` or `length`.
        reason: Arc<str>,
    },
    /// End the request without a complete answer.
    Refuse(Refusal),
}

/// One request to a model service, from the first attempt to the complete answer.
///
/// Each token is forwarded once and in order, across all attempts: a chunk is
/// accepted only if it belongs to the running attempt and starts at the next
/// expected token. An attempt without an accepted chunk for
/// [`STALL_TIMEOUT_MS`] is given up. After a failure the answer resumes at the
/// next expected token. It resumes on another endpoint if one answer may
/// consist of tokens from several endpoints or no token was forwarded yet, and
/// on the same endpoint otherwise.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::{
///     Generation, GenerationEffect, GenerationEvent, GenerationSpec,
/// };
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
    running: Option<RunningAttempt>,
    failed_endpoints: BTreeSet<Name>,
    was_sent: bool,
    is_over: bool,
}

#[derive(Clone, Debug)]
struct RunningAttempt {
    id: Arc<str>,
    endpoint: Name,
    /// When the attempt is given up unless a chunk is accepted before.
    stalls_at_ms: u64,
}

impl Generation {
    /// Starts a request, and appends an effect that asks for an endpoint.
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
            failed_endpoints: BTreeSet::new(),
            was_sent: false,
            is_over: false,
        }
    }

    /// Handles an event, and appends the resulting actions to `effects`.
    ///
    /// Events after the end of the request are ignored.
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
                let generate = self.start_attempt(now_ms, endpoint.clone());
                effects.push(GenerationEffect::Start { endpoint, generate });
            }
            GenerationEvent::EndpointChosen(None) => self.on_no_endpoint(effects),
            GenerationEvent::Chunk(chunk) => self.on_chunk(now_ms, chunk, effects),
            GenerationEvent::AttemptFailed {
                attempt,
                failure,
                may_retry,
            } => {
                self.on_attempt_failed(now_ms, &attempt, failure, may_retry, effects);
            }
            GenerationEvent::Deadline => self.on_deadline(effects),
            GenerationEvent::CallerGone => {
                self.refuse(ErrorKind::CallerGone, "the caller disconnected", effects);
            }
        }
    }

    /// Returns when the request is given up, in milliseconds.
    #[must_use]
    pub const fn deadline_ms(&self) -> u64 {
        self.spec.deadline_ms
    }

    /// Returns when the running attempt is given up unless a chunk is accepted
    /// before.
    #[must_use]
    pub fn stalls_at_ms(&self) -> Option<u64> {
        let running = self.running.as_ref()?;
        guard::is_on(Guard::StallDeadline).then_some(running.stalls_at_ms)
    }

    /// Returns the tokens forwarded so far.
    #[must_use]
    pub fn tokens(&self) -> &[Arc<str>] {
        &self.tokens
    }

    /// Returns the weights versions that produced the tokens, by ranges of tokens.
    #[must_use]
    pub fn spans(&self) -> &[VersionSpan] {
        &self.spans
    }

    fn start_attempt(&mut self, now_ms: u64, endpoint: Name) -> Generate {
        self.attempts += 1;
        let id: Arc<str> = format!("{}-{}", self.spec.id, self.attempts).into();
        let generate = Generate {
            attempt: id.clone(),
            prompt: self.spec.prompt.clone(),
            prefix: self.tokens.clone(),
            max_tokens: self.spec.max_tokens,
            seed: self.spec.seed,
            priority: self.spec.priority,
        };
        self.running = Some(RunningAttempt {
            id,
            endpoint,
            stalls_at_ms: now_ms + STALL_TIMEOUT_MS,
        });
        generate
    }

    fn on_no_endpoint(&mut self, effects: &mut Vec<GenerationEffect>) {
        let kind = self.failure_kind();
        let message = "no endpoint of the service accepts requests now";
        self.refuse(kind, message, effects);
    }

    /// Returns the kind of the refusal if no further attempt is made.
    fn failure_kind(&self) -> ErrorKind {
        let claims_not_run = !self.was_sent || !guard::is_on(Guard::NotRunOnlyBeforeSend);
        match (claims_not_run, self.spec.is_idempotent) {
            (true, _) => ErrorKind::NoEndpoint,
            (false, true) => ErrorKind::AttemptsExhausted,
            (false, false) => ErrorKind::OutcomeUnknown,
        }
    }

    fn on_chunk(&mut self, now_ms: u64, chunk: Chunk, effects: &mut Vec<GenerationEffect>) {
        self.was_sent = true;
        if !self.is_expected(&chunk) {
            return;
        }
        if let Some(running) = &mut self.running {
            running.stalls_at_ms = now_ms + STALL_TIMEOUT_MS;
        }
        let from_token = self.token_count();
        let weights_version = self.weights_version_of(&chunk);
        let finish = chunk.finish;
        if !chunk.tokens.is_empty() {
            self.tokens.extend(chunk.tokens.iter().cloned());
            let span = VersionSpan {
                from_token,
                to_token: self.token_count(),
                weights_version,
            };
            self.append_span(span);
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

    fn is_expected(&self, chunk: &Chunk) -> bool {
        let is_current = self
            .running
            .as_ref()
            .is_some_and(|running| running.id == chunk.attempt);
        let is_next = chunk.offset == self.token_count();
        (is_current || !guard::is_on(Guard::AttemptId))
            && (is_next || !guard::is_on(Guard::ChunkOffset))
    }

    fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the weights version that the chunk states. The weights may have
    /// been swapped since the answer began, so the first span's version does not
    /// hold for later chunks.
    fn weights_version_of(&self, chunk: &Chunk) -> u64 {
        match self.spans.first() {
            Some(first) if !guard::is_on(Guard::VersionsFromChunks) => first.weights_version,
            _ => chunk.weights_version,
        }
    }

    fn append_span(&mut self, span: VersionSpan) {
        match self.spans.last_mut() {
            Some(last) if last.weights_version == span.weights_version => {
                last.to_token = span.to_token;
            }
            _ => self.spans.push(span),
        }
    }

    fn on_attempt_failed(
        &mut self,
        now_ms: u64,
        attempt: &Arc<str>,
        failure: AttemptFailure,
        may_retry: bool,
        effects: &mut Vec<GenerationEffect>,
    ) {
        let is_current = |running: &mut RunningAttempt| running.id == *attempt;
        let Some(RunningAttempt { endpoint, .. }) = self.running.take_if(is_current) else {
            return;
        };
        self.was_sent |= failure.was_sent;
        self.failed_endpoints.insert(endpoint.clone());
        let is_rerun_forbidden =
            self.was_sent && !self.spec.is_idempotent && guard::is_on(Guard::AtMostOnce);
        let is_pinned = !self.tokens.is_empty() && !self.spec.continue_elsewhere;
        let has_lost_endpoint = is_pinned && !failure.was_sent;
        if is_rerun_forbidden
            || has_lost_endpoint
            || !may_retry
            || self.attempts >= self.spec.max_attempts
        {
            let kind = self.failure_kind();
            let message = format!(
                "the request failed after {} of at most {} attempts",
                self.attempts, self.spec.max_attempts
            );
            self.refuse(kind, &message, effects);
            return;
        }
        if is_pinned {
            let generate = self.start_attempt(now_ms, endpoint.clone());
            effects.push(GenerationEffect::Resume { endpoint, generate });
            return;
        }
        effects.push(GenerationEffect::ChooseEndpoint {
            avoid: self.failed_endpoints.clone(),
        });
    }

    fn on_deadline(&mut self, effects: &mut Vec<GenerationEffect>) {
        let has_run = self.was_sent || self.running.is_some();
        let kind = match (has_run, self.spec.is_idempotent) {
            (false, _) => ErrorKind::DeadlinePassed,
            (true, true) => ErrorKind::TimedOut,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        self.refuse(
            kind,
            "the deadline passed before the answer was complete",
            effects,
        );
    }

    fn refuse(&mut self, kind: ErrorKind, message: &str, effects: &mut Vec<GenerationEffect>) {
        self.is_over = true;
        if let Some(RunningAttempt { id, endpoint, .. }) = self.running.take() {
            effects.push(GenerationEffect::Cancel {
                endpoint,
                attempt: id,
            });
        }
        effects.push(GenerationEffect::Refuse(Refusal::new(kind, message)));
    }
}
