use std::collections::BTreeMap;

/// The memory that one use may take, and those that wait for a part of it.
///
/// Parts are granted in the order in which they were asked for, so that a large one is
/// not passed over for ever. One that exceeds the whole pool gets all of it.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::memory::MemoryPool;
///
/// let mut pool = MemoryPool::new(100);
/// assert!(pool.try_take(80));
/// let first = pool.wait_for(90);
/// assert!(!pool.try_take(10), "one waits already");
/// pool.give_back(80);
/// assert!(pool.try_take_waiting(first));
/// assert_eq!(pool.used_bytes(), 90);
/// ```
#[derive(Clone, Debug)]
pub struct MemoryPool {
    max_bytes: usize,
    used_bytes: usize,
    next_ticket: u64,
    /// What those that wait have asked for, in order.
    waiting: BTreeMap<u64, usize>,
}

impl MemoryPool {
    /// Creates an unused pool.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            next_ticket: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Takes a part if there is room and nobody waits; returns whether it did.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        let is_free = self.waiting.is_empty() && self.has_room(bytes);
        if is_free {
            self.used_bytes += bytes;
        }
        is_free
    }

    /// Takes a part whether there is room or not.
    pub const fn take(&mut self, bytes: usize) {
        self.used_bytes += bytes;
    }

    /// Returns a part.
    pub const fn give_back(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }

    /// Queues for a part; returns the place in the queue.
    pub fn wait_for(&mut self, bytes: usize) -> u64 {
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, bytes);
        self.next_ticket
    }

    /// Takes the part that was queued for, if it is the next one and there is room;
    /// returns whether it did.
    pub fn try_take_waiting(&mut self, ticket: u64) -> bool {
        let next = self.waiting.first_key_value();
        let Some((_, bytes)) = next.filter(|(first, _)| **first == ticket) else {
            return false;
        };
        let bytes = *bytes;
        if !self.has_room(bytes) {
            return false;
        }
        self.waiting.remove(&ticket);
        self.used_bytes += bytes;
        true
    }

    /// Leaves the queue.
    pub fn stop_waiting(&mut self, ticket: u64) {
        self.waiting.remove(&ticket);
    }

    /// Returns the bytes that are taken.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns how many wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.used_bytes + bytes.min(self.max_bytes) <= self.max_bytes
    }
}
