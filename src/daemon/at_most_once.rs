//! Requests that run once: here, and across daemons by the VM of the ticket.

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

/// Where another VM is asked what became of a request.
pub(crate) const OUTCOME_QUERY_PATH: &str = "/peer/settle";
const MAX_QUESTION_BYTES: usize = 64 * 1024;
const TIMEOUT_MS: u64 = 1_000;
/// How long one question waits for an answer that is not there yet.
const MAX_WAIT_MS: u64 = 2_000;

/// A request that runs now.
#[derive(Clone)]
pub(crate) struct RunningRequest {
    outcome: watch::Receiver<Option<Outcome>>,
    waiting: Arc<RunWaiters>,
}

/// Who waits for a run.
pub(crate) struct RunWaiters {
    waiters: std::sync::Mutex<Waiters>,
    changed: Notify,
}

impl RunWaiters {
    fn new(may_abandon: bool) -> Self {
        Self {
            waiters: std::sync::Mutex::new(Waiters::new(may_abandon)),
            changed: Notify::new(),
        }
    }
}

/// The place where an outcome will be; dropping it says that its caller has gone.
pub(crate) struct PendingOutcome {
    pub(crate) outcome: watch::Receiver<Option<Outcome>>,
    _seat: Option<Seat>,
}

struct Seat(Arc<RunWaiters>);

impl Drop for Seat {
    fn drop(&mut self) {
        lock(&self.0.waiters).leave(now_ms());
        self.0.changed.notify_one();
    }
}

impl PendingOutcome {
    fn of(run: &RunningRequest) -> Self {
        Self {
            outcome: run.outcome.clone(),
            _seat: Some(Seat(run.waiting.clone())),
        }
    }

    fn ended(outcome: Outcome) -> Self {
        Self {
            outcome: watch::Sender::new(Some(outcome)).subscribe(),
            _seat: None,
        }
    }
}

/// Who answers for a request's id.
enum Authority {
    /// This daemon; an id that it does not know may run or not.
    Here { may_start: bool },
    /// The VM of the ticket.
    There(Ticket),
}

/// Runs a request unless its id is known, and returns where its outcome will be.
///
/// `run` gets a future that ends once nobody waits for the answer any more,
/// which happens only if `may_abandon`.
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
    let may_start = !matches!(authority, Authority::Here { may_start: false });
    let id = &headers.id;
    let mut running = lock(&daemon.running_requests);
    let seen = lock(&daemon.deduplication).start(id, fingerprint, may_start);
    match seen {
        StartOutcome::New => {}
        StartOutcome::Running => {
            daemon.metrics.resends.inc();
            return join(running.get(id));
        }
        StartOutcome::Ended(outcome) => {
            daemon.metrics.resends.inc();
            return Ok(PendingOutcome::ended(outcome));
        }
        StartOutcome::Reused => return Err(reused(id)),
        StartOutcome::Sealed(vm) => {
            return Err(unknown(&format!("'{vm}' was told to run the request")));
        }
        StartOutcome::Unknown => {
            return Err(unknown("the ticket is too old to tell whether it ran"));
        }
    }
    if let Err(refusal) = dispatch::admit(daemon) {
        lock(&daemon.deduplication).remove(id);
        return Err(refusal);
    }
    let (sender, outcome) = watch::channel(None);
    let waiting = Arc::new(RunWaiters::new(may_abandon));
    let entry = RunningRequest {
        outcome,
        waiting: waiting.clone(),
    };
    let awaited = PendingOutcome::of(&entry);
    running.insert(id.clone(), entry);
    drop(running);
    let in_progress = InProgressGuard::new(daemon.clone());
    let (daemon, headers, fingerprint) = (daemon.clone(), headers.clone(), fingerprint.clone());
    tokio::spawn(async move {
        let asked = match &authority {
            Authority::Here { .. } => Asked::MayRun,
            Authority::There(ticket) => ask(&daemon, &headers, &fingerprint, ticket).await,
        };
        let (outcome, has_run) = match asked {
            Asked::MayRun => (run(waiting).await, true),
            Asked::Ended(outcome) => (outcome, false),
        };
        end(&daemon, &headers, &outcome, has_run);
        sender.send_replace(Some(outcome));
        drop(in_progress);
    });
    Ok(awaited)
}

