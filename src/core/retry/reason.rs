use strum::{Display, EnumIter, IntoStaticStr};

/// Why an attempt is retried.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The connection to the endpoint could not be opened.
    ConnectFailed,
    /// The endpoint rejected the request.
    EndpointRefused,
    /// The endpoint may get no more requests now.
    LimitReached,
    /// The connection broke, or the response was incomplete.
    AnswerCut,
    /// The endpoint sent nothing for too long.
    AnswerStalled,
    /// The response was longer than is allowed.
    AnswerTooLong,
    /// The texts of the samples that run take too much memory together.
    MemoryFull,
    /// The response violated the protocol.
    AnswerInvalid,
    /// A sample was generated too slowly, and resumes at another endpoint.
    Straggler,
    /// A committed sample was too old to be delivered.
    SampleStale,
}
