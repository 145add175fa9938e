//! Detects crashes of endpoints and notifies the other members.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use poem::{Body, Response, handler, web::Data};
use tokio::task::JoinSet;

use super::{
    clock::now_ms,
    dispatch,
    http::HttpError,
    response::refusal_response,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        config::EndpointSettings,
        quarantine::{Permit, RunEnd},
        request::AttemptFailure,
        retry::RetryReason,
    },
    error::{ErrorKind, Refusal},
    wire::{
        engine::Load,
        peers::{CRASH_NOTICE_PATH, CrashNotice},
    },
};

const CRASH_PROBE_TIMEOUT_MS: u64 = 250;
const CRASH_NOTICE_TIMEOUT_MS: u64 = 300;
const MAX_CRASH_NOTICE_BYTES: usize = 1024 * 1024;

/// The result of choosing an endpoint.
pub(crate) enum EndpointChoice {
    /// The chosen endpoint.
    Chosen(EndpointRun),
    /// No endpoint accepts the request.
    None,
    /// The content is on trial; the choice must be retried.
    Wait,
}

/// One run of a content at one endpoint, which counts there until it is dropped.
pub(crate) struct EndpointRun {
    daemon: Arc<Daemon>,
    service: Name,
    pub(crate) endpoint: Name,
    pub(crate) settings: EndpointSettings,
    fingerprint: Arc<str>,
    incarnation: u64,
    started_ms: u64,
    end: RunEnd,
    has_failed: bool,
    is_counted: bool,
}

/// Chooses an endpoint that the quarantine permits for the content.
///
/// # Errors
///
/// [`ErrorKind::Quarantined`] if the content is quarantined.
pub(crate) fn choose_endpoint(
    daemon: &Arc<Daemon>,
    service: &str,
    fingerprint: &Arc<str>,
    route: &dispatch::RouteOptions,
    avoid: &BTreeSet<Name>,
) -> Result<EndpointChoice, Refusal> {
    let now_ms = now_ms();
    // Held until the run is recorded, so that no second trial starts concurrently.
    let mut quarantine = lock(&daemon.quarantine);
    let (avoid, is_trial) = match quarantine.permit(now_ms, fingerprint) {
        Permit::Unrestricted => (avoid.clone(), false),
        Permit::Trial { avoid: suspects } => (avoid | &suspects, true),
        Permit::Wait => return Ok(EndpointChoice::Wait),
        Permit::Quarantined | Permit::Claim { .. } | Permit::Held { .. } => {
            return Err(quarantined_refusal());
        }
    };
    let Some((endpoint, settings)) = dispatch::choose_endpoint(daemon, service, route, &avoid)
    else {
        return Ok(if is_trial {
            EndpointChoice::Wait
        } else {
            EndpointChoice::None
        });
    };
    quarantine.on_start(&endpoint, fingerprint, now_ms);
    drop(quarantine);
    Ok(EndpointChoice::Chosen(EndpointRun {
        incarnation: endpoint_incarnation(daemon, service, &endpoint),
        daemon: daemon.clone(),
        service: service.into(),
        endpoint,
        settings,
        fingerprint: fingerprint.clone(),
        started_ms: now_ms,
        end: RunEnd::Incomplete,
        has_failed: false,
        is_counted: true,
    }))
}

/// Refuses a request whose content is quarantined.
///
/// # Errors
///
/// [`ErrorKind::Quarantined`] if the content is quarantined.
pub(crate) fn refuse_quarantined(daemon: &Daemon, fingerprint: &Arc<str>) -> Result<(), Refusal> {
    match lock(&daemon.quarantine).permit(now_ms(), fingerprint) {
        Permit::Quarantined => Err(quarantined_refusal()),
        _ => Ok(()),
    }
}

fn quarantined_refusal() -> Refusal {
    let message = "requests with this content have crashed endpoints";
    Refusal::new(ErrorKind::Quarantined, message)
}

fn endpoint_incarnation(daemon: &Daemon, service: &str, endpoint: &str) -> u64 {
    lock(&daemon.endpoints)
        .of_service(service)
        .find(|known| &*known.name == endpoint)
        .map_or(0, |known| known.load.incarnation)
}

fn is_endpoint_leaving(daemon: &Daemon, service: &str, endpoint: &str) -> bool {
    lock(&daemon.endpoints)
        .of_service(service)
        .any(|known| &*known.name == endpoint && known.settings.leaving)
}

/// A run that has ended and may be restarted at the same endpoint.
pub(crate) struct EndedRun(EndpointRun);

impl EndedRun {
    /// Starts another run of the same content at the same endpoint.
    pub(crate) fn restart(self) -> EndpointRun {
        let mut run = self.0;
        run.started_ms = now_ms();
        lock(&run.daemon.quarantine).on_start(&run.endpoint, &run.fingerprint, run.started_ms);
        lock(&run.daemon.endpoints).on_start(&run.service, &run.endpoint);
        run.is_counted = true;
        run.has_failed = false;
        run
    }
}

impl EndpointRun {
    /// Ends the run, and returns what is needed to restart it at the same
    /// endpoint.
    pub(crate) fn finish(mut self) -> EndedRun {
        self.end_once();
        EndedRun(self)
    }

