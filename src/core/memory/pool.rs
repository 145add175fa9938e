use std::collections::BTreeMap;

/// The memory that one use may take, and those that wait for a part of it.
///
/// Parts are granted in the order in which they were asked for, so that a large one is
/// not passed over for ever. One that exceeds the whole pool gets all of it.
///
/// A use whose size is not known before grows in steps. A step, or another part, is granted
/// only if the growing use that lacks least can still grow to its most: uses never block
/// each other half-grown, and none takes its most from the start.
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
    waiting: BTreeMap<u64, Part>,
    /// What growing uses hold, and the most that each may need.
    growing: BTreeMap<u64, Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    bytes: usize,
    most_bytes: usize,
}

impl Part {
    const fn lacking_bytes(self) -> usize {
        self.most_bytes.saturating_sub(self.bytes)
    }
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
            growing: BTreeMap::new(),
        }
    }

    /// Takes a part if there is room and nobody waits; returns whether it did.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        let is_free = self.waiting.is_empty() && self.may_take(whole(bytes));
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
        self.wait(whole(bytes))
    }

    /// Queues for the first step of a growing use; returns its place in the queue, which
    /// stays its number.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::memory::MemoryPool;
    ///
    /// let mut pool = MemoryPool::new(100);
    /// let first = pool.wait_to_grow(10, 60);
    /// assert!(pool.try_take_waiting(first));
    /// let second = pool.wait_to_grow(10, 60);
    /// assert!(pool.try_take_waiting(second));
    /// assert!(pool.try_grow(first, 30));
    /// assert!(!pool.try_grow(second, 40), "the first could not grow to its most");
    /// assert!(pool.try_grow(first, 20));
    /// pool.stop_growing(first);
    /// pool.give_back(60);
    /// assert!(pool.try_grow(second, 40));
    /// ```
    pub fn wait_to_grow(&mut self, bytes: usize, most_bytes: usize) -> u64 {
        let most_bytes = most_bytes.min(self.max_bytes).max(bytes);
        self.wait(Part { bytes, most_bytes })
    }

    fn wait(&mut self, part: Part) -> u64 {
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, part);
        self.next_ticket
    }

    /// Takes a further step of a growing use, if there is room; returns whether it did.
    pub fn try_grow(&mut self, number: u64, bytes: usize) -> bool {
        let Some(held) = self.growing.remove(&number) else {
            return false;
        };
        let grown = Part {
            bytes: held.bytes + bytes,
            most_bytes: held.most_bytes,
        };
        // One that exceeds the whole pool gets all of it and what it lacks.
        let is_alone = self.used_bytes == held.bytes;
        let is_granted = is_alone
            || (self.has_room(bytes) && self.can_complete(self.used_bytes + bytes, Some(grown)));
        if is_granted {
            self.used_bytes += bytes;
        }
        let part = if is_granted { grown } else { held };
        self.growing.insert(number, part);
        is_granted
    }

    /// Records that a use grows no more; it holds what it has until that is given back.
    pub fn stop_growing(&mut self, number: u64) {
        self.growing.remove(&number);
    }

    /// Takes the part that was queued for, if it is the next one and there is room;
    /// returns whether it did.
    pub fn try_take_waiting(&mut self, ticket: u64) -> bool {
        let next = self.waiting.first_key_value();
        let Some((_, part)) = next.filter(|(first, _)| **first == ticket) else {
            return false;
        };
        let part = *part;
        if !self.may_take(part) {
            return false;
        }
        self.waiting.remove(&ticket);
        self.used_bytes += part.bytes;
        if part.lacking_bytes() > 0 {
            self.growing.insert(ticket, part);
        }
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

    fn may_take(&self, part: Part) -> bool {
        let grows = (part.lacking_bytes() > 0).then_some(part);
        self.has_room(part.bytes) && self.can_complete(self.used_bytes + part.bytes, grows)
    }

    /// Returns whether a growing use can grow to its most if `used_bytes` are taken, or
    /// there is none.
    fn can_complete(&self, used_bytes: usize, other: Option<Part>) -> bool {
        let growing = self.growing.values().copied().chain(other);
        let least = growing.map(Part::lacking_bytes).min();
        least.is_none_or(|lacking| used_bytes + lacking <= self.max_bytes)
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.used_bytes + bytes.min(self.max_bytes) <= self.max_bytes
    }
}

const fn whole(bytes: usize) -> Part {
    Part {
        bytes,
        most_bytes: bytes,
    }
}
