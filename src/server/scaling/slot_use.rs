use std::sync::Arc;

use crate::{
    core::Name,
    daemon::now_ms,
    server::state::{Server, lock},
};

/// The time for which a run of a sample takes a slot, until it is dropped.
pub(crate) struct SlotUse {
    server: Arc<Server>,
    service: Name,
    began_ms: u64,
}

impl SlotUse {
    pub(crate) fn begin(server: &Arc<Server>, service: &Name) -> Self {
        lock(&server.load_signals).on_sample_run_begun(service);
        Self {
            server: server.clone(),
            service: service.clone(),
            began_ms: now_ms(),
        }
    }

    /// Ends the run, and returns the service at which it was.
    pub(crate) fn end(self) -> Name {
        self.service.clone()
    }
}

impl Drop for SlotUse {
    fn drop(&mut self) {
        let slot_ms = now_ms().saturating_sub(self.began_ms);
        lock(&self.server.load_signals).on_sample_run_ended(&self.service, slot_ms);
    }
}