fn join(run: Option<&RunningRequest>) -> Result<PendingOutcome, Refusal> {
    let lost = || Refusal::new(ErrorKind::Internal, "a running request is not known");
    let run = run.ok_or_else(lost)?;
    if lock(&run.waiting.waiters).try_join() {
        run.waiting.changed.notify_one();
        return Ok(PendingOutcome::of(run));
    }
    Err(lost())
}

/// Ends once nobody waits for the run any more; from then on its id is free.
pub(crate) async fn wait_until_abandoned(
    daemon: Arc<Daemon>,
    id: Arc<str>,
    waiting: Arc<RunWaiters>,
) {
    loop {
        let abandon_at_ms = lock(&waiting.waiters).abandon_at_ms();
        tokio::select! {
            () = waiting.changed.notified() => {}
            () = sleep_until(abandon_at_ms.unwrap_or(u64::MAX)) => {}
        }
        // A caller that comes back joins under the same lock, before or not.
        let mut running = lock(&daemon.running_requests);
        if lock(&waiting.waiters).try_abandon(now_ms()) {
            running.remove(&id);
            lock(&daemon.deduplication).remove(&id);
            daemon.metrics.abandoned.inc();
            return;
        }
    }
}

/// Notes how a request ended. Its id is remembered only if it may have run
/// and must not run again, or if its answer is there for a resend.
fn end(daemon: &Daemon, headers: &CallerHeaders, outcome: &Outcome, has_run: bool) {
    dispatch::release_request(daemon);
    let mut running = lock(&daemon.running_requests);
    let mut deduplication = lock(&daemon.deduplication);
    let id = &headers.id;
    let is_free = match outcome {
        Ok(_) => !has_run,
        Err(refusal) if refusal.kind() == ErrorKind::CallerGone => return,
        Err(refusal) => !has_run || headers.is_idempotent || refusal.response().not_run,
    };
    running.remove(id);
    if is_free {
        deduplication.remove(id);
    } else {
        deduplication.finish(now_ms(), id, outcome.clone());
    }
}

/// Says who answers for an id; only a non-idempotent request needs a ticket.
fn authority(daemon: &Daemon, headers: &CallerHeaders) -> Result<Authority, Refusal> {
    if headers.is_idempotent {
        return Ok(Authority::Here { may_start: true });
    }
    let invalid = |message| Refusal::new(ErrorKind::TicketInvalid, message);
    let ticket = headers
        .ticket
        .as_ref()
        .ok_or_else(|| invalid("a non-idempotent request needs a ticket"))?;
    if !is_own(daemon, ticket) {
        return Ok(Authority::There(ticket.clone()));
    }
    match ticket.window(daemon.ticket_clock.unix_ms_at(now_ms())) {
        TicketWindow::Before => Err(invalid("the ticket was issued in the future")),
        TicketWindow::Open => Ok(Authority::Here { may_start: true }),
        TicketWindow::After => Ok(Authority::Here { may_start: false }),
    }
}

fn is_own(daemon: &Daemon, ticket: &Ticket) -> bool {
    ticket.is_issued_for(&daemon.own_record.vm, daemon.own_record.incarnation)
}

/// What the VM of the ticket said.
enum Asked {
    MayRun,
    Ended(Outcome),
}

/// Asks the VM of the ticket what became of the id, until the deadline.
async fn ask(
    daemon: &Daemon,
    headers: &CallerHeaders,
    fingerprint: &Arc<str>,
    ticket: &Ticket,
) -> Asked {
    daemon.metrics.settled.inc();
    let mut ask_vm = ticket.vm.clone();
    let mut wait_ms = 0;
    loop {
        let is_issuer = ask_vm == ticket.vm;
        let member = lock(&daemon.membership)
            .records()
            .find(|member| member.vm == ask_vm)
            .cloned();
        let is_known = |member: &MemberRecord| {
            member.vm != daemon.own_record.vm
                && (!is_issuer || member.incarnation == ticket.incarnation)
        };
        let Some(member) = member.filter(is_known) else {
            return Asked::Ended(Err(unknown(&format!(
                "'{ask_vm}' issued the ticket, may have run the request and cannot be asked"
            ))));
        };
        let question = OutcomeQuery {
            id: headers.id.clone(),
            fingerprint: fingerprint.clone(),
            ticket: ticket.to_text(),
            vm: daemon.own_record.vm.clone(),
            incarnation: daemon.own_record.incarnation,
            wait_ms,
        };
        let answer: Result<OutcomeReport, _> = daemon
            .control_http
            .post_rmp(
                member.control_address,
                OUTCOME_QUERY_PATH,
                &question,
                wait_ms + TIMEOUT_MS,
            )
            .await;
        match answer {
            Ok(OutcomeReport::NeverRan) if is_issuer => return Asked::MayRun,
            Ok(OutcomeReport::Running) if now_ms() < headers.deadline_ms => {
                wait_ms = MAX_WAIT_MS.min(headers.deadline_ms - now_ms());
            }
            Ok(OutcomeReport::Sealed(vm)) if is_issuer && vm != daemon.own_record.vm => ask_vm = vm,
            Ok(answer) => return Asked::Ended(outcome(&headers.id, answer)),
            Err(error) => {
                let message = format!("'{ask_vm}' may have run the request: {error}");
                return Asked::Ended(Err(unknown(&message)));
            }
        }
    }
}

