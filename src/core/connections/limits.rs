use super::ConnectionPhase;

/// What the connections of one listener may make a VM hold.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::connections::{ConnectionLimits, ConnectionPhase};
///
/// let limits = ConnectionLimits {
///     max_connections: 1_000,
///     max_bytes: 7_500_000,
///     buffer_bytes: 16_384,
///     head_timeout_ms: 3_000,
///     answer_timeout_ms: 15_000,
/// };
/// let idle_bytes = limits.bytes_of(ConnectionPhase::Idle);
/// assert!(idle_bytes < limits.bytes_of(ConnectionPhase::Running));
/// assert!(limits.bytes_of(ConnectionPhase::Running) < limits.bytes_of(ConnectionPhase::Body));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// The most connections that are open.
    pub max_connections: usize,
    /// The memory for all connections together, without bodies and answers.
    pub max_bytes: usize,
    /// The most bytes of one read buffer.
    pub buffer_bytes: usize,
    /// The time from the first byte of a head to its end, empty lines included.
    pub head_timeout_ms: u64,
    /// How long an answer may stay unread without any progress.
    pub answer_timeout_ms: u64,
}

impl ConnectionLimits {
    /// What a connection takes without buffers: its task, its state and its socket.
    pub const IDLE_BYTES: usize = 12 * 1024;
    /// How many read buffers a body takes: one that is filled, one that is queued and one
    /// that is copied.
    pub const BODY_BUFFERS: usize = 3;
    /// How many read buffers a running request takes: that of its head, and the next one.
    pub const RUNNING_BUFFERS: usize = 2;
    /// The most bytes that the kernel holds of a connection that is not read: twice the
    /// receive buffer that is set.
    pub const UNREAD_BYTES: usize = 128 * 1024;
    /// The most bytes that the kernel holds of an answer that is not read: twice the send
    /// buffer that is set.
    pub const UNSENT_BYTES: usize = 256 * 1024;

    /// Returns the bytes that a connection counts in a phase.
    #[must_use]
    pub const fn bytes_of(&self, phase: ConnectionPhase) -> usize {
        match phase {
            ConnectionPhase::Idle => Self::IDLE_BYTES,
            ConnectionPhase::Running => {
                Self::IDLE_BYTES + Self::RUNNING_BUFFERS * self.buffer_bytes
            }
            ConnectionPhase::Head | ConnectionPhase::Body | ConnectionPhase::Waiting => {
                Self::IDLE_BYTES + Self::BODY_BUFFERS * self.buffer_bytes + Self::UNREAD_BYTES
            }
        }
    }
}
