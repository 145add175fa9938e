use std::collections::BTreeSet;

use super::AttemptFailure;
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    error::{ErrorKind, Refusal},
};

/// Why an attempt of a call ended without an answer.
pub type CallFailure = AttemptFailure;

/// The next action for a [`Call`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEffect {
    /// Choose an endpoint that is not in `avoid` and send the call to it.
    ChooseEndpoint {
        /// The endpoints on which this call has failed.
        avoid: BTreeSet<Name>,
    },
    /// End the call without an answer.
    Refuse(Refusal),
}

/// One call to a plain service, which runs no model.
///
/// Unless the call is idempotent, it is not retried once it may have reached an
/// endpoint.
///
/// # Examples
///
/// ```
/// use chicoryreach::{
///     core::{
///         request::{Call, CallEffect, CallFailure},
///         retry::RetryReason,
///     },
///     error::ErrorKind,
/// };
///
/// let mut call = Call::new(false, 3);
/// call.on_endpoint_chosen(Some(&"slip-1".into()));
/// let failure = CallFailure { reason: RetryReason::AnswerCut, was_sent: true };
/// let CallEffect::Refuse(refusal) = call.on_attempt_failed(failure, true) else { panic!() };
/// assert_eq!(refusal.kind(), ErrorKind::OutcomeUnknown);
/// ```
#[derive(Clone, Debug)]
pub struct Call {
    is_idempotent: bool,
    max_attempts: u32,
    attempts: u32,
    failed_endpoints: BTreeSet<Name>,
    was_sent: bool,
}

impl Call {
    /// Creates a call of which no attempt has been sent.
    #[must_use]
    pub const fn new(is_idempotent: bool, max_attempts: u32) -> Self {
        Self {
            is_idempotent,
            max_attempts,
            attempts: 0,
            failed_endpoints: BTreeSet::new(),
            was_sent: false,
        }
    }

    /// Records the endpoint that routing chose for the next attempt.
    ///
    /// Returns the final refusal if routing found no endpoint.
    pub fn on_endpoint_chosen(&mut self, endpoint: Option<&Name>) -> Option<Refusal> {
        let Some(endpoint) = endpoint else {
            return Some(self.refusal("no endpoint of the service accepts requests now"));
        };
        self.attempts += 1;
        self.failed_endpoints.insert(endpoint.clone());
        None
    }

    /// Records that the current attempt failed, and returns the next action.
    ///
    /// `may_retry` is whether the retry budget allows another attempt.
    pub fn on_attempt_failed(&mut self, failure: AttemptFailure, may_retry: bool) -> CallEffect {
        self.was_sent |= failure.was_sent;
        let is_rerun_forbidden =
            self.was_sent && !self.is_idempotent && guard::is_on(Guard::AtMostOnce);
        if is_rerun_forbidden || !may_retry || self.attempts >= self.max_attempts {
            let message = format!(
                "the call failed after {} of at most {} attempts",
                self.attempts, self.max_attempts
            );
            return CallEffect::Refuse(self.refusal(&message));
        }
        CallEffect::ChooseEndpoint {
            avoid: self.failed_endpoints.clone(),
        }
    }

    /// Returns the refusal for a call whose deadline passed.
    ///
    /// `is_sent` is whether an attempt is in flight.
    #[must_use]
    pub fn on_deadline(&self, is_sent: bool) -> Refusal {
        let kind = match (self.was_sent || is_sent, self.is_idempotent) {
            (false, _) => ErrorKind::DeadlinePassed,
            (true, true) => ErrorKind::TimedOut,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        Refusal::new(kind, "the deadline passed before the call ended")
    }

    fn refusal(&self, message: &str) -> Refusal {
        let claims_not_run = !self.was_sent || !guard::is_on(Guard::NotRunOnlyBeforeSend);
        let kind = match (claims_not_run, self.is_idempotent) {
            (true, _) => ErrorKind::NoEndpoint,
            (false, true) => ErrorKind::AttemptsExhausted,
            (false, false) => ErrorKind::OutcomeUnknown,
        };
        Refusal::new(kind, message)
    }
}
