use std::collections::BTreeMap;

/// The memory that the texts of unlisted samples take on one VM.
///
/// When it is used up, the longest text may still grow and all others have to be
/// discarded, so that at least one sample completes at any time.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::TextMemory;
///
/// let mut memory = TextMemory::new(100);
/// let (long, short) = (memory.open(), memory.open());
/// assert!(memory.resize(long, 90));
/// assert!(!memory.resize(short, 20));
/// assert!(memory.resize(long, 120));
/// memory.close(long);
/// assert!(memory.resize(short, 20));
/// ```
#[derive(Clone, Debug)]
pub struct TextMemory {
    max_bytes: usize,
    total_bytes: usize,
    next_id: u64,
    bytes_by_id: BTreeMap<u64, usize>,
}

impl TextMemory {
    /// Creates an empty memory of `max_bytes`.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            total_bytes: 0,
            next_id: 0,
            bytes_by_id: BTreeMap::new(),
        }
    }

    /// Adds an empty text and returns its number.
    pub fn open(&mut self) -> u64 {
        self.next_id += 1;
        self.bytes_by_id.insert(self.next_id, 0);
        self.next_id
    }

    /// Sets the size of a text; returns `false`, and changes nothing, if the text has to
    /// be discarded.
    pub fn resize(&mut self, id: u64, bytes: usize) -> bool {
        let before = self.bytes_by_id.get(&id).copied().unwrap_or(0);
        let total_bytes = self.total_bytes - before + bytes;
        let is_longest = || self.bytes_by_id.values().all(|other| *other <= bytes);
        if bytes > before && total_bytes > self.max_bytes && !is_longest() {
            return false;
        }
        self.total_bytes = total_bytes;
        self.bytes_by_id.insert(id, bytes);
        true
    }

    /// Removes a text.
    pub fn close(&mut self, id: u64) {
        if let Some(bytes) = self.bytes_by_id.remove(&id) {
            self.total_bytes -= bytes;
        }
    }

    /// Returns the bytes of all texts.
    #[must_use]
    pub const fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}
