use std::{cmp::Reverse, collections::BTreeMap};

use super::{CloseReason, ConnectionLimits, ConnectionPhase};

/// From when on a connection counts as stalled, in milliseconds without progress.
const STALLED_MS: u64 = 1_000;

/// The open connections of one listener, and what each of them makes the VM hold.
///
/// If they exceed their limits, those are closed first that make no progress, the longest
/// first, then idle ones, then the largest. A connection whose request may be running is
/// never closed.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::connections::{
///     CloseReason, ConnectionLimits, ConnectionPhase, ConnectionTable,
/// };
///
/// let mut table = ConnectionTable::default();
/// let limits = ConnectionLimits {
///     max_connections: 1,
///     max_bytes: 1_000_000,
///     buffer_bytes: 16_384,
///     head_timeout_ms: 3_000,
///     answer_timeout_ms: 15_000,
/// };
/// let running = table.open(&limits, 0);
/// assert!(table.set_phase(&limits, running, ConnectionPhase::Running, 0));
/// let other = table.open(&limits, 5_000);
/// assert_eq!(table.take_excess(&limits, 5_000), [(other, CloseReason::Count)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConnectionTable {
    next_id: u64,
    used_bytes: usize,
    closing_count: usize,
    connections: BTreeMap<u64, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    phase: ConnectionPhase,
    bytes: usize,
    /// When it last made progress; for a head, when its first byte came.
    progress_ms: u64,
    /// Since when its answer has not been taken, if it is not.
    blocked_ms: Option<u64>,
    /// Whether it is about to be closed; it counts no bytes any more.
    is_closing: bool,
}

impl Entry {
    const fn may_close(&self) -> bool {
        !self.is_closing
            && self.blocked_ms.is_none()
            && !matches!(self.phase, ConnectionPhase::Running)
    }

    /// Returns the place in the order in which connections are closed.
    const fn close_order(&self, now_ms: u64) -> (u8, Reverse<usize>, u64) {
        let is_stalled = now_ms.saturating_sub(self.progress_ms) >= STALLED_MS;
        match self.phase {
            ConnectionPhase::Head | ConnectionPhase::Body if is_stalled => {
                (0, Reverse(0), self.progress_ms)
            }
            ConnectionPhase::Idle if is_stalled => (1, Reverse(0), self.progress_ms),
            // Nothing of a request is lost with them.
            ConnectionPhase::Idle => (2, Reverse(0), self.progress_ms),
            _ => (3, Reverse(self.bytes), self.progress_ms),
        }
    }
}

impl ConnectionTable {
    /// Creates a table without connections.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            next_id: 0,
            used_bytes: 0,
            closing_count: 0,
            connections: BTreeMap::new(),
        }
    }

    /// Adds a connection; returns its number.
    pub fn open(&mut self, limits: &ConnectionLimits, now_ms: u64) -> u64 {
        self.next_id += 1;
        let phase = ConnectionPhase::Idle;
        let entry = Entry {
            phase,
            bytes: limits.bytes_of(phase),
            progress_ms: now_ms,
            blocked_ms: None,
            is_closing: false,
        };
        self.used_bytes += entry.bytes;
        self.connections.insert(self.next_id, entry);
        self.next_id
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: u64) {
        if let Some(entry) = self.connections.remove(&id) {
            self.used_bytes -= entry.bytes;
            self.closing_count -= usize::from(entry.is_closing);
        }
    }

    /// Records that a connection enters a phase, unless it is about to be closed; returns
    /// whether it does.
    pub fn set_phase(
        &mut self,
        limits: &ConnectionLimits,
        id: u64,
        phase: ConnectionPhase,
        now_ms: u64,
    ) -> bool {
        let Some(entry) = self.connections.get_mut(&id) else {
            return false;
        };
        if entry.is_closing {
            return false;
        }
        entry.phase = phase;
        entry.progress_ms = now_ms;
        Self::count(&mut self.used_bytes, entry, limits);
        true
    }

    /// Records that a connection has made progress.
    pub fn on_progress(&mut self, id: u64, now_ms: u64) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.progress_ms = now_ms;
        }
    }

    /// Records whether the other side takes nothing of an answer.
    pub fn set_blocked(&mut self, limits: &ConnectionLimits, id: u64, since_ms: Option<u64>) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.blocked_ms = since_ms;
            if !entry.is_closing {
                Self::count(&mut self.used_bytes, entry, limits);
            }
        }
    }

    fn count(used_bytes: &mut usize, entry: &mut Entry, limits: &ConnectionLimits) {
        let unsent = entry
            .blocked_ms
            .map_or(0, |_| ConnectionLimits::UNSENT_BYTES);
        *used_bytes -= entry.bytes;
        entry.bytes = limits.bytes_of(entry.phase) + unsent;
        *used_bytes += entry.bytes;
    }

    /// Returns the connections to close now since there are too many.
    pub fn take_excess(
        &mut self,
        limits: &ConnectionLimits,
        now_ms: u64,
    ) -> Vec<(u64, CloseReason)> {
        let mut excess = Vec::new();
        loop {
            let reason = if self.open_count() > limits.max_connections {
                CloseReason::Count
            } else if self.used_bytes > limits.max_bytes {
                CloseReason::Memory
            } else {
                return excess;
            };
            let open = self
                .connections
                .iter()
                .filter(|(_, entry)| entry.may_close());
            let first = open.min_by_key(|(_, entry)| entry.close_order(now_ms));
            let Some(id) = first.map(|(id, _)| *id) else {
                return excess;
            };
            self.start_closing(id);
            excess.push((id, reason));
        }
    }

    /// Returns the connections to close now since their time is over; `are_others_waiting`
    /// tells whether bodies wait for memory.
    pub fn take_expired(
        &mut self,
        limits: &ConnectionLimits,
        now_ms: u64,
        are_others_waiting: bool,
    ) -> Vec<(u64, CloseReason)> {
        let reason_of = |entry: &Entry| {
            let is_over =
                |since_ms: u64, limit_ms: u64| now_ms.saturating_sub(since_ms) >= limit_ms;
            let is_unread = |since_ms: u64| is_over(since_ms, limits.answer_timeout_ms);
            match entry.phase {
                ConnectionPhase::Running => None,
                _ if entry.blocked_ms.is_some_and(is_unread) => Some(CloseReason::UnreadAnswer),
                ConnectionPhase::Head if is_over(entry.progress_ms, limits.head_timeout_ms) => {
                    Some(CloseReason::HeadTime)
                }
                ConnectionPhase::Body
                    if are_others_waiting && is_over(entry.progress_ms, STALLED_MS) =>
                {
                    Some(CloseReason::StalledBody)
                }
                _ => None,
            }
        };
        let open = self
            .connections
            .iter()
            .filter(|(_, entry)| !entry.is_closing);
        let expired: Vec<(u64, CloseReason)> = open
            .filter_map(|(id, entry)| Some((*id, reason_of(entry)?)))
            .collect();
        for (id, _) in &expired {
            self.start_closing(*id);
        }
        expired
    }

    fn start_closing(&mut self, id: u64) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.is_closing = true;
            self.used_bytes -= entry.bytes;
            entry.bytes = 0;
            self.closing_count += 1;
        }
    }

    /// Returns how many connections are open and not about to be closed.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.connections.len() - self.closing_count
    }

    /// Returns the bytes that all connections count.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}
