use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// Every reason for which the system refuses or gives up on something.
///
/// The list is closed: whatever goes wrong is told as one of these, and
/// [`ErrorKind::response`] says what the other side is told.
///
/// # Examples
///
/// ```
/// use chicoryreach::error::ErrorKind;
///
/// assert_eq!(ErrorKind::UnknownService.to_string(), "unknown_service");
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The request could not be read: truncated, mistyped or incomplete.
    BadRequest,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// No service of this name is configured.
    UnknownService,
    /// No trainer of this name is configured.
    UnknownTrainer,
    /// The trainer has not opened this step.
    UnknownStep,
    /// The request id was used before with another body.
    IdReused,
    /// The deadline had passed, or could not be met, before anything ran.
    DeadlinePassed,
    /// The deadline passed while the request ran.
    TimedOut,
    /// The service has no room for the request now.
    Overloaded,
    /// No endpoint of the service takes work now.
    NoEndpoint,
    /// This VM is shutting down and takes no new work.
    Draining,
    /// This VM has not read a configuration fresh enough to act on.
    ConfigTooOld,
    /// The request's content has crashed endpoints before.
    Quarantined,
    /// The request may have run, and its answer is lost.
    OutcomeUnknown,
    /// Every attempt that the limits allow has failed.
    AttemptsExhausted,
    /// The ticket was not issued by the incarnation that answers for it.
    TicketInvalid,
    /// The platform's table or object store does not answer.
    PlatformUnavailable,
    /// The change may have been written; sending it again is safe.
    NotConfirmed,
    /// The patch was written against an outdated configuration version.
    ConfigConflict,
    /// The patch does not give a valid configuration.
    ConfigInvalid,
    /// Another VM holds the lease that this call needs.
    NotHolder,
    /// The caller closed its connection before the answer was whole.
    CallerGone,
    /// A fault of the system itself.
    Internal,
}
