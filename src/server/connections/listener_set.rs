use std::{sync::Arc, time::Duration};

use rustix::process::{Resource, getrlimit};

use super::listener_connections::ListenerConnections;
use crate::{
    core::{connections::ConnectionLimits, memory::MemoryShares},
    server::{front::ListenerKind, state::Server},
    settings::VmSettings,
};

/// The interval between looks for connections whose time is over, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;
/// How many checks lie between two log lines about closed connections.
const CHECKS_PER_LINE: u32 = 4;
/// The descriptors of a process whose limit is not known.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// The time for a head until a configuration is known, in milliseconds.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 10_000;
/// How long an answer may stay unread until a configuration is known, in milliseconds.
const DEFAULT_ANSWER_TIMEOUT_MS: u64 = 15_000;
/// The read buffer of connections of callers until a configuration is known: it bounds
/// the head.
pub(crate) const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// The read buffer of other connections, whose heads are short.
const SHORT_HEAD_BYTES: usize = 8 * 1024;
/// The parts of the memory and of the descriptors of a listener, of 24 parts.
const PARTS: usize = 24;

/// The open connections of all listeners.
#[derive(Debug)]
pub(crate) struct ListenerSet {
    callers: Arc<ListenerConnections>,
    peers: Arc<ListenerConnections>,
    others: [Arc<ListenerConnections>; 3],
}

/// Returns the parts of the memory and of the descriptors that a listener gets; the other
/// descriptors are for connections to endpoints, to other VMs and to the store.
const fn parts_of(kind: ListenerKind) -> (usize, usize) {
    match kind {
        ListenerKind::Callers => (12, 12),
        ListenerKind::Peers => (9, 3),
        ListenerKind::Readiness | ListenerKind::Directory | ListenerKind::Metrics => (1, 1),
    }
}

/// Returns the limit on open descriptors of this process.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.and_then(|limit| usize::try_from(limit).ok());
    limit.unwrap_or(DEFAULT_DESCRIPTORS)
}

impl ListenerSet {
    pub(crate) fn new(settings: &VmSettings, shares: &MemoryShares) -> Self {
        let descriptors = descriptor_limit();
        let connections_of = |kind: ListenerKind| {
            let (memory_parts, descriptor_parts) = parts_of(kind);
            let max_connections = match (kind, settings.max_caller_connections) {
                (ListenerKind::Callers, Some(max_connections)) => max_connections,
                _ => descriptors * descriptor_parts / PARTS,
            };
            let connections_bytes = settings
                .connections_mb
                .map_or(shares.connections_bytes, |mb| mb * 1_000_000);
            let buffer_bytes = match kind {
                ListenerKind::Callers => DEFAULT_HEAD_BYTES,
                _ => SHORT_HEAD_BYTES,
            };
            let limits = ConnectionLimits {
                max_connections,
                max_bytes: connections_bytes * memory_parts / PARTS,
                buffer_bytes,
                head_timeout_ms: DEFAULT_HEAD_TIMEOUT_MS,
                answer_timeout_ms: DEFAULT_ANSWER_TIMEOUT_MS,
            };
            Arc::new(ListenerConnections::new(kind, limits))
        };
        Self {
            callers: connections_of(ListenerKind::Callers),
            peers: connections_of(ListenerKind::Peers),
            others: [
                connections_of(ListenerKind::Readiness),
                connections_of(ListenerKind::Directory),
                connections_of(ListenerKind::Metrics),
            ],
        }
    }

    pub(crate) const fn of(&self, kind: ListenerKind) -> &Arc<ListenerConnections> {
        match kind {
            ListenerKind::Callers => &self.callers,
            ListenerKind::Peers => &self.peers,
            ListenerKind::Readiness => &self.others[0],
            ListenerKind::Directory => &self.others[1],
            ListenerKind::Metrics => &self.others[2],
        }
    }

    fn all(&self) -> impl Iterator<Item = &Arc<ListenerConnections>> {
        [&self.callers, &self.peers].into_iter().chain(&self.others)
    }
}

/// Closes connections whose time is over, and logs and counts what was closed.
pub(crate) async fn close_expired_periodically(server: Arc<Server>) {
    let mut checks = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let limits = server.routes().caller_limits();
        let are_others_waiting = server.request_memory.large.waiting_count() > 0;
        for connections in server.listeners.all() {
            if let Some(limits) = limits {
                connections.configure(&limits);
            }
            connections.close_expired(are_others_waiting);
        }
        checks += 1;
        if checks >= CHECKS_PER_LINE {
            checks = 0;
            report(&server);
        }
    }
}

fn report(server: &Server) {
    for connections in server.listeners.all() {
        let listener: &'static str = connections.kind.into();
        let (open, used_bytes) = connections.usage();
        server.metrics.set_connections(listener, open, used_bytes);
        for (reason, count) in connections.take_closed() {
            server
                .metrics
                .on_connections_closed(listener, reason, count);
            tracing::warn!(listener, %reason, count, open, used_bytes, limits = ?connections.limits(),
                "connections closed");
        }
    }
}
