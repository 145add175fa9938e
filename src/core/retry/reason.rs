use strum::{Display, EnumIter, IntoStaticStr};

/// Why an attempt is made again.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The endpoint could not be connected to.
    ConnectFailed,
    /// The endpoint refused the request as it was.
    EndpointRefused,
    /// The connection broke, or the answer was not whole.
    AnswerCut,
    /// The endpoint brought nothing for too long.
    AnswerStalled,
    /// The answer did not follow the protocol.
    AnswerInvalid,
    /// A group's last sample was slow.
    Straggler,
    /// A committed sample was too old to hand over.
    SampleStale,
}