fn outcome(id: &str, answer: OutcomeReport) -> Outcome {
    match answer {
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
        OutcomeReport::Reused => Err(reused(id)),
        OutcomeReport::Running => Err(unknown("the request still ran at the deadline")),
        OutcomeReport::Sealed(vm) => Err(unknown(&format!("'{vm}' was told to run the request"))),
        OutcomeReport::NeverRan | OutcomeReport::Unknown => {
            Err(unknown("the VM of the ticket cannot tell whether it ran"))
        }
    }
}

/// `POST /peer/settle`: says what became of an id under a ticket of this VM.
#[handler]
pub(crate) async fn answer_outcome_query(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let bytes = body.into_bytes_limit(MAX_QUESTION_BYTES).await;
    let bytes = bytes.unwrap_or_default();
    daemon
        .traffic
        .on_request_received(OUTCOME_QUERY_PATH, bytes.len());
    let question = rmp_serde::from_slice::<OutcomeQuery>(&bytes).ok();
    let question = question.and_then(|question| {
        let ticket = Ticket::try_parse(&question.ticket)?;
        Some((question, ticket))
    });
    let Some((question, ticket)) = question else {
        let refusal = Refusal::new(ErrorKind::BadRequest, "the question cannot be read");
        return refusal_response(&daemon, &refusal);
    };
    let mut settled = settle_once(&daemon, &question, &ticket);
    if matches!(settled, ReportedOutcome::Running) && question.wait_ms > 0 {
        wait_for_end(&daemon, &question).await;
        settled = settle_once(&daemon, &question, &ticket);
    }
    let answer = rmp_serde::to_vec(&answer(settled)).unwrap_or_default();
    daemon
        .traffic
        .on_response_sent(OUTCOME_QUERY_PATH, answer.len());
    Response::builder()
        .content_type("application/msgpack")
        .body(answer)
}

fn settle_once(
    daemon: &Daemon,
    question: &OutcomeQuery,
    ticket: &Ticket,
) -> ReportedOutcome<Outcome> {
    let now_ms = now_ms();
    let window = ticket.window(daemon.ticket_clock.unix_ms_at(now_ms));
    let may_seal = is_own(daemon, ticket) && window == TicketWindow::Open;
    let asker = DaemonIncarnation {
        vm: question.vm.clone(),
        incarnation: question.incarnation,
    };
    lock(&daemon.deduplication).report_outcome(
        now_ms,
        &question.id,
        &question.fingerprint,
        &asker,
        may_seal,
    )
}

async fn wait_for_end(daemon: &Daemon, question: &OutcomeQuery) {
    let run = lock(&daemon.running_requests).get(&question.id).cloned();
    let Some(mut run) = run else { return };
    let wait = Duration::from_millis(question.wait_ms.min(MAX_WAIT_MS));
    // What comes of it is read again.
    let _ = tokio::time::timeout(wait, run.outcome.wait_for(Option::is_some)).await;
}

fn answer(settled: ReportedOutcome<Outcome>) -> OutcomeReport {
    match settled {
        ReportedOutcome::NeverRan => OutcomeReport::NeverRan,
        ReportedOutcome::Running => OutcomeReport::Running,
        ReportedOutcome::Ended(Ok(answer)) => OutcomeReport::Answered {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
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

fn reused(id: &str) -> Refusal {
    let message = format!("the id '{id}' was used with another body");
    Refusal::new(ErrorKind::IdReused, message)
}

fn unknown(message: &str) -> Refusal {
    Refusal::new(ErrorKind::OutcomeUnknown, message)
}
