use super::ErrorKind;

/// When a refused caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// Sending the same request again cannot succeed.
    Never,
    /// Another VM may take the request at once.
    Elsewhere,
    /// The request may succeed after the time that the refusal names.
    Later,
}

/// What the other side is told for one kind of error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether it is certain that the request did not run.
    pub not_run: bool,
    /// When to come back.
    pub retry: Retry,
}

impl ErrorKind {
    /// Returns the answer for this kind.
    ///
    /// `not_run` is true only for kinds that are raised before the first byte
    /// of a request is sent to an endpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::error::{ErrorKind, Retry};
    ///
    /// let answer = ErrorKind::Overloaded.answer();
    /// assert_eq!((answer.status, answer.not_run), (429, true));
    /// assert_eq!(ErrorKind::OutcomeUnknown.answer().retry, Retry::Never);
    /// ```
    #[must_use]
    pub const fn answer(self) -> Answer {
        let (status, not_run, retry) = match self {
            Self::BadRequest => (400, true, Retry::Never),
            Self::BodyTooLarge => (413, true, Retry::Never),
            Self::UnknownService | Self::UnknownTrainer | Self::UnknownStep => {
                (404, true, Retry::Never)
            }
            Self::IdReused | Self::ConfigConflict => (409, true, Retry::Never),
            Self::DeadlinePassed => (504, true, Retry::Never),
            Self::TimedOut => (504, false, Retry::Never),
            Self::Overloaded => (429, true, Retry::Later),
            Self::NoEndpoint | Self::PlatformUnavailable => (503, true, Retry::Later),
            Self::NotConfirmed => (503, false, Retry::Later),
            Self::Draining | Self::ConfigTooOld => (503, true, Retry::Elsewhere),
            Self::Quarantined => (422, false, Retry::Never),
            Self::ConfigInvalid => (422, true, Retry::Never),
            Self::OutcomeUnknown => (502, false, Retry::Never),
            Self::AttemptsExhausted => (502, false, Retry::Later),
            Self::TicketInvalid => (412, true, Retry::Never),
            Self::NotHolder => (421, true, Retry::Elsewhere),
            Self::CallerGone => (499, false, Retry::Never),
            Self::Internal => (500, false, Retry::Never),
        };
        Answer {
            status,
            not_run,
            retry,
        }
    }
}
