use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::state::Duties;
use crate::{
    core::{Name, duties::CallAnswer},
    daemon::{now_ms, sleep_until},
    platform::{DutyCall, DutyCaller, DutyOutcome, Store, build_duty_request, duty_outcome},
    server::{
        http_client::{
            self, CONNECT_TIMEOUT_MS, ExchangeError, IdleOutcome, ResponseOrder, WholeReply, within,
        },
        metrics::Metrics,
        state::{Server, lock},
    },
    settings::PlatformApiSettings,
};

/// The timeout of a call, in milliseconds.
pub(super) const CALL_TIMEOUT_MS: u64 = 1_000;
/// The most bytes of an answer, whose content says nothing.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// What duties use of a VM.
#[derive(Clone)]
pub(crate) struct DutyHandle {
    server: Arc<Server>,
    duties: Arc<Duties>,
}

impl DutyHandle {
    /// Returns the handle if the settings name duties.
    pub(crate) fn of(server: &Arc<Server>) -> Option<Self> {
        Some(Self {
            duties: server.duties.clone()?,
            server: server.clone(),
        })
    }

    /// Returns the fence while this VM holds the duties and may make calls.
    ///
    /// The clock counts the time during which the VM was suspended.
    pub(crate) fn fence(&self) -> Option<u64> {
        let abstains = lock(&self.duties.calls).abstains(now_ms());
        if abstains || self.is_draining() {
            return None;
        }
        let (_, latest_ms) = self.server.store.clock_bounds_ms()?;
        lock(&self.duties().lease).fence(latest_ms)
    }

    /// Waits until pacing and back-off allow the next call, of whichever duty.
    pub(crate) async fn wait_for_turn(&self) {
        loop {
            let next_at_ms = lock(&self.duties.calls).next_at_ms();
            if next_at_ms <= now_ms() {
                return;
            }
            sleep_until(next_at_ms).await;
        }
    }

    async fn take_turn(&self) {
        while !lock(&self.duties.calls).take_turn(now_ms()) {
            self.wait_for_turn().await;
        }
    }

    /// Makes a call once pacing and back-off allow it, if this VM holds the duties then.
    ///
    /// A call is sent once; repeating it is for the duty to decide.
    pub(crate) async fn send(&self, call: &DutyCall) -> DutyOutcome {
        let duties = self.duties();
        let _in_progress = duties.in_progress.read().await;
        self.take_turn().await;
        let Some(fence) = self.fence() else {
            return DutyOutcome::NotHeld;
        };
        let host = duties.api.address.to_string();
        let caller = DutyCaller {
            host: &host,
            holder: self.vm(),
            fence,
        };
        let request = match build_duty_request(call, &caller) {
            Ok(request) => request,
            Err(error) => {
                tracing::error!(error, "call of a duty not encoded");
                return DutyOutcome::Rejected(0);
            }
        };
        let deadline_ms = now_ms() + CALL_TIMEOUT_MS;
        let address = duties.api.address;
        let exchange = within(self.exchange(request, fence), address, deadline_ms);
        let outcome = match exchange.await {
            Ok(reply) => duty_outcome(reply.status),
            Err(ExchangeError::NotPermitted(_)) => return DutyOutcome::NotHeld,
            Err(error) => {
                // Other idle connections may be dead as well.
                self.server.http.close_idle(address);
                DutyOutcome::Failed(error.to_string())
            }
        };
        let answer = match &outcome {
            DutyOutcome::Paced => CallAnswer::Paced,
            DutyOutcome::Failed(_) => CallAnswer::Failed,
            _ => CallAnswer::Answered,
        };
        lock(&duties.calls).on_answer(now_ms(), answer, &mut *lock(&self.server.rng));
        outcome
    }

    /// Sends a request, with the fence checked again after a new connection is opened.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        fence: u64,
    ) -> Result<WholeReply, ExchangeError> {
        let address = self.duties().api.address;
        let (http, order) = (&self.server.http, ResponseOrder::Reliable);
        let reply = match http.send_idle(address, request, order).await? {
            IdleOutcome::Replied(reply) => *reply,
            IdleOutcome::Unsent(request) => {
                let connected = http_client::connect_discarding(address, CONNECT_TIMEOUT_MS);
                let connection = connected.await?;
                if self.fence() != Some(fence) {
                    let message = "this VM no longer holds the duties".to_owned();
                    return Err(ExchangeError::NotPermitted(message));
                }
                http.send_on(address, connection, *request, order).await?
            }
        };
        reply.read_bounded(MAX_ANSWER_BYTES).await
    }

    /// Returns the settings of the platform's API.
    pub(crate) fn api(&self) -> &PlatformApiSettings {
        &self.duties().api
    }

    /// Returns the name of this VM.
    pub(crate) fn vm(&self) -> &Name {
        &self.server.settings.vm
    }

    pub(super) fn store(&self) -> &Store {
        &self.server.store
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.server.metrics
    }

    /// Returns whether this VM shuts down.
    pub(super) fn is_draining(&self) -> bool {
        self.server.is_draining()
    }

    /// Returns whether this VM is ready to serve.
    pub(super) fn is_ready(&self) -> bool {
        self.server.is_ready()
    }

    /// Returns the number of VMs that run.
    pub(super) fn live_vms(&self) -> u64 {
        let count = lock(&self.server.members).live_vms().count();
        u64::try_from(count.max(1)).unwrap_or(u64::MAX)
    }

    /// Returns a random number of milliseconds up to `max_ms`.
    pub(super) fn draw_ms(&self, max_ms: u64) -> u64 {
        rand::Rng::random_range(&mut *lock(&self.server.rng), 0..=max_ms)
    }

    /// Returns the state of this VM, for duties that plan from its pool and batches.
    pub(super) const fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Returns the state of the duties.
    pub(super) fn duties(&self) -> &Duties {
        &self.duties
    }
}
