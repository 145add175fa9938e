//! Runs each request id at most once: by deduplication within this daemon, and
//! across daemons by a query to the VM that issued the request's ticket.

use std::{sync::Arc, time::Duration};

use poem::{Body, Response, handler, web::Data};
use tokio::sync::{Notify, watch};

use super::{
    callers::{CallerHeaders, InProgressGuard},
    clock::{now_ms, sleep_until},
    dispatch,
    response::refusal_response,
    state::{CompleteResponse, Daemon, Outcome, lock},
};
use crate::{
    core::request::{
        DaemonIncarnation, ReportedOutcome, StartOutcome, Ticket, TicketWindow, Waiters,
    },
    error::{ErrorKind, Refusal},
    wire::peers::{MemberRecord, OutcomeQuery, OutcomeReport},
};

/// The path at which a VM answers queries for the outcome of a request.
pub(crate) const OUTCOME_QUERY_PATH: &str = "/peer/settle";
const MAX_QUERY_BYTES: usize = 64 * 1024;
/// The timeout of a query, not counting the time that the queried VM waits for
/// the outcome.
const QUERY_TIMEOUT_MS: u64 = 1_000;
/// The longest time that one query waits for the outcome of a running request,
/// in milliseconds.
const MAX_QUERY_WAIT_MS: u64 = 2_000;

/// A request that is running.
#[derive(Clone)]
pub(crate) struct RunningRequest {
    outcome: watch::Receiver<Option<Outcome>>,
    waiters: Arc<RunWaiters>,
}

/// The callers that wait for the outcome of a run.
pub(crate) struct RunWaiters {
    callers: std::sync::Mutex<Waiters>,
    changed: Notify,
}

impl RunWaiters {
    fn new(may_abandon: bool) -> Self {
        Self {
            callers: std::sync::Mutex::new(Waiters::new(may_abandon)),
            changed: Notify::new(),
        }
    }
}

/// The outcome of a request, which may still be pending. Dropping it means that
/// its caller no longer waits.
pub(crate) struct PendingOutcome {
    pub(crate) outcome: watch::Receiver<Option<Outcome>>,
    _guard: Option<WaiterGuard>,
}

/// Counts a caller as waiting until it is dropped.
struct WaiterGuard(Arc<RunWaiters>);

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        lock(&self.0.callers).leave(now_ms());
        self.0.changed.notify_one();
    }
}

impl PendingOutcome {
    fn of_run(run: &RunningRequest) -> Self {
        Self {
            outcome: run.outcome.clone(),
            _guard: Some(WaiterGuard(run.waiters.clone())),
        }
    }

    fn ended(outcome: Outcome) -> Self {
        Self {
            outcome: watch::Sender::new(Some(outcome)).subscribe(),
            _guard: None,
        }
    }
}

/// The daemon that decides whether a request id may run.
enum Authority {
    /// This daemon. `may_start` is whether an unknown id may run.
    Local { may_start: bool },
    /// The VM that issued the ticket.
    Issuer(Ticket),
}

