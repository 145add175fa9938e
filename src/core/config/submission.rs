use std::sync::Arc;

use serde_json::Value;

use super::{
    Change, VersionedDocument, apply_patch,
    rows::{
        NUMBER_KEY, NumberRow, PatchRow, SNAPSHOT_INTERVAL_VERSIONS, SNAPSHOT_KEY, history_key,
        patch_key,
    },
};
use crate::{
    core::{
        digest::hex_digest,
        guard::{self, Guard},
    },
    error::{ErrorKind, Refusal},
    wire::{
        operators::{Accepted, Patch},
        platform::{Check, Row, Transaction, Write},
    },
};

/// The maximum number of tries to write a patch before the submission fails.
const MAX_TRIES: u32 = 6;
/// The length of the stored hash of a patch.
const DIGEST_BYTES: usize = 16;

/// The next step in the submission of a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitStep {
    /// Read the rows of [`Submission::keys`], then call [`Submission::on_read`].
    Read,
    /// Update this daemon to version `number` or later, then read again.
    CatchUp {
        /// The latest version in the table.
        number: u64,
    },
    /// Execute the transaction, then call [`Submission::on_written`].
    Write(Box<Transaction>),
    /// Put the written version in force at a quorum of the expected members,
    /// then call [`Submission::on_confirmed`].
    Confirm {
        /// The version that the patch produced.
        number: u64,
    },
    /// Return this result to the operator.
    Done(Result<Accepted, Refusal>),
}

/// The outcome of writing a patch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The write certainly did not take effect.
    NotWritten,
    /// The write may have taken effect or may still take effect.
    Unknown,
}

/// A patch that is being written to the table.
///
/// The patch id is written in the same transaction as the new version. If the
/// response to a write is lost, its outcome can therefore be determined by
/// reading the table, at this daemon or at another one.
///
/// # Examples
///
/// ```
/// use chicoryreach::{
///     core::config::{SubmitStep, Submission, VersionedDocument, WriteOutcome},
///     wire::{operators::Patch, platform::Row},
/// };
/// use serde_json::{Value, json};
///
/// let patch = Patch { id: "p".into(), against: 0, merge: json!({"draining_vms": ["vm-1"]}) };
/// let mut submission = Submission::new(patch);
/// let absent = |key| Row { key, row_version: 0, value: Value::Null };
/// let [patch_row, number_row] = submission.keys().map(absent);
/// let step = submission.on_read(&patch_row, &number_row, &VersionedDocument::default());
/// assert!(matches!(step, SubmitStep::Write(_)));
/// let step = submission.on_written(WriteOutcome::Committed);
/// assert_eq!(step, SubmitStep::Confirm { number: 1 });
/// let SubmitStep::Done(Ok(accepted)) = submission.on_confirmed(true) else { panic!() };
/// assert_eq!(accepted.number, 1);
/// ```
#[derive(Clone, Debug)]
pub struct Submission {
    patch: Patch,
    tries: u32,
    /// Whether an earlier write may have taken effect.
    may_be_written: bool,
    /// The version that the last write was to produce.
    next: Option<VersionedDocument>,
    /// The number of the version that the patch produced, once it is known to be
    /// written.
    written: Option<u64>,
}

impl Submission {
    /// Creates the submission of an operator's patch.
    #[must_use]
    pub const fn new(patch: Patch) -> Self {
        Self {
            patch,
            tries: 0,
            may_be_written: false,
            next: None,
            written: None,
        }
    }

    /// Returns the patch.
    #[must_use]
    pub const fn patch(&self) -> &Patch {
        &self.patch
    }

    /// Returns the keys of the rows to read: the row of this patch and the row
    /// with the latest version number.
    #[must_use]
    pub fn keys(&self) -> [Arc<str>; 2] {
        [patch_key(&self.patch.id), NUMBER_KEY.into()]
    }

    /// Returns the change that the patch makes, once its version is known.
    #[must_use]
    pub fn change(&self) -> Option<Change> {
        let number = self.written.or_else(|| Some(self.next.as_ref()?.number))?;
        Some(Change {
            number,
            patch_id: self.patch.id.clone(),
            merge: self.patch.merge.clone(),
        })
    }

    /// Handles the rows of [`Submission::keys`], which were read together.
    ///
    /// `current` is the version in force at this daemon.
    pub fn on_read(
        &mut self,
        patch_row: &Row,
        number_row: &Row,
        current: &VersionedDocument,
    ) -> SubmitStep {
        if patch_row.row_version > 0 && guard::is_on(Guard::PatchId) {
            return self.repeat_first_answer(&patch_row.value);
        }
        let table_number = if number_row.row_version == 0 {
            0
        } else {
            match serde_json::from_value::<NumberRow>(number_row.value.clone()) {
                Ok(row) => row.number,
                Err(error) => {
                    let message = format!("row '{NUMBER_KEY}' is invalid: {error}");
                    return self.fail(ErrorKind::Internal, &message);
                }
            }
        };
        if table_number > current.number {
            return SubmitStep::CatchUp {
                number: table_number,
            };
        }
        if table_number < current.number {
            // A member announced a later version while the rows were read.
            return self.retry();
        }
        self.write_next(number_row.row_version, current)
    }

