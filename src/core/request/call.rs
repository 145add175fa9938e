use std::collections::BTreeSet;

use super::AttemptFailure;
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    error::{ErrorKind, Refusal},
};

/// How an attempt of a plain call ended without an answer.
pub type CallFailure = AttemptFailure;

/// What to do next about a plain call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEffect {
    /// Choose an endpoint other than these and send the call there.
    ChooseEndpoint {
        /// Endpoints that failed this call.
        avoid: BTreeSet<Name>,
    },
    /// The call ends without an answer.
    Refuse(Refusal),
}

/// One call of a plain service, which may be allowed to run only once.
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
    avoid: BTreeSet<Name>,
    was_sent: bool,
}

impl Call {
    /// Creates a call that has not been sent.
    #[must_use]
    pub const fn new(is_idempotent: bool, max_attempts: u32) -> Self {
        Self {
            is_idempotent,
            max_attempts,
            attempts: 0,
            avoid: BTreeSet::new(),
            was_sent: false,
        }
    }

    /// Notes the endpoint that routing chose; none gives the final refusal.
    pub fn on_endpoint_chosen(&mut self, endpoint: Option<&Name>) -> Option<Refusal> {
        let Some(endpoint) = endpoint else {
            return Some(self.refusal("no endpoint of the service takes work now"));
        };
        self.attempts += 1;
        self.avoid.insert(endpoint.clone());
        None
    }

    /// Notes that the attempt failed, and returns what to do next.
    pub fn on_attempt_failed(&mut self, failure: AttemptFailure, may_retry: bool) -> CallEffect {
        self.was_sent |= failure.was_sent;
        let is_spent = self.was_sent && !self.is_idempotent && guard::is_on(Guard::AtMostOnce);
        if is_spent || !may_retry || self.attempts >= self.max_attempts {
            return CallEffect::Refuse(self.refusal("the attempts that are allowed have failed"));
        }
        CallEffect::ChooseEndpoint {
            avoid: self.avoid.clone(),
        }
    }

    /// Returns the refusal for a deadline that passed; `is_sent` says whether
    /// an attempt is on its way.
    #[must_use]
    pub fn on_deadline(&self, is_sent: bool) -> Refusal {
        let kind = match (self.was_sent || is_sent, self.is_idempotent) {
            (false, _) => ErrorKind::DeadlinePassed,
            (true, true) => ErrorKind::TimedOut,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        Refusal::new(kind, "the deadline passed")
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
