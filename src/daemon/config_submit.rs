//! Submits operators' patches: writes them to the table, then puts them in force
//! at a quorum of daemons.

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

/// Submits a patch, and returns its version once a quorum has it in force.
///
/// Submitting is idempotent: the same patch under the same id gives the first
/// answer again.
///
/// # Errors
///
/// The refusal of [`Submission`]. A conflict also names the keys that changed
/// since the version against which the patch was written.
pub(crate) async fn submit(daemon: &Daemon, patch: Patch) -> Result<Accepted, Refusal> {
    let against = patch.against;
    let mut submission = Submission::new(patch);
    let mut step = SubmitStep::Read;
    loop {
        step = match step {
            SubmitStep::Read => read_rows(daemon, &mut submission).await,
            SubmitStep::CatchUp { number } => match config::catch_up(daemon, number).await {
                Ok(()) => SubmitStep::Read,
                Err(_) => submission.on_read_failed(),
            },
            SubmitStep::Write(transaction) => {
                let outcome = write_rows(daemon, &transaction).await;
                submission.on_written(outcome)
            }
            SubmitStep::Confirm { number } => {
                let is_confirmed = confirm_at_quorum(daemon, &submission, number).await;
                submission.on_confirmed(is_confirmed)
            }
            SubmitStep::Done(Ok(accepted)) => return Ok(accepted),
            SubmitStep::Done(Err(refusal)) => {
                return Err(add_changed_keys(daemon, against, refusal).await);
            }
        };
    }
}

/// Reads the rows of the patch and of the version number.
async fn read_rows(daemon: &Daemon, submission: &mut Submission) -> SubmitStep {
    daemon.metrics.platform_reads.inc();
    // Both rows come from one read. If the patch row is missing while the number
    // has increased, the patch can never take effect.
    let rows = daemon.platform.get_rows(&submission.keys()).await;
    let Ok([patch, number]) = rows.as_deref() else {
        return submission.on_read_failed();
    };
    let current = daemon.config.borrow().clone();
    submission.on_read(patch, number, &current)
}

async fn write_rows(daemon: &Daemon, transaction: &Transaction) -> WriteOutcome {
    daemon.metrics.platform_writes.inc();
    match daemon.platform.transact(transaction).await {
        TransactResult::Committed(_) => WriteOutcome::Committed,
        TransactResult::Conflict | TransactResult::Refused => WriteOutcome::NotWritten,
        TransactResult::Unknown => WriteOutcome::Unknown,
    }
}

/// Puts a written version in force here and at a quorum, and returns whether
/// that succeeded.
async fn confirm_at_quorum(daemon: &Daemon, submission: &Submission, number: u64) -> bool {
    let change = submission.change();
    let update = Update::Changes(change.clone().into_iter().collect());
    let is_in_force_here =
        config::apply_update(daemon, update).is_ok() && config::current_number(daemon) >= number;
    if !is_in_force_here && config::catch_up(daemon, number).await.is_err() {
        return false;
    }
    config_peers::update_expected_members(daemon);
    let quorum = lock(&daemon.freshness).quorum();
    let Some(quorum) = quorum else { return false };
    config_peers::announce(daemon, change, number, quorum).await
}

/// Adds to a conflict the keys that changed since version `against`.
///
/// Other refusals are returned as they are, and so is a conflict if the history
/// cannot be read.
async fn add_changed_keys(daemon: &Daemon, against: u64, refusal: Refusal) -> Refusal {
    if refusal.kind() != ErrorKind::ConfigConflict {
        return refusal;
    }
    let Ok(history) = config::read_history(daemon, against).await else {
        return refusal;
    };
    let keys: std::collections::BTreeSet<_> = history
        .into_iter()
        .flat_map(|entry| entry.changed)
        .collect();
    let keys: Vec<_> = keys.into_iter().collect();
    let message = &refusal.detail().message;
    Refusal::new(
        refusal.kind(),
        format!("{message}; changed since: {}", keys.join(", ")),
    )
}
