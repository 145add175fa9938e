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

/// What is asked of a model service.
#[derive(Clone, Debug)]
pub struct Spec {
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
pub enum Event {
    /// Routing chose an endpoint, or found none.
    Chosen(Option<Name>),
    /// A piece of the answer came in.
    Chunk(Chunk),
    /// An attempt failed.
    Failed {
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
pub enum Effect {
    /// Choose an endpoint other than these.
    Choose {
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
/// the token that is due.
#[derive(Clone, Debug)]
pub struct Generation {
    spec: Spec,
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
}

impl Generation {
    /// Starts a request; the first effect asks for an endpoint.
    #[must_use]
    pub fn new(spec: Spec, effects: &mut Vec<Effect>) -> Self {
        effects.push(Effect::Choose {
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
    pub fn handle(&mut self, event: Event, effects: &mut Vec<Effect>) {
        if self.is_over {
            return;
        }
        match event {
            Event::Chosen(Some(endpoint)) => self.start(endpoint, effects),
            Event::Chosen(None) => self.on_no_endpoint(effects),
            Event::Chunk(chunk) => self.on_chunk(chunk, effects),
            Event::Failed {
                attempt,
                failure,
                may_retry,
            } => {
                self.on_failed(&attempt, failure, may_retry, effects);
            }
            Event::Deadline => self.on_deadline(effects),
            Event::CallerGone => self.refuse(ErrorKind::CallerGone, "the caller is gone", effects),
        }
    }

    /// Returns when the request is given up.
    #[must_use]
    pub const fn deadline_ms(&self) -> u64 {
        self.spec.deadline_ms
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

    fn start(&mut self, endpoint: Name, effects: &mut Vec<Effect>) {
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
            endpoint: endpoint.clone(),
        });
        effects.push(Effect::Start { endpoint, generate });
    }

    fn on_no_endpoint(&mut self, effects: &mut Vec<Effect>) {
        let kind = if self.was_sent {
            ErrorKind::AttemptsExhausted
        } else {
            ErrorKind::NoEndpoint
        };
        self.refuse(kind, "no endpoint of the service takes work now", effects);
    }

    fn on_chunk(&mut self, chunk: Chunk, effects: &mut Vec<Effect>) {
        self.was_sent = true;
        if !self.is_due(&chunk) {
            return;
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
            effects.push(Effect::Forward {
                tokens: chunk.tokens,
                span,
            });
        }
        if let Some(reason) = finish {
            self.running = None;
            self.is_over = true;
            effects.push(Effect::Finish { reason });
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
        attempt: &Arc<str>,
        failure: AttemptFailure,
        may_retry: bool,
        effects: &mut Vec<Effect>,
    ) {
        let is_current = |running: &mut Running| running.attempt == *attempt;
        let Some(running) = self.running.take_if(is_current) else {
            return;
        };
        self.was_sent |= failure.was_sent;
        self.avoid.insert(running.endpoint);
        let is_stuck = !self.tokens.is_empty() && !self.spec.continue_elsewhere;
        if !may_retry || is_stuck || self.attempts >= self.spec.max_attempts {
            let kind = if self.was_sent {
                ErrorKind::AttemptsExhausted
            } else {
                ErrorKind::NoEndpoint
            };
            self.refuse(kind, "the attempts that are allowed have failed", effects);
            return;
        }
        effects.push(Effect::Choose {
            avoid: self.avoid.clone(),
        });
    }

    fn on_deadline(&mut self, effects: &mut Vec<Effect>) {
        let has_run = self.was_sent || self.running.is_some();
        let kind = if has_run {
            ErrorKind::TimedOut
        } else {
            ErrorKind::DeadlinePassed
        };
        self.refuse(kind, "the deadline passed", effects);
    }

    fn refuse(&mut self, kind: ErrorKind, message: &str, effects: &mut Vec<Effect>) {
        self.is_over = true;
        if let Some(Running { attempt, endpoint }) = self.running.take() {
            effects.push(Effect::Cancel { endpoint, attempt });
        }
        effects.push(Effect::Refuse(Refusal::new(kind, message)));
    }
}
