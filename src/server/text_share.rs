use std::sync::Arc;

use super::state::{Server, lock};

/// The part of this VM's memory for texts that one sample takes, until it is dropped.
pub(crate) struct TextShare {
    server: Arc<Server>,
    id: u64,
}

impl TextShare {
    pub(crate) fn new(server: &Arc<Server>) -> Self {
        Self {
            server: server.clone(),
            id: lock(&server.text_memory).open(),
        }
    }

    /// Sets the size of the text; returns `false` if the text has to be discarded.
    pub(crate) fn resize(&self, bytes: usize) -> bool {
        lock(&self.server.text_memory).resize(self.id, bytes)
    }
}

impl Drop for TextShare {
    fn drop(&mut self) {
        lock(&self.server.text_memory).close(self.id);
    }
}
