/// How a VM's memory is divided among what callers and endpoints send.
///
/// What is left is for the process itself.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::memory::MemoryShares;
///
/// let shares = MemoryShares::of(160_000_000);
/// assert_eq!(shares.large_bodies_bytes, 80_000_000);
/// assert!(shares.total_bytes() < 160_000_000);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryShares {
    /// For bodies of requests of up to [`SMALL_BODY_BYTES`](Self::SMALL_BODY_BYTES), so
    /// that they need not wait for large ones.
    pub small_bodies_bytes: usize,
    /// For larger bodies of requests, and batches.
    pub large_bodies_bytes: usize,
    /// For answers of up to [`SMALL_BODY_BYTES`](Self::SMALL_BODY_BYTES).
    pub small_answers_bytes: usize,
    /// For larger answers.
    pub large_answers_bytes: usize,
    /// For texts of unlisted samples, each of which is copied for a short time when it is
    /// saved and when it is listed.
    pub texts_bytes: usize,
    /// For the buffers and the state of accepted connections.
    pub connections_bytes: usize,
}

impl MemoryShares {
    /// The size up to which a body counts as small.
    pub const SMALL_BODY_BYTES: usize = 64 * 1024;

    /// Divides the memory that a process may use.
    #[must_use]
    pub const fn of(memory_bytes: usize) -> Self {
        Self {
            small_bodies_bytes: memory_bytes / 20,
            large_bodies_bytes: memory_bytes / 2,
            small_answers_bytes: memory_bytes / 20,
            large_answers_bytes: memory_bytes / 12,
            texts_bytes: memory_bytes / 10,
            connections_bytes: memory_bytes / 8,
        }
    }

    /// Returns the sum of all shares.
    #[must_use]
    pub const fn total_bytes(&self) -> usize {
        self.small_bodies_bytes
            + self.large_bodies_bytes
            + self.small_answers_bytes
            + self.large_answers_bytes
            + self.texts_bytes
            + self.connections_bytes
    }
}
