use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use tokio::sync::Notify;

use super::OpenConnection;
use crate::{
    core::{
        connections::{CloseReason, ConnectionLimits, ConnectionPhase, ConnectionTable},
        routes::CallerLimits,
    },
    daemon::now_ms,
    server::{front::ListenerKind, lock},
};

/// The open connections of one listener.
#[derive(Debug)]
pub(crate) struct ListenerConnections {
    pub(super) kind: ListenerKind,
    state: Mutex<ListenerState>,
}

#[derive(Debug)]
struct ListenerState {
    limits: ConnectionLimits,
    table: ConnectionTable,
    /// What tells the task of each connection to close it.
    closers: BTreeMap<u64, Arc<Notify>>,
    /// The connections closed since the last look, by reason.
    closed: BTreeMap<CloseReason, u64>,
}

impl ListenerState {
    fn close(&mut self, connections: Vec<(u64, CloseReason)>) {
        for (id, reason) in connections {
            *self.closed.entry(reason).or_default() += 1;
            if let Some(closer) = self.closers.get(&id) {
                closer.notify_one();
            }
        }
    }

    fn close_excess(&mut self, now_ms: u64) {
        let excess = self.table.take_excess(&self.limits, now_ms);
        self.close(excess);
    }
}

impl ListenerConnections {
    pub(super) const fn new(kind: ListenerKind, limits: ConnectionLimits) -> Self {
        let state = ListenerState {
            limits,
            table: ConnectionTable::new(),
            closers: BTreeMap::new(),
            closed: BTreeMap::new(),
        };
        Self {
            kind,
            state: Mutex::new(state),
        }
    }

    /// Counts a connection as open until the returned value is dropped.
    pub(crate) fn open(self: &Arc<Self>) -> Arc<OpenConnection> {
        let closer = Arc::new(Notify::new());
        let mut state = lock(&self.state);
        let limits = state.limits;
        let id = state.table.open(&limits, now_ms());
        state.closers.insert(id, closer.clone());
        state.close_excess(now_ms());
        Arc::new(OpenConnection::new(self.clone(), id, closer))
    }

    pub(super) fn remove(&self, id: u64) {
        let mut state = lock(&self.state);
        state.table.remove(id);
        state.closers.remove(&id);
    }

    /// Returns whether the connection enters the phase: it does not if it is about to be
    /// closed.
    pub(super) fn set_phase(&self, id: u64, phase: ConnectionPhase) -> bool {
        let mut state = lock(&self.state);
        let limits = state.limits;
        let is_set = state.table.set_phase(&limits, id, phase, now_ms());
        // Closing others makes room before this one fills its buffers.
        state.close_excess(now_ms());
        is_set
    }

    pub(super) fn on_progress(&self, id: u64) {
        lock(&self.state).table.on_progress(id, now_ms());
    }

    pub(super) fn set_blocked(&self, id: u64, is_blocked: bool) {
        let mut state = lock(&self.state);
        let limits = state.limits;
        let since_ms = is_blocked.then(now_ms);
        state.table.set_blocked(&limits, id, since_ms);
        state.close_excess(now_ms());
    }

    /// Sets what the configuration allows.
    pub(super) fn configure(&self, allowed: &CallerLimits) {
        let limits = &mut lock(&self.state).limits;
        limits.head_timeout_ms = allowed.head_timeout_ms;
        limits.answer_timeout_ms = allowed.idle_timeout_ms;
        if self.kind == ListenerKind::Callers {
            limits.buffer_bytes = limits.buffer_bytes.max(allowed.max_head_bytes);
        }
    }

    /// Closes the connections whose time is over.
    pub(super) fn close_expired(&self, are_others_waiting: bool) {
        let mut state = lock(&self.state);
        let limits = state.limits;
        let expired = state
            .table
            .take_expired(&limits, now_ms(), are_others_waiting);
        state.close(expired);
    }

    /// Returns the connections that were closed since the last call, by reason.
    pub(super) fn take_closed(&self) -> BTreeMap<CloseReason, u64> {
        std::mem::take(&mut lock(&self.state).closed)
    }

    /// Returns how many connections are open, and the bytes that they count.
    pub(super) fn usage(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.table.open_count(), state.table.used_bytes())
    }

    pub(crate) fn limits(&self) -> ConnectionLimits {
        lock(&self.state).limits
    }
}
