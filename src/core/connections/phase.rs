/// What a connection is waited for, or does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// No byte of the next request has come.
    Idle,
    /// A part of a head has come, or empty lines.
    Head,
    /// The body of a request is received.
    Body,
    /// The body of a request waits for memory, unread.
    Waiting,
    /// A request may be running, or its answer is being sent.
    Running,
}