/// Runs a request unless its id is known, and returns its pending outcome.
///
/// `run` gets the waiters of the run, for [`wait_until_abandoned`]. A run is
/// abandoned only if `may_abandon` is set.
///
/// # Errors
///
/// [`ErrorKind::TicketInvalid`] if the ticket is missing or not yet valid,
/// [`ErrorKind::IdReused`] if the id was used for another request,
/// [`ErrorKind::OutcomeUnknown`] if the request may have run but its outcome is
/// not known here, and the errors of [`dispatch::admit`].
pub(crate) fn start_once<R, F>(
    daemon: &Arc<Daemon>,
    headers: &CallerHeaders,
    fingerprint: &Arc<str>,
    may_abandon: bool,
    run: R,
) -> Result<PendingOutcome, Refusal>
where
    R: FnOnce(Arc<RunWaiters>) -> F + Send + 'static,
    F: Future<Output = Outcome> + Send + 'static,
{
    let authority = authority(daemon, headers)?;
    let may_start = !matches!(authority, Authority::Local { may_start: false });
    let id = &headers.id;
    let mut running = lock(&daemon.running_requests);
    let start = lock(&daemon.deduplication).start(id, fingerprint, may_start);
    match start {
        StartOutcome::New => {}
        StartOutcome::Running => {
            daemon.metrics.resends.inc();
            return join_run(id, running.get(id));
        }
        StartOutcome::Ended(outcome) => {
            daemon.metrics.resends.inc();
            return Ok(PendingOutcome::ended(outcome));
        }
        StartOutcome::Reused => return Err(id_reused(id)),
        StartOutcome::Sealed(vm) => {
            return Err(outcome_unknown(&format!(
                "VM '{vm}' was permitted to run the request"
            )));
        }
        StartOutcome::Unknown => {
            return Err(outcome_unknown(
                "the ticket has expired, so that it is not known whether the request ran",
            ));
        }
    }
    if let Err(refusal) = dispatch::admit(daemon) {
        lock(&daemon.deduplication).remove(id);
        return Err(refusal);
    }
    let (sender, outcome) = watch::channel(None);
    let waiters = Arc::new(RunWaiters::new(may_abandon));
    let running_request = RunningRequest {
        outcome,
        waiters: waiters.clone(),
    };
    let pending = PendingOutcome::of_run(&running_request);
    running.insert(id.clone(), running_request);
    drop(running);
    let in_progress = InProgressGuard::new(daemon.clone());
    let (daemon, headers, fingerprint) = (daemon.clone(), headers.clone(), fingerprint.clone());
    tokio::spawn(async move {
        let result = match &authority {
            Authority::Local { .. } => QueryResult::MayRun,
            Authority::Issuer(ticket) => {
                query_issuer(&daemon, &headers, &fingerprint, ticket).await
            }
        };
        let (outcome, has_run) = match result {
            QueryResult::MayRun => (run(waiters).await, true),
            QueryResult::Ended(outcome) => (outcome, false),
        };
        record_outcome(&daemon, &headers, &outcome, has_run);
        sender.send_replace(Some(outcome));
        drop(in_progress);
    });
    Ok(pending)
}

/// Adds a caller to a run, unless the run has been abandoned.
fn join_run(id: &str, run: Option<&RunningRequest>) -> Result<PendingOutcome, Refusal> {
    let missing = || {
        let message = format!("there is no run of the running request '{id}'");
        Refusal::new(ErrorKind::Internal, message)
    };
    let run = run.ok_or_else(missing)?;
    if lock(&run.waiters.callers).try_join() {
        run.waiters.changed.notify_one();
        return Ok(PendingOutcome::of_run(run));
    }
    Err(missing())
}

/// Completes once no caller waits for the run any more, and removes its id, which
/// may then run again.
pub(crate) async fn wait_until_abandoned(
    daemon: Arc<Daemon>,
    id: Arc<str>,
    run_waiters: Arc<RunWaiters>,
) {
    loop {
        let abandon_at_ms = lock(&run_waiters.callers).abandon_at_ms();
        tokio::select! {
            () = run_waiters.changed.notified() => {}
            () = sleep_until(abandon_at_ms.unwrap_or(u64::MAX)) => {}
        }
        // A caller that resends the request joins under the same lock: either
        // before the run is abandoned, or not at all.
        let mut running = lock(&daemon.running_requests);
        if lock(&run_waiters.callers).try_abandon(now_ms()) {
            running.remove(&id);
            lock(&daemon.deduplication).remove(&id);
            daemon.metrics.abandoned.inc();
            return;
        }
    }
}

/// Records the outcome of a request.
///
/// The id is kept if the request ran here and either has a response for resends
/// or must not run again. Otherwise it is removed; that of an abandoned request
/// has been removed already.
fn record_outcome(daemon: &Daemon, headers: &CallerHeaders, outcome: &Outcome, has_run: bool) {
    dispatch::release_request(daemon);
    let mut running = lock(&daemon.running_requests);
    let mut deduplication = lock(&daemon.deduplication);
    let id = &headers.id;
    let may_run_again = match outcome {
        Ok(_) => !has_run,
        Err(refusal) if refusal.kind() == ErrorKind::CallerGone => return,
        Err(refusal) => !has_run || headers.is_idempotent || refusal.response().not_run,
    };
    running.remove(id);
    if may_run_again {
        deduplication.remove(id);
    } else {
        deduplication.finish(now_ms(), id, outcome.clone());
    }
}

