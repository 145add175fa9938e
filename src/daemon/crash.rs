//! Endpoints that crash: noticing it, and telling the other members.

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
    wire::{engine::Load, peers::CrashNotice},
};

/// Where other members are told of crashes.
pub(crate) const CRASH_NOTICE_PATH: &str = "/peer/crash";
const PROBE_TIMEOUT_MS: u64 = 250;
const NEWS_TIMEOUT_MS: u64 = 300;
const MAX_NEWS_BYTES: usize = 1024 * 1024;

/// What came of the choice of an endpoint.
pub(crate) enum EndpointChoice {
    /// This endpoint.
    Chosen(EndpointRun),
    /// None takes work.
    None,
    /// The content is on trial; ask again.
    Wait,
}

/// One run of a content at one endpoint, counted there until it is dropped.
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

/// Chooses an endpoint as the content's record of crashes allows.
pub(crate) fn choose_endpoint(
    daemon: &Arc<Daemon>,
    service: &str,
    fingerprint: &Arc<str>,
    route: &dispatch::RouteOptions,
    avoid: &BTreeSet<Name>,
) -> Result<EndpointChoice, Refusal> {
    let now_ms = now_ms();
    // Held until the run is noted, so that no second trial starts beside it.
    let mut quarantine = lock(&daemon.quarantine);
    let (avoid, is_trial) = match quarantine.permit(now_ms, fingerprint) {
        Permit::Unrestricted => (avoid.clone(), false),
        Permit::Trial { avoid: suspects } => (avoid | &suspects, true),
        Permit::Wait => return Ok(EndpointChoice::Wait),
        Permit::Isolated => return Err(isolated()),
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
        incarnation: incarnation(daemon, service, &endpoint),
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

/// Refuses contents that are isolated.
pub(crate) fn refuse_isolated(daemon: &Daemon, fingerprint: &Arc<str>) -> Result<(), Refusal> {
    match lock(&daemon.quarantine).permit(now_ms(), fingerprint) {
        Permit::Isolated => Err(isolated()),
        _ => Ok(()),
    }
}

fn isolated() -> Refusal {
    let message = "requests with this content have crashed endpoints";
    Refusal::new(ErrorKind::Quarantined, message)
}

fn incarnation(daemon: &Daemon, service: &str, endpoint: &str) -> u64 {
    lock(&daemon.endpoints)
        .of_service(service)
        .find(|known| &*known.name == endpoint)
        .map_or(0, |known| known.load.incarnation)
}

fn is_leaving(daemon: &Daemon, service: &str, endpoint: &str) -> bool {
    lock(&daemon.endpoints)
        .of_service(service)
        .any(|known| &*known.name == endpoint && known.settings.leaving)
}

/// A run that ended, of which another may be made at the same endpoint.
pub(crate) struct EndedRun(EndpointRun);

impl EndedRun {
    /// Counts another run of the same content at the same endpoint.
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
    /// Ends the run, and keeps what another run at the same endpoint needs.
    pub(crate) fn finish(mut self) -> EndedRun {
        self.uncount();
        EndedRun(self)
    }

    fn uncount(&mut self) {
        if !std::mem::take(&mut self.is_counted) {
            return;
        }
        let mut quarantine = lock(&self.daemon.quarantine);
        let clearance = quarantine.on_end(&self.endpoint, &self.fingerprint, self.end);
        drop(quarantine);
        if let Some(clearance) = clearance {
            tokio::spawn(tell_members(&self.daemon, &CrashNotice::Cleared(clearance)));
        }
        lock(&self.daemon.endpoints).on_end(
            now_ms(),
            &self.service,
            &self.endpoint,
            self.has_failed,
        );
    }

    /// Notes that the run ended with a whole answer.
    pub(crate) const fn mark_complete(&mut self) {
        self.end = RunEnd::Complete;
    }

    /// Notes that the run failed; if the endpoint crashed under it, the other
    /// members are told.
    pub(crate) async fn record_failure(&mut self, failure: AttemptFailure) {
        self.has_failed = failure.reason != RetryReason::EndpointRefused;
        dispatch::record_failure(&self.daemon, &self.service, &self.endpoint);
        let is_cut = matches!(
            failure.reason,
            RetryReason::AnswerCut | RetryReason::AnswerStalled
        );
        // A planned stop may cut what overstayed it; that is nobody's fault.
        let may_be_crash =
            is_cut && failure.was_sent && !is_leaving(&self.daemon, &self.service, &self.endpoint);
        if may_be_crash && self.has_crashed().await {
            let report = lock(&self.daemon.quarantine).on_crash(
                now_ms(),
                &self.endpoint,
                self.incarnation,
                self.started_ms,
            );
            self.daemon.metrics.endpoint_crashes.inc();
            tracing::warn!(endpoint = %self.endpoint, ran = report.fingerprints.len(), "an endpoint crashed");
            // Before the request is tried again, here or by its caller elsewhere.
            tell_members(&self.daemon, &CrashNotice::Crashed(report)).await;
        }
    }

    /// Asks the endpoint itself: a connection that was cut alone is no crash.
    async fn has_crashed(&self) -> bool {
        let load: Result<Load, HttpError> = self
            .daemon
            .short_idle_http
            .get_json(self.settings.address, "/load", PROBE_TIMEOUT_MS)
            .await;
        match load {
            Ok(load) => self.incarnation != 0 && load.incarnation != self.incarnation,
            // A plain service has no load report, but it answers.
            Err(HttpError::Status(..) | HttpError::Invalid(_)) => false,
            Err(_) => true,
        }
    }
}

impl Drop for EndpointRun {
    fn drop(&mut self) {
        self.uncount();
    }
}

/// Tells every member that takes work, at once: crashes are rare, and until a
/// member knows, it may let the same content run. The future ends when all
/// have answered or the time is up; dropping it stops what is under way.
fn tell_members(daemon: &Arc<Daemon>, news: &CrashNotice) -> impl Future<Output = ()> + use<> {
    let me = &daemon.own_record.vm;
    let members = lock(&daemon.membership);
    let others = members.alive().filter(|member| member.vm != *me);
    let mut told: JoinSet<()> = others
        .map(|member| tell(daemon.clone(), member.control_address, news.clone()))
        .collect();
    async move { while told.join_next().await.is_some() {} }
}

async fn tell(daemon: Arc<Daemon>, address: SocketAddr, news: CrashNotice) {
    // A member that is not told learns it by a crash of its own.
    let _: Result<(), _> = daemon
        .control_http
        .post_rmp(address, CRASH_NOTICE_PATH, &news, NEWS_TIMEOUT_MS)
        .await;
}

/// `POST /peer/crash`: takes another member's news of a crash.
#[handler]
pub(crate) async fn receive_notice(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let bytes = body.into_bytes_limit(MAX_NEWS_BYTES).await;
    let bytes = bytes.unwrap_or_default();
    daemon
        .traffic
        .on_request_received(CRASH_NOTICE_PATH, bytes.len());
    let Ok(news) = rmp_serde::from_slice::<CrashNotice>(&bytes) else {
        let refusal = Refusal::new(ErrorKind::BadRequest, "the news cannot be read");
        return refusal_response(&daemon, &refusal);
    };
    match news {
        CrashNotice::Crashed(report) => lock(&daemon.quarantine).on_report(now_ms(), report),
        CrashNotice::Cleared(clearance) => lock(&daemon.quarantine).on_clearance(clearance),
    }
    let answer = rmp_serde::to_vec(&()).unwrap_or_default();
    daemon
        .traffic
        .on_response_sent(CRASH_NOTICE_PATH, answer.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(answer)
}
