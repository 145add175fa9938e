use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use tokio::sync::Notify;

use super::listener_connections::ListenerConnections;
use crate::{core::connections::ConnectionPhase, server::lock};

/// How many bytes of a body count as progress: a sender of a byte now and then makes none.
const PROGRESS_BYTES: usize = 4 * 1024;

/// One open connection, which is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    listener: Arc<ListenerConnections>,
    id: u64,
    closer: Arc<Notify>,
    phase: Mutex<ConnectionPhase>,
    /// The bytes of a body since the last progress.
    received_bytes: AtomicUsize,
    is_blocked: AtomicBool,
    /// Whether memory for the whole body of a large request is granted.
    is_large: AtomicBool,
}

impl OpenConnection {
    pub(super) const fn new(
        listener: Arc<ListenerConnections>,
        id: u64,
        closer: Arc<Notify>,
    ) -> Self {
        Self {
            listener,
            id,
            closer,
            phase: Mutex::new(ConnectionPhase::Idle),
            received_bytes: AtomicUsize::new(0),
            is_blocked: AtomicBool::new(false),
            is_large: AtomicBool::new(false),
        }
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.closer.notified().await;
    }

    fn set_phase(&self, phase: ConnectionPhase) -> bool {
        *lock(&self.phase) = phase;
        self.listener.set_phase(self.id, phase)
    }

    /// Records bytes that were read from the connection.
    pub(super) fn on_read(&self, bytes: usize) {
        let phase = *lock(&self.phase);
        match phase {
            ConnectionPhase::Idle => {
                self.set_phase(ConnectionPhase::Head);
            }
            ConnectionPhase::Body => {
                let received = self.received_bytes.fetch_add(bytes, Ordering::SeqCst) + bytes;
                if received >= PROGRESS_BYTES {
                    self.received_bytes.store(0, Ordering::SeqCst);
                    self.listener.on_progress(self.id);
                }
            }
            ConnectionPhase::Head | ConnectionPhase::Waiting | ConnectionPhase::Running => {}
        }
    }

    /// Records whether the other side takes what is written.
    pub(super) fn on_write(&self, is_blocked: bool) {
        if self.is_blocked.swap(is_blocked, Ordering::SeqCst) != is_blocked {
            self.listener.set_blocked(self.id, is_blocked);
        }
    }

    /// Records that the head is complete and the body is received.
    pub(crate) fn begin_body(&self) {
        self.received_bytes.store(0, Ordering::SeqCst);
        self.set_phase(ConnectionPhase::Body);
    }

    /// Records that the body waits for memory.
    pub(crate) fn begin_wait(&self) {
        self.set_phase(ConnectionPhase::Waiting);
    }

    /// Records that memory for the whole body was granted.
    pub(crate) fn end_wait(&self) {
        self.is_large.store(true, Ordering::SeqCst);
        self.begin_body();
    }

    pub(super) fn is_large(&self) -> bool {
        self.is_large.load(Ordering::SeqCst)
    }

    /// Returns whether the request may run: it may not if the connection is about to be
    /// closed.
    pub(crate) fn begin_run(&self) -> bool {
        self.set_phase(ConnectionPhase::Running)
    }

    /// Records that the rest of a refused body was read: it is not the start of a head.
    pub(crate) fn end_discard(&self) {
        let phase = *lock(&self.phase);
        if phase == ConnectionPhase::Head {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Records that the whole answer was handed on.
    pub(super) fn end_run(&self) {
        self.set_phase(ConnectionPhase::Idle);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.listener.remove(self.id);
    }
}
