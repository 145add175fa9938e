use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// The reason for which a request or an operation is refused or abandoned.
///
/// The list is closed: every error is reported as one of these kinds.
/// [`ErrorKind::response`] returns the response to each.
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
    /// The request could not be parsed: it is truncated, incomplete, or has a value
    /// of the wrong type.
    BadRequest,
    /// The request presents no key of an account, and its route is not public.
    UnknownKey,
    /// The batch belongs to another account than the key.
    OtherAccount,
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
    /// The deadline passed, or was found impossible to meet, before the request ran.
    DeadlinePassed,
    /// The deadline passed while the request was running.
    TimedOut,
    /// The service has no capacity for the request at present.
    Overloaded,
    /// No endpoint of the service takes work at present.
    NoEndpoint,
    /// This VM is shutting down and accepts no new work.
    Draining,
    /// This VM has no configuration that is recent enough to act on.
    ConfigTooOld,
    /// The content of the request has crashed endpoints before.
    Quarantined,
    /// The content of the request has crashed endpoints and is held until the
    /// stated time.
    ContentHeld,
    /// This VM has no memory for the body of the request at present.
    MemoryFull,
    /// The stream cannot go on: the software version that began it serves no more, or
    /// nobody knows it.
    StreamLost,
    /// This VM cannot find out at which software version the stream has to go on.
    StreamUnknown,
    /// The request may have run, but its answer was lost.
    OutcomeUnknown,
    /// All attempts that the limits allow have failed.
    AttemptsExhausted,
    /// The ticket is missing, or was not issued by the incarnation that must answer
    /// for it.
    TicketInvalid,
    /// The table or the object store of the platform does not answer.
    PlatformUnavailable,
    /// The change may have been written, and sending it again is safe.
    NotConfirmed,
    /// The patch is based on an outdated version of the configuration.
    ConfigConflict,
    /// The patch does not result in a valid configuration.
    ConfigInvalid,
    /// Another VM holds the lease that the call requires.
    NotHolder,
    /// The caller closed the connection before the answer was complete.
    CallerGone,
    /// An internal error of the system.
    Internal,
}
