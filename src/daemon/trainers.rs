//! Trainers: open a step, fetch samples, acknowledge them.

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

/// How long after a failure a trainer may come back.
const RETRY_MS: u64 = 500;
/// How long after a call that came too early for a new holder it may come back.
const TAKEOVER_RETRY_MS: u64 = 50;
/// How long a call waits for its change to be written.
const COMMIT_TIMEOUT_MS: u64 = 5_000;

/// `POST /v1/trainers/{trainer}/steps`: opens a step.
#[handler]
pub(crate) async fn open_step(
    daemon: Data<&Arc<Daemon>>,
    Path(trainer): Path<String>,
    body: Body,
) -> Response {
    let result = async {
        let request: OpenStep = read(&daemon, body).await?;
        let task = task(&daemon, &trainer)?;
        change(&daemon, &task, |ledger| ledger.open_step(request)).await
    };
    json_or_refusal(&daemon, result.await)
}

/// `POST /v1/trainers/{trainer}/fetch`: hands samples over.
#[handler]
pub(crate) async fn fetch(
    daemon: Data<&Arc<Daemon>>,
    Path(trainer): Path<String>,
    body: Body,
) -> Response {
    let result = async {
        let request: Fetch = read(&daemon, body).await?;
        let task = task(&daemon, &trainer)?;
        let answer = hand_over(&daemon, &task, request).await?;
        task.record_fetch(answer.next_cursor);
        Ok(answer)
    };
    match result.await {
        Ok(answer) => {
            let samples = answer.samples.len() as u64;
            daemon.metrics.samples_delivered.inc_by(samples);
            Response::builder()
                .content_type("application/json")
                .body(answer.to_json())
        }
        Err(refusal) => refusal_response(&daemon, &refusal),
    }
}

/// Reads objects until the hand-over has something, or needs nothing more.
async fn hand_over(
    daemon: &Daemon,
    task: &TrainerTask,
    request: Fetch,
) -> Result<FetchResponse, Refusal> {
    loop {
        let (_, answer) = task
            .with_ledger(daemon, |ledger| ledger.fetch(request))
            .map_err(soon)?;
        // What grew stale leaves its slot by a commit.
        task.wake.notify_one();
        let Some(missing) = answer.missing.clone() else {
            return Ok(answer);
        };
        let object = ledger_io::read_object(daemon, &missing).await;
        let object = object.map_err(|refusal| refusal.with_retry_at(now_ms() + RETRY_MS))?;
        task.with_ledger(daemon, |ledger| {
            ledger.on_object(&missing, object.as_ref());
            Ok(())
        })?;
    }
}

/// `POST /v1/trainers/{trainer}/acknowledge`: notes what the trainer has.
#[handler]
pub(crate) async fn acknowledge(
    daemon: Data<&Arc<Daemon>>,
    Path(trainer): Path<String>,
    body: Body,
) -> Response {
    let result = async {
        let request: Acknowledge = read(&daemon, body).await?;
        let task = task(&daemon, &trainer)?;
        change(&daemon, &task, |ledger| ledger.acknowledge(request)).await
    };
    json_or_refusal(&daemon, result.await)
}

async fn read<T>(daemon: &Daemon, body: Body) -> Result<T, Refusal>
where
    T: DeserializeOwned,
{
    let limit = usize::try_from(daemon.settings.limits.max_body_bytes).unwrap_or(usize::MAX);
    let bytes = body.into_bytes_limit(limit).await;
    let bytes = bytes.map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))
}

fn task(daemon: &Daemon, trainer: &str) -> Result<Arc<TrainerTask>, Refusal> {
    lock(&daemon.trainers).get(trainer).cloned().ok_or_else(|| {
        Refusal::new(
            ErrorKind::UnknownTrainer,
            format!("there is no trainer '{trainer}'"),
        )
    })
}

/// A ledger that is being taken over is ready after one more commit.
fn soon(refusal: Refusal) -> Refusal {
    if refusal.kind() == ErrorKind::PlatformUnavailable {
        refusal.with_retry_at(now_ms() + TAKEOVER_RETRY_MS)
    } else {
        refusal
    }
}

/// Makes a change and waits until it has been written.
///
/// While the platform is known to fail, nothing is changed and the call is
/// refused at once; a change that the platform fails under is not confirmed.
async fn change<F>(
    daemon: &Daemon,
    task: &TrainerTask,
    act: F,
) -> Result<AcknowledgedCursor, Refusal>
where
    F: FnOnce(&mut Ledger) -> Result<u64, Refusal>,
{
    if let Some(retry_at_ms) = task.retry_at_ms() {
        let message = "the platform does not take writes now";
        let refusal = Refusal::new(ErrorKind::PlatformUnavailable, message);
        return Err(refusal.with_retry_at(retry_at_ms));
    }
    let mut progress = task.progress.subscribe();
    let failures = progress.borrow().failures;
    let (ledger, number) = task.with_ledger(daemon, act).map_err(soon)?;
    task.wake.notify_one();
    let is_over = |progress: &CommitProgress| {
        progress.ledger != ledger || progress.failures != failures || progress.settled >= number
    };
    let timeout = std::time::Duration::from_millis(COMMIT_TIMEOUT_MS);
    let over = tokio::time::timeout(timeout, progress.wait_for(is_over)).await;
    match over {
        Ok(Ok(progress)) if progress.ledger == ledger && progress.settled >= number => {
            Ok(AcknowledgedCursor {
                acknowledged_cursor: progress.acknowledged_cursor,
            })
        }
        _ => Err(Refusal::new(
            ErrorKind::NotConfirmed,
            "the change is not known to be written; send it again",
        )
        .with_retry_at(task.retry_at_ms().unwrap_or(now_ms() + RETRY_MS))),
    }
}