    /// Ends the run at its endpoint and in the quarantine, unless it has ended
    /// already.
    fn end_once(&mut self) {
        if !std::mem::take(&mut self.is_counted) {
            return;
        }
        let mut quarantine = lock(&self.daemon.quarantine);
        let clearance = quarantine.on_end(now_ms(), &self.endpoint, &self.fingerprint, self.end);
        drop(quarantine);
        if let Some(clearance) = clearance {
            tokio::spawn(notify_members(
                &self.daemon,
                &CrashNotice::Cleared(clearance),
            ));
        }
        lock(&self.daemon.endpoints).on_end(
            now_ms(),
            &self.service,
            &self.endpoint,
            self.has_failed,
        );
    }

    /// Marks the run as ended with a complete response.
    pub(crate) const fn mark_complete(&mut self) {
        self.end = RunEnd::Complete;
    }

    /// Records that the run failed. If the endpoint crashed during the run,
    /// notifies the other members before it returns.
    pub(crate) async fn record_failure(&mut self, failure: AttemptFailure) {
        self.has_failed = failure.reason != RetryReason::EndpointRefused;
        dispatch::record_failure(&self.daemon, &self.service, &self.endpoint);
        let is_cut = matches!(
            failure.reason,
            RetryReason::AnswerCut | RetryReason::AnswerStalled
        );
        // An endpoint that is leaving may close connections of runs that exceed
        // its grace time, which is not a crash.
        let may_be_crash = is_cut
            && failure.was_sent
            && !is_endpoint_leaving(&self.daemon, &self.service, &self.endpoint);
        if may_be_crash && self.has_crashed().await {
            let report = lock(&self.daemon.quarantine).on_crash(
                now_ms(),
                &self.endpoint,
                self.incarnation,
                self.started_ms,
            );
            self.daemon.metrics.endpoint_crashes.inc();
            tracing::warn!(endpoint = %self.endpoint, ran = report.fingerprints.len(), "endpoint crashed");
            // Sent before the request is retried, here or by its caller at another
            // VM.
            notify_members(&self.daemon, &CrashNotice::Crashed(report)).await;
        }
    }

    /// Asks the endpoint for its load and returns whether it crashed, that is,
    /// whether it does not respond or has restarted.
    ///
    /// A closed connection alone is no sign of a crash.
    async fn has_crashed(&self) -> bool {
        let load: Result<Load, HttpError> = self
            .daemon
            .short_idle_http
            .get_json(self.settings.address, "/load", CRASH_PROBE_TIMEOUT_MS)
            .await;
        match load {
            Ok(load) => self.incarnation != 0 && load.incarnation != self.incarnation,
            // A plain service has no load report, but it responds.
            Err(HttpError::Status(..) | HttpError::Invalid(_)) => false,
            Err(_) => true,
        }
    }
}

impl Drop for EndpointRun {
    fn drop(&mut self) {
        self.end_once();
    }
}

/// Sends a notice to every other alive member at once.
///
/// Gossip would be too slow: until a member receives the notice, it may run the
/// same content. Crashes are rare, so the messages are affordable. The future
/// completes when all members have responded or timed out; dropping it cancels
/// the pending messages.
fn notify_members(daemon: &Arc<Daemon>, notice: &CrashNotice) -> impl Future<Output = ()> + use<> {
    let own_vm = &daemon.own_record.vm;
    let members = lock(&daemon.membership);
    let others = members
        .members_taking_work()
        .filter(|member| member.vm != *own_vm);
    let mut notifications: JoinSet<()> = others
        .map(|member| notify_member(daemon.clone(), member.control_address, notice.clone()))
        .collect();
    async move { while notifications.join_next().await.is_some() {} }
}

async fn notify_member(daemon: Arc<Daemon>, address: SocketAddr, notice: CrashNotice) {
    // Errors are ignored: a member that misses the notice detects a crash of its
    // own.
    let _: Result<(), _> = daemon
        .control_http
        .post_rmp(address, CRASH_NOTICE_PATH, &notice, CRASH_NOTICE_TIMEOUT_MS)
        .await;
}

/// Handles `POST /peer/crash`: applies another member's notice of a crash.
#[handler]
pub(crate) async fn receive_notice(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let bytes = body.into_bytes_limit(MAX_CRASH_NOTICE_BYTES).await;
    let bytes = bytes.unwrap_or_default();
    daemon
        .traffic
        .on_request_received(CRASH_NOTICE_PATH, bytes.len());
    let Ok(notice) = rmp_serde::from_slice::<CrashNotice>(&bytes) else {
        let refusal = Refusal::new(ErrorKind::BadRequest, "the crash notice cannot be parsed");
        return refusal_response(&daemon, &refusal);
    };
    match notice {
        CrashNotice::Crashed(report) => lock(&daemon.quarantine).on_report(now_ms(), report),
        CrashNotice::Cleared(clearance) => lock(&daemon.quarantine).on_clearance(clearance),
    }
    let response = rmp_serde::to_vec(&()).unwrap_or_default();
    daemon
        .traffic
        .on_response_sent(CRASH_NOTICE_PATH, response.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(response)
}
