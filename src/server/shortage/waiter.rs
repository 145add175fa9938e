use std::sync::Arc;

use tokio::sync::watch;

use super::{
    places::is_in_force,
    rooms::{self, Decided},
};
use crate::{
    core::{
        Name,
        shortage::{Entry, Refused, Verdict},
    },
    daemon::now_ms,
    error::{ErrorKind, Refusal},
    server::state::{InFlight, Server, lock},
};

/// One piece of work in the waiting room of a service, until it is dropped.
pub(crate) struct Waiter {
    server: Arc<Server>,
    pub(super) service: Name,
    entry: Entry,
    number: u64,
    decided: watch::Receiver<Decided>,
    /// When it had to wait, and when it was then expected to start.
    waits: Option<(u64, Option<u64>)>,
    is_over: bool,
}

impl Waiter {
    /// Adds work to the waiting room of a service, if the configuration has one.
    pub(crate) fn enter<F>(server: &Arc<Server>, service: &Name, entry: F) -> Option<Self>
    where
        F: FnOnce() -> Entry,
    {
        if !is_in_force(&server.routes(), service) {
            return None;
        }
        let entry = entry();
        let (number, decided) = rooms::enter(server, service, entry.clone());
        Some(Self {
            server: server.clone(),
            service: service.clone(),
            entry,
            number,
            decided,
            waits: None,
            is_over: false,
        })
    }

    /// Returns whether it had to wait.
    pub(crate) const fn has_waited(&self) -> bool {
        self.waits.is_some()
    }

    /// Waits until it has been decided about the work.
    pub(super) async fn verdict(&mut self) -> Verdict {
        loop {
            if let Some(verdict) = *self.decided.borrow_and_update() {
                return verdict;
            }
            if self.waits.is_none() {
                let now_ms = now_ms();
                let expected = |room: &mut crate::core::shortage::WaitingRoom| {
                    room.expected_start_ms(now_ms, self.number)
                };
                let rooms = &self.server.waiting_rooms;
                let expected_ms = rooms.with_room(&self.service, expected).flatten();
                self.waits = Some((now_ms, expected_ms));
            }
            if self.decided.changed().await.is_err() {
                // The room forgets work only when its waiter is dropped.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Runs `start` each time it is the request's turn, until it finds an endpoint.
    ///
    /// Returns `None` if the service has no endpoint that accepts work.
    ///
    /// # Errors
    ///
    /// Returns the errors of `start`, and `Overloaded` if the request gives way to others,
    /// with the time at which room is expected.
    pub(crate) async fn start_in_turn<F, R>(
        &mut self,
        start: F,
    ) -> Result<Option<InFlight>, Refusal>
    where
        F: Fn() -> R,
        R: Future<Output = Result<Option<InFlight>, Refusal>>,
    {
        loop {
            if !lock(&self.server.pool).has_ready_endpoint(&self.service) {
                return Ok(None);
            }
            match self.verdict().await {
                Verdict::Refuse(refused) => return Err(self.refuse(refused)),
                Verdict::Start { .. } => {
                    if let Some(in_flight) = start().await? {
                        self.on_started();
                        return Ok(Some(in_flight));
                    }
                    self.on_not_placed();
                }
            }
        }
    }

    /// Records that the work has an endpoint.
    pub(super) fn on_started(&mut self) {
        let number = self.number;
        let rooms = &self.server.waiting_rooms;
        rooms.with_room(&self.service, |room| room.on_started(number));
        if self.has_waited() {
            self.server.metrics.shortage.started_after_wait.inc();
        }
        self.log("started", None);
        self.is_over = true;
    }

    /// Records that the work was told to start and has found no endpoint.
    pub(super) fn on_not_placed(&mut self) {
        rooms::on_not_placed(&self.server, &self.service, self.number);
    }

    /// Records and returns the refusal of the work.
    pub(super) fn refuse(&mut self, refused: Refused) -> Refusal {
        let (reason, priority) = (refused.reason, self.entry.priority);
        self.server.metrics.shortage.on_refusal(reason, priority);
        self.log(reason.into(), Some(refused.retry_at_ms));
        self.is_over = true;
        let service = &self.service;
        let message = format!("endpoints of service {service} are full: {reason}");
        Refusal::new(ErrorKind::Overloaded, message).with_retry_at(refused.retry_at_ms)
    }

    /// Logs a decision to wait or to refuse, once its outcome is known.
    fn log(&self, outcome: &'static str, retry_at_ms: Option<u64>) {
        if self.waits.is_none() && retry_at_ms.is_none() {
            return;
        }
        let now_ms = now_ms();
        let unlogged = lock(&self.server.waiting_rooms.log_budget).take(now_ms);
        let Some(unlogged) = unlogged else {
            return;
        };
        let entry = &self.entry;
        let (since_ms, expected_ms) = self.waits.unwrap_or((now_ms, None));
        let room_at_ms = retry_at_ms.or(expected_ms);
        let expected_room_ms = room_at_ms.map(|at_ms| at_ms.saturating_sub(since_ms));
        tracing::info!(id = %entry.id, kind = %entry.kind, account = entry.account.as_deref(),
            priority = entry.priority, work_ms = entry.work_ms, expected_room_ms,
            waited_ms = now_ms - since_ms, outcome, unlogged, "short of room");
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if !self.is_over {
            self.log("left", None);
        }
        rooms::leave(&self.server, &self.service, self.number);
    }
}