    /// Handles a failed read.
    pub fn on_read_failed(&mut self) -> SubmitStep {
        self.retry()
    }

    /// Handles the outcome of the write.
    pub fn on_written(&mut self, outcome: WriteOutcome) -> SubmitStep {
        match outcome {
            WriteOutcome::Committed => {
                let number = self.next.as_ref().map_or(0, |next| next.number);
                self.confirm(number)
            }
            WriteOutcome::NotWritten => self.retry(),
            WriteOutcome::Unknown => {
                self.may_be_written = true;
                self.retry()
            }
        }
    }

    /// Handles the result of putting the version in force at a quorum.
    pub fn on_confirmed(&mut self, is_confirmed: bool) -> SubmitStep {
        let number = self.written.unwrap_or_default();
        if is_confirmed {
            return SubmitStep::Done(Ok(Accepted { number }));
        }
        let message = format!(
            "patch '{}' was written as version {number}, but it was not confirmed by a \
             quorum of daemons; send it again under the same id to learn when it is in force",
            self.patch.id
        );
        SubmitStep::Done(Err(Refusal::new(ErrorKind::NotConfirmed, message)))
    }

    fn confirm(&mut self, number: u64) -> SubmitStep {
        self.written = Some(number);
        SubmitStep::Confirm { number }
    }

    fn retry(&mut self) -> SubmitStep {
        self.tries += 1;
        if self.tries < MAX_TRIES {
            return SubmitStep::Read;
        }
        let message = format!(
            "patch '{}' could not be written in {MAX_TRIES} tries",
            self.patch.id
        );
        self.fail(ErrorKind::PlatformUnavailable, &message)
    }

    /// Ends the submission with an error.
    ///
    /// If a write may have taken effect, the error is always
    /// [`ErrorKind::NotConfirmed`], since the other kinds may say that the patch
    /// was not run.
    fn fail(&self, kind: ErrorKind, message: &str) -> SubmitStep {
        if self.may_be_written {
            let message = format!(
                "patch '{}' may have been written; send it again under the same id",
                self.patch.id
            );
            return SubmitStep::Done(Err(Refusal::new(ErrorKind::NotConfirmed, message)));
        }
        SubmitStep::Done(Err(Refusal::new(kind, message)))
    }

    fn repeat_first_answer(&mut self, value: &Value) -> SubmitStep {
        match serde_json::from_value::<PatchRow>(value.clone()) {
            Ok(row) if *row.digest == *patch_digest(&self.patch) => self.confirm(row.number),
            Ok(_) => {
                let message = format!(
                    "the patch id '{}' was already used for a different patch",
                    self.patch.id
                );
                SubmitStep::Done(Err(Refusal::new(ErrorKind::IdReused, message)))
            }
            Err(error) => {
                let message = format!("the row of patch '{}' is invalid: {error}", self.patch.id);
                self.fail(ErrorKind::Internal, &message)
            }
        }
    }

    fn write_next(&mut self, number_row_version: u64, current: &VersionedDocument) -> SubmitStep {
        let next = match apply_patch(current, self.patch.against, &self.patch.merge) {
            Ok(next) => next,
            // The number has advanced, so an earlier write of this patch can no
            // longer take effect and the refusal is final.
            Err(refusal) => return SubmitStep::Done(Err(refusal)),
        };
        self.next = Some(next.clone());
        match self.transaction(&next, number_row_version) {
            Ok(transaction) => SubmitStep::Write(Box::new(transaction)),
            Err(error) => {
                let message = format!("version {} cannot be serialized: {error}", next.number);
                self.fail(ErrorKind::Internal, &message)
            }
        }
    }

    fn transaction(
        &self,
        next: &VersionedDocument,
        number_row_version: u64,
    ) -> Result<Transaction, serde_json::Error> {
        let number = NumberRow {
            number: next.number,
        };
        let patch_row = PatchRow {
            number: next.number,
            digest: patch_digest(&self.patch),
        };
        let mut checks = vec![Check {
            key: NUMBER_KEY.into(),
            row_version: number_row_version,
        }];
        let mut writes = vec![
            new_write(NUMBER_KEY.into(), serde_json::to_value(number)?),
            new_write(
                history_key(next.number),
                serde_json::to_value(self.change())?,
            ),
        ];
        if guard::is_on(Guard::PatchId) {
            checks.push(Check {
                key: patch_key(&self.patch.id),
                row_version: 0,
            });
            writes.push(new_write(
                patch_key(&self.patch.id),
                serde_json::to_value(patch_row)?,
            ));
        }
        if next.number % SNAPSHOT_INTERVAL_VERSIONS == 1 {
            writes.push(new_write(SNAPSHOT_KEY.into(), serde_json::to_value(next)?));
        }
        Ok(Transaction { checks, writes })
    }
}

fn new_write(key: Arc<str>, value: Value) -> Write {
    Write {
        key,
        value: Some(value),
    }
}

fn patch_digest(patch: &Patch) -> Arc<str> {
    let merge = patch.merge.to_string();
    let against = patch.against.to_string();
    hex_digest(&[against.as_bytes(), b":", merge.as_bytes()], DIGEST_BYTES).into()
}
