//! Patches of operators: written to the table, then put in force at a quorum.

use super::{
    config, config_peers,
    platform::TransactResult,
    state::{Daemon, lock},
};
use crate::{
    core::config::{Submission, SubmitStep, Update, WriteOutcome},
    error::{ErrorKind, Refusal},
    wire::{
        operators::{Accepted, Patch},
        platform::Transaction,
    },
};

/// Submits a patch; sending the same patch again gives the first answer.
pub(crate) async fn submit(daemon: &Daemon, patch: Patch) -> Result<Accepted, Refusal> {
    let against = patch.against;
    let mut submission = Submission::new(patch);
    let mut step = SubmitStep::Read;
    loop {
        step = match step {
            SubmitStep::Read => read(daemon, &mut submission).await,
            SubmitStep::CatchUp { number } => match config::catch_up(daemon, number).await {
                Ok(()) => SubmitStep::Read,
                Err(_) => submission.on_read_failed(),
            },
            SubmitStep::Write(transaction) => {
                let outcome = write(daemon, &transaction).await;
                submission.on_written(outcome)
            }
            SubmitStep::Confirm { number } => {
                let is_confirmed = confirm(daemon, &submission, number).await;
                submission.on_confirmed(is_confirmed)
            }
            SubmitStep::Done(Ok(accepted)) => return Ok(accepted),
            SubmitStep::Done(Err(refusal)) => return Err(explain(daemon, against, refusal).await),
        };
    }
}

async fn read(daemon: &Daemon, submission: &mut Submission) -> SubmitStep {
    daemon.metrics.platform_reads.inc();
    // Both rows in one read: a patch row that is missing beside a number that
    // has moved on proves that the patch will never take effect.
    let rows = daemon.platform.get_rows(&submission.keys()).await;
    let Ok([patch, number]) = rows.as_deref() else {
        return submission.on_read_failed();
    };
    let current = daemon.config.borrow().clone();
    submission.on_read(patch, number, &current)
}

async fn write(daemon: &Daemon, transaction: &Transaction) -> WriteOutcome {
    daemon.metrics.platform_writes.inc();
    match daemon.platform.transact(transaction).await {
        TransactResult::Committed(_) => WriteOutcome::Committed,
        TransactResult::Conflict | TransactResult::Refused => WriteOutcome::NotWritten,
        TransactResult::Unknown => WriteOutcome::Unknown,
    }
}

/// Puts a written version in force here and at a quorum.
async fn confirm(daemon: &Daemon, submission: &Submission, number: u64) -> bool {
    let change = submission.change();
    let update = Update::Changes(change.clone().into_iter().collect());
    let is_here =
        config::apply_update(daemon, update).is_ok() && config::current_number(daemon) >= number;
    if !is_here && config::catch_up(daemon, number).await.is_err() {
        return false;
    }
    config_peers::update_expected_members(daemon);
    let quorum = lock(&daemon.freshness).quorum();
    let Some(quorum) = quorum else { return false };
    config_peers::announce(daemon, change, number, quorum).await
}

/// Adds to a refused patch which keys changed since it was written.
async fn explain(daemon: &Daemon, against: u64, refusal: Refusal) -> Refusal {
    if refusal.kind() != ErrorKind::ConfigConflict {
        return refusal;
    }
    let Ok(later) = config::read_history(daemon, against).await else {
        return refusal;
    };
    let keys: std::collections::BTreeSet<_> =
        later.into_iter().flat_map(|entry| entry.changed).collect();
    let keys: Vec<_> = keys.into_iter().collect();
    let message = &refusal.detail().message;
    Refusal::new(
        refusal.kind(),
        format!("{message}; changed since: {}", keys.join(", ")),
    )
}