/// Returns which daemon decides whether a request id may run.
///
/// # Errors
///
/// [`ErrorKind::TicketInvalid`] if a non-idempotent request has no ticket, or one
/// that was issued in the future.
fn authority(daemon: &Daemon, headers: &CallerHeaders) -> Result<Authority, Refusal> {
    if headers.is_idempotent {
        return Ok(Authority::Local { may_start: true });
    }
    let invalid = |message| Refusal::new(ErrorKind::TicketInvalid, message);
    let ticket = headers
        .ticket
        .as_ref()
        .ok_or_else(|| invalid("a non-idempotent request needs a ticket"))?;
    if !is_own_ticket(daemon, ticket) {
        return Ok(Authority::Issuer(ticket.clone()));
    }
    match ticket.window(daemon.ticket_clock.unix_ms_at(now_ms())) {
        TicketWindow::Before => Err(invalid("the ticket was issued in the future")),
        TicketWindow::Open => Ok(Authority::Local { may_start: true }),
        TicketWindow::After => Ok(Authority::Local { may_start: false }),
    }
}

fn is_own_ticket(daemon: &Daemon, ticket: &Ticket) -> bool {
    ticket.is_issued_for(&daemon.own_record.vm, daemon.own_record.incarnation)
}

/// The result of a query to the VM that issued the ticket.
enum QueryResult {
    MayRun,
    Ended(Outcome),
}

/// Queries the VM that issued the ticket for the outcome of a request.
///
/// If the VM permitted another VM to run the request, that VM is queried next.
/// While the request is running, the query is repeated until the deadline.
async fn query_issuer(
    daemon: &Daemon,
    headers: &CallerHeaders,
    fingerprint: &Arc<str>,
    ticket: &Ticket,
) -> QueryResult {
    daemon.metrics.issuer_queries.inc();
    let mut queried_vm = ticket.vm.clone();
    let mut wait_ms = 0;
    loop {
        let is_issuer = queried_vm == ticket.vm;
        let member = lock(&daemon.membership)
            .records()
            .find(|member| member.vm == queried_vm)
            .cloned();
        let can_be_queried = |member: &MemberRecord| {
            member.vm != daemon.own_record.vm
                && (!is_issuer || member.incarnation == ticket.incarnation)
        };
        let Some(member) = member.filter(can_be_queried) else {
            return QueryResult::Ended(Err(outcome_unknown(&format!(
                "VM '{queried_vm}' may have run the request and cannot be queried"
            ))));
        };
        let query = OutcomeQuery {
            id: headers.id.clone(),
            fingerprint: fingerprint.clone(),
            ticket: ticket.to_text(),
            vm: daemon.own_record.vm.clone(),
            incarnation: daemon.own_record.incarnation,
            wait_ms,
        };
        let report: Result<OutcomeReport, _> = daemon
            .control_http
            .post_rmp(
                member.control_address,
                OUTCOME_QUERY_PATH,
                &query,
                wait_ms + QUERY_TIMEOUT_MS,
            )
            .await;
        match report {
            Ok(OutcomeReport::NeverRan) if is_issuer => return QueryResult::MayRun,
            Ok(OutcomeReport::Running) if now_ms() < headers.deadline_ms => {
                wait_ms = MAX_QUERY_WAIT_MS.min(headers.deadline_ms - now_ms());
            }
            Ok(OutcomeReport::Sealed(vm)) if is_issuer && vm != daemon.own_record.vm => {
                queried_vm = vm;
            }
            Ok(report) => return QueryResult::Ended(outcome_of_report(&headers.id, report)),
            Err(error) => {
                let message = format!("VM '{queried_vm}' may have run the request: {error}");
                return QueryResult::Ended(Err(outcome_unknown(&message)));
            }
        }
    }
}

