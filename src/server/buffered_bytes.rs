use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The most bytes of endpoints' answers that one VM collects at the same time.
const MAX_BUFFERED_BYTES: usize = 24 * 1024 * 1024;

/// Counts the bytes of answers that are being collected.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferedBytes {
    total: Arc<AtomicUsize>,
}

impl BufferedBytes {
    /// Begins an answer, whose bytes count until it is dropped.
    pub(crate) fn begin(&self) -> BufferedAnswer {
        BufferedAnswer {
            total: self.total.clone(),
            bytes: 0,
        }
    }
}

/// The bytes of one answer that is being collected.
#[derive(Debug)]
pub(crate) struct BufferedAnswer {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl BufferedAnswer {
    /// Counts further bytes; returns whether they are within the limits of an answer and
    /// of all answers together.
    pub(crate) fn add(&mut self, count: usize, max_bytes: usize) -> bool {
        self.bytes += count;
        let total = self.total.fetch_add(count, Ordering::SeqCst) + count;
        self.bytes <= max_bytes && total <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BufferedAnswer {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
