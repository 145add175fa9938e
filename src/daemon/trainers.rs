//! Trainers: open a step, fetch samples, acknowledge them.

use std::sync::Arc;

use poem::{
    Body, Response, handler,
    web::{Data, Path},
};
use serde::de::DeserializeOwned;

use super::{
    answer::json_or_refuse,
    state::{Daemon, lock},
    trainer_task::TrainerTask,
};
use crate::{
    error::{ErrorKind, Refusal},
    wire::trainers::{Acknowledge, Done, Fetch, Fetched, OpenStep},
};

const COMMIT_TIMEOUT_MS: u64 = 10_000;

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
        let commit = task.with_ledger(&daemon, |ledger| ledger.open_step(request))?;
        committed(&task, commit).await
    };
    json_or_refuse(&daemon, result.await)
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
        let fetched: Fetched = task.with_ledger(&daemon, |ledger| ledger.fetch(request))?;
        daemon
            .metrics
            .samples_delivered
            .inc_by(fetched.samples.len() as u64);
        Ok(fetched)
    };
    json_or_refuse(&daemon, result.await)
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
        let commit = task.with_ledger(&daemon, |ledger| ledger.acknowledge(request))?;
        committed(&task, commit).await
    };
    json_or_refuse(&daemon, result.await)
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

/// Waits until a commit has taken effect.
async fn committed(task: &TrainerTask, commit: u64) -> Result<Done, Refusal> {
    let mut progress = task.progress.subscribe();
    task.wake.notify_one();
    let waiting = progress.wait_for(|progress| progress.commit >= commit);
    let timeout = std::time::Duration::from_millis(COMMIT_TIMEOUT_MS);
    match tokio::time::timeout(timeout, waiting).await {
        Ok(Ok(progress)) => Ok(Done {
            acknowledged_cursor: progress.acknowledged_cursor,
        }),
        _ => Err(Refusal::new(
            ErrorKind::NotConfirmed,
            "the change is not known to be written; send it again",
        )),
    }
}
