use super::ErrorKind;

/// When a refused caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAdvice {
    /// Sending the same request again cannot succeed.
    Never,
    /// Another VM may accept the request at once.
    Elsewhere,
    /// The request may succeed at the time that the refusal states.
    Later,
}

/// The response to the client for one kind of error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// When to retry.
    pub retry: RetryAdvice,
}

impl ErrorKind {
    /// Returns the response for this kind of error.
    ///
    /// `not_run` is true only for errors that are raised before the first byte of the
    /// request is sent to an endpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::error::{ErrorKind, RetryAdvice};
    ///
    /// let response = ErrorKind::Overloaded.response();
    /// assert_eq!((response.status, response.not_run), (429, true));
    /// assert_eq!(ErrorKind::OutcomeUnknown.response().retry, RetryAdvice::Never);
    /// ```
    #[must_use]
    pub const fn response(self) -> ErrorResponse {
        let (status, not_run, retry) = match self {
            Self::BadRequest => (400, true, RetryAdvice::Never),
            Self::UnknownKey => (401, true, RetryAdvice::Never),
            Self::OtherAccount => (403, true, RetryAdvice::Never),
            Self::BodyTooLarge => (413, true, RetryAdvice::Never),
            Self::UnknownService | Self::UnknownTrainer | Self::UnknownStep => {
                (404, true, RetryAdvice::Never)
            }
            Self::IdReused | Self::ConfigConflict => (409, true, RetryAdvice::Never),
            Self::DeadlinePassed => (504, true, RetryAdvice::Never),
            Self::TimedOut => (504, false, RetryAdvice::Never),
            Self::Overloaded => (429, true, RetryAdvice::Later),
            Self::NoEndpoint | Self::PlatformUnavailable | Self::ContentHeld | Self::MemoryFull => {
                (503, true, RetryAdvice::Later)
            }
            Self::NotConfirmed => (503, false, RetryAdvice::Later),
            Self::StreamLost => (503, true, RetryAdvice::Never),
            Self::Draining | Self::ConfigTooOld | Self::StreamUnknown => {
                (503, true, RetryAdvice::Elsewhere)
            }
            Self::Quarantined => (422, false, RetryAdvice::Never),
            Self::ConfigInvalid => (422, true, RetryAdvice::Never),
            Self::OutcomeUnknown => (502, false, RetryAdvice::Never),
            Self::AttemptsExhausted => (502, false, RetryAdvice::Later),
            Self::TicketInvalid => (412, true, RetryAdvice::Never),
            Self::NotHolder => (421, true, RetryAdvice::Elsewhere),
            Self::CallerGone => (499, false, RetryAdvice::Never),
            Self::Internal => (500, false, RetryAdvice::Never),
        };
        ErrorResponse {
            status,
            not_run,
            retry,
        }
    }
}
