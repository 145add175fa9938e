//! The trainers' calls: open a step, fetch samples, acknowledge them.

use std::sync::Arc;

use poem::{
    Body, Response, handler,
    web::{Data, Path},
};
use serde::de::DeserializeOwned;

use super::{
    clock::now_ms,
    ledger_io,
    response::{json_or_refusal, refusal_response},
    state::{Daemon, lock},
    trainer_task::{CommitProgress, TrainerTask},
};
use crate::{
    core::sample::{FetchResponse, Ledger},
    error::{ErrorKind, Refusal},
    wire::trainers::{Acknowledge, AcknowledgedCursor, Fetch, OpenStep},
};

/// The delay after which a trainer may retry a call that failed.
const CALL_RETRY_DELAY_MS: u64 = 500;
/// The delay after which a trainer may retry a call that a new holder of the
/// ledger could not serve yet.
const TAKEOVER_RETRY_DELAY_MS: u64 = 50;
/// How long a call waits until its change is committed.
const COMMIT_TIMEOUT_MS: u64 = 5_000;

/// Handles `POST /v1/trainers/{trainer}/steps`: opens a step.
#[handler]
pub(crate) async fn open_step(
    daemon: Data<&Arc<Daemon>>,
    Path(trainer): Path<String>,
    body: Body,
) -> Response {
    let result = async {
        let request: OpenStep = read_json(&daemon, body).await?;
        let task = find_task(&daemon, &trainer)?;
        commit_change(&daemon, &task, |ledger| ledger.open_step(request)).await
    };
    json_or_refusal(&daemon, result.await)
}

/// Handles `POST /v1/trainers/{trainer}/fetch`: returns samples.
#[handler]
pub(crate) async fn fetch(
    daemon: Data<&Arc<Daemon>>,
    Path(trainer): Path<String>,
    body: Body,
) -> Response {
    let result = async {
        let request: Fetch = read_json(&daemon, body).await?;
        let task = find_task(&daemon, &trainer)?;
        let response = fetch_samples(&daemon, &task, request).await?;
        task.record_fetch(response.next_cursor);
        Ok(response)
    };
    match result.await {
        Ok(response) => {
            let samples = response.samples.len() as u64;
            daemon.metrics.samples_delivered.inc_by(samples);
            Response::builder()
                .content_type("application/json")
                .body(response.to_json())
        }
        Err(refusal) => refusal_response(&daemon, &refusal),
    }
}

/// Fetches samples from the ledger, and reads the stored objects that it needs
/// until the response is complete.
///
/// # Errors
///
/// [`ErrorKind::NotHolder`] if another VM holds the ledger, the errors of
/// [`Ledger::fetch`], and [`ErrorKind::PlatformUnavailable`] if an object cannot
/// be read.
async fn fetch_samples(
    daemon: &Daemon,
    task: &TrainerTask,
    request: Fetch,
) -> Result<FetchResponse, Refusal> {
    loop {
        let (_, response) = task
            .with_ledger(daemon, |ledger| ledger.fetch(request))
            .map_err(with_takeover_retry)?;
        // A commit removes samples that have become stale from their slots.
        task.wake_ledger.notify_one();
        let Some(missing) = response.missing.clone() else {
            return Ok(response);
        };
        let object = ledger_io::read_object(daemon, &missing).await;
        let object =
            object.map_err(|refusal| refusal.with_retry_at(now_ms() + CALL_RETRY_DELAY_MS))?;
        task.with_ledger(daemon, |ledger| {
            ledger.on_object(&missing, object.as_ref());
            Ok(())
        })?;
    }
}

/// Handles `POST /v1/trainers/{trainer}/acknowledge`: records which samples the
/// trainer has received.
#[handler]
pub(crate) async fn acknowledge(
    daemon: Data<&Arc<Daemon>>,
    Path(trainer): Path<String>,
    body: Body,
) -> Response {
    let result = async {
        let request: Acknowledge = read_json(&daemon, body).await?;
        let task = find_task(&daemon, &trainer)?;
        commit_change(&daemon, &task, |ledger| ledger.acknowledge(request)).await
    };
    json_or_refusal(&daemon, result.await)
}

async fn read_json<T>(daemon: &Daemon, body: Body) -> Result<T, Refusal>
where
    T: DeserializeOwned,
{
    let limit = usize::try_from(daemon.settings.limits.max_body_bytes).unwrap_or(usize::MAX);
    let bytes = body.into_bytes_limit(limit).await;
    let bytes = bytes.map_err(|error| {
        let message = format!("the body of the request cannot be read: {error}");
        Refusal::new(ErrorKind::BadRequest, message)
    })?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body of the request is invalid: {error}");
        Refusal::new(ErrorKind::BadRequest, message)
    })
}

fn find_task(daemon: &Daemon, trainer: &str) -> Result<Arc<TrainerTask>, Refusal> {
    lock(&daemon.trainers).get(trainer).cloned().ok_or_else(|| {
        Refusal::new(
            ErrorKind::UnknownTrainer,
            format!("there is no trainer '{trainer}' in the configuration"),
        )
    })
}

/// Sets a short retry delay on [`ErrorKind::PlatformUnavailable`].
///
/// The ledger returns it while it is being taken over; it is ready after one more
/// commit.
fn with_takeover_retry(refusal: Refusal) -> Refusal {
    if refusal.kind() == ErrorKind::PlatformUnavailable {
        refusal.with_retry_at(now_ms() + TAKEOVER_RETRY_DELAY_MS)
    } else {
        refusal
    }
}

/// Changes the ledger and waits until the change is committed.
///
/// # Errors
///
/// [`ErrorKind::PlatformUnavailable`] at once and without a change if the last
/// call to the platform failed, [`ErrorKind::NotHolder`] if another VM holds the
/// ledger, the error of `act`, and [`ErrorKind::NotConfirmed`] if the platform
/// fails during the commit, the ledger is lost, or the commit takes longer than
/// [`COMMIT_TIMEOUT_MS`].
async fn commit_change<F>(
    daemon: &Daemon,
    task: &TrainerTask,
    act: F,
) -> Result<AcknowledgedCursor, Refusal>
where
    F: FnOnce(&mut Ledger) -> Result<u64, Refusal>,
{
    if let Some(retry_at_ms) = task.retry_at_ms() {
        let message = "the last call to the platform failed; the change was not made";
        let refusal = Refusal::new(ErrorKind::PlatformUnavailable, message);
        return Err(refusal.with_retry_at(retry_at_ms));
    }
    let mut progress = task.progress.subscribe();
    let failures = progress.borrow().failures;
    let (ledger_number, change_number) =
        task.with_ledger(daemon, act).map_err(with_takeover_retry)?;
    task.wake_ledger.notify_one();
    let is_decided = |progress: &CommitProgress| {
        progress.ledger_number != ledger_number
            || progress.failures != failures
            || progress.committed_change >= change_number
    };
    let timeout = std::time::Duration::from_millis(COMMIT_TIMEOUT_MS);
    let decided = tokio::time::timeout(timeout, progress.wait_for(is_decided)).await;
    match decided {
        Ok(Ok(progress))
            if progress.ledger_number == ledger_number
                && progress.committed_change >= change_number =>
        {
            Ok(AcknowledgedCursor {
                acknowledged_cursor: progress.acknowledged_cursor,
            })
        }
        _ => Err(Refusal::new(
            ErrorKind::NotConfirmed,
            "the change may not have been committed; send it again",
        )
        .with_retry_at(task.retry_at_ms().unwrap_or(now_ms() + CALL_RETRY_DELAY_MS))),
    }
}