fn outcome_of_report(id: &str, report: OutcomeReport) -> Outcome {
    match report {
        OutcomeReport::Answered {
            status,
            content_type,
            body,
        } => Ok(CompleteResponse {
            status,
            content_type,
            body,
        }),
        OutcomeReport::Refused { kind, message } => Err(Refusal::new(kind, message)),
        OutcomeReport::Reused => Err(id_reused(id)),
        OutcomeReport::Running => Err(outcome_unknown(
            "the request was still running at the deadline",
        )),
        OutcomeReport::Sealed(vm) => Err(outcome_unknown(&format!(
            "VM '{vm}' was permitted to run the request"
        ))),
        OutcomeReport::NeverRan | OutcomeReport::Unknown => Err(outcome_unknown(
            "the VM that issued the ticket does not know whether the request ran",
        )),
    }
}

/// Handles `POST /peer/settle`: reports the outcome of a request to another VM.
#[handler]
pub(crate) async fn answer_outcome_query(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let bytes = body.into_bytes_limit(MAX_QUERY_BYTES).await;
    let bytes = bytes.unwrap_or_default();
    daemon
        .traffic
        .on_request_received(OUTCOME_QUERY_PATH, bytes.len());
    let query = rmp_serde::from_slice::<OutcomeQuery>(&bytes).ok();
    let query = query.and_then(|query| {
        let ticket = Ticket::try_parse(&query.ticket)?;
        Some((query, ticket))
    });
    let Some((query, ticket)) = query else {
        let refusal = Refusal::new(
            ErrorKind::BadRequest,
            "the outcome query or its ticket cannot be parsed",
        );
        return refusal_response(&daemon, &refusal);
    };
    let mut outcome = report_outcome(&daemon, &query, &ticket);
    if matches!(outcome, ReportedOutcome::Running) && query.wait_ms > 0 {
        wait_while_running(&daemon, &query).await;
        outcome = report_outcome(&daemon, &query, &ticket);
    }
    let response = rmp_serde::to_vec(&to_outcome_report(outcome)).unwrap_or_default();
    daemon
        .traffic
        .on_response_sent(OUTCOME_QUERY_PATH, response.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(response)
}

/// Reports the outcome of a request to the daemon that queries it.
///
/// An unknown id is sealed for that daemon if this VM issued the ticket and the
/// ticket's window is open.
fn report_outcome(
    daemon: &Daemon,
    query: &OutcomeQuery,
    ticket: &Ticket,
) -> ReportedOutcome<Outcome> {
    let now_ms = now_ms();
    let window = ticket.window(daemon.ticket_clock.unix_ms_at(now_ms));
    let may_seal = is_own_ticket(daemon, ticket) && window == TicketWindow::Open;
    let requester = DaemonIncarnation {
        vm: query.vm.clone(),
        incarnation: query.incarnation,
    };
    lock(&daemon.deduplication).report_outcome(
        now_ms,
        &query.id,
        &query.fingerprint,
        &requester,
        may_seal,
    )
}

async fn wait_while_running(daemon: &Daemon, query: &OutcomeQuery) {
    let run = lock(&daemon.running_requests).get(&query.id).cloned();
    let Some(mut run) = run else { return };
    let wait = Duration::from_millis(query.wait_ms.min(MAX_QUERY_WAIT_MS));
    // The result is ignored: the caller looks up the outcome afterwards.
    let _ = tokio::time::timeout(wait, run.outcome.wait_for(Option::is_some)).await;
}

fn to_outcome_report(outcome: ReportedOutcome<Outcome>) -> OutcomeReport {
    match outcome {
        ReportedOutcome::NeverRan => OutcomeReport::NeverRan,
        ReportedOutcome::Running => OutcomeReport::Running,
        ReportedOutcome::Ended(Ok(response)) => OutcomeReport::Answered {
            status: response.status,
            content_type: response.content_type,
            body: response.body,
        },
        ReportedOutcome::Ended(Err(refusal)) => OutcomeReport::Refused {
            kind: refusal.kind(),
            message: refusal.detail().message.clone(),
        },
        ReportedOutcome::Reused => OutcomeReport::Reused,
        ReportedOutcome::Sealed(vm) => OutcomeReport::Sealed(vm),
        ReportedOutcome::Unknown => OutcomeReport::Unknown,
    }
}

fn id_reused(id: &str) -> Refusal {
    let message = format!("the request id '{id}' was used with another body");
    Refusal::new(ErrorKind::IdReused, message)
}

fn outcome_unknown(message: &str) -> Refusal {
    Refusal::new(ErrorKind::OutcomeUnknown, message)
}
