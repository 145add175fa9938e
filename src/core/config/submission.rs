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

/// How often a patch is tried before its operator is told to send it again.
const MAX_TRIES: u32 = 6;
const DIGEST_BYTES: usize = 16;

/// What to do next about a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitStep {
    /// Read the rows of [`Submission::keys`], then call [`Submission::on_read`].
    Read,
    /// Bring this daemon to a version at least as high, then read again.
    CatchUp {
        /// The version of the table.
        number: u64,
    },
    /// Write, then call [`Submission::on_written`].
    Write(Box<Transaction>),
    /// The patch is written: put the version in force at a quorum of the
    /// expected members, then call [`Submission::on_confirmed`].
    Confirm {
        /// The version that the patch gave.
        number: u64,
    },
    /// Answer the operator.
    Done(Result<Accepted, Refusal>),
}

/// What came of the write of a patch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect.
    Committed,
    /// It certainly did not take effect.
    NotWritten,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// One patch on its way into the table.
///
/// The patch id is written in the same transaction as the new version. So a
/// lost answer is settled by reading, at this daemon or at another one.
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
    may_be_written: bool,
    next: Option<VersionedDocument>,
    written: Option<u64>,
}

impl Submission {
    /// Starts with a patch as an operator sent it.
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

    /// Returns the keys to read: the row of this patch, and that of the number.
    #[must_use]
    pub fn keys(&self) -> [Arc<str>; 2] {
        [patch_key(&self.patch.id), NUMBER_KEY.into()]
    }

    /// Returns the change that the patch is, once its version is known.
    #[must_use]
    pub fn change(&self) -> Option<Change> {
        let number = self.written.or_else(|| Some(self.next.as_ref()?.number))?;
        Some(Change {
            number,
            patch_id: self.patch.id.clone(),
            merge: self.patch.merge.clone(),
        })
    }

    /// Goes on from the rows as they were read together.
    pub fn on_read(
        &mut self,
        patch: &Row,
        number: &Row,
        current: &VersionedDocument,
    ) -> SubmitStep {
        if patch.row_version > 0 && guard::is_on(Guard::PatchId) {
            return self.first_answer(&patch.value);
        }
        let in_table = if number.row_version == 0 {
            0
        } else {
            match serde_json::from_value::<NumberRow>(number.value.clone()) {
                Ok(row) => row.number,
                Err(error) => return self.give_up(ErrorKind::Internal, &error.to_string()),
            }
        };
        if in_table > current.number {
            return SubmitStep::CatchUp { number: in_table };
        }
        if in_table < current.number {
            // The read was overtaken by a version that came from a member.
            return self.try_again();
        }
        self.write(number.row_version, current)
    }

    /// Goes on after a read that failed.
    pub fn on_read_failed(&mut self) -> SubmitStep {
        self.try_again()
    }

    /// Goes on after the write.
    pub fn on_written(&mut self, outcome: WriteOutcome) -> SubmitStep {
        match outcome {
            WriteOutcome::Committed => {
                let number = self.next.as_ref().map_or(0, |next| next.number);
                self.confirm(number)
            }
            WriteOutcome::NotWritten => self.try_again(),
            WriteOutcome::Unknown => {
                self.may_be_written = true;
                self.try_again()
            }
        }
    }

    /// Goes on after the version was put in force, or not, at a quorum.
    pub fn on_confirmed(&mut self, is_confirmed: bool) -> SubmitStep {
        let number = self.written.unwrap_or_default();
        if is_confirmed {
            return SubmitStep::Done(Ok(Accepted { number }));
        }
        let message = format!(
            "the patch is written as version {number}, but too few daemons could be told; \
             send it again under the same id to learn when it is in force"
        );
        SubmitStep::Done(Err(Refusal::new(ErrorKind::NotConfirmed, message)))
    }

    fn confirm(&mut self, number: u64) -> SubmitStep {
        self.written = Some(number);
        SubmitStep::Confirm { number }
    }

    fn try_again(&mut self) -> SubmitStep {
        self.tries += 1;
        if self.tries < MAX_TRIES {
            return SubmitStep::Read;
        }
        self.give_up(ErrorKind::PlatformUnavailable, "the table does not answer")
    }

    /// A patch whose write may have taken effect is never called "not run".
    fn give_up(&self, kind: ErrorKind, message: &str) -> SubmitStep {
        if self.may_be_written {
            let message = "the patch may have been written; send it again under the same id";
            return SubmitStep::Done(Err(Refusal::new(ErrorKind::NotConfirmed, message)));
        }
        SubmitStep::Done(Err(Refusal::new(kind, message)))
    }

    fn first_answer(&mut self, value: &Value) -> SubmitStep {
        match serde_json::from_value::<PatchRow>(value.clone()) {
            Ok(row) if *row.digest == *digest(&self.patch) => self.confirm(row.number),
            Ok(_) => {
                let message = format!(
                    "the patch id '{}' was used with another patch",
                    self.patch.id
                );
                SubmitStep::Done(Err(Refusal::new(ErrorKind::IdReused, message)))
            }
            Err(error) => self.give_up(ErrorKind::Internal, &error.to_string()),
        }
    }

    fn write(&mut self, number_row_version: u64, current: &VersionedDocument) -> SubmitStep {
        let next = match apply_patch(current, self.patch.against, &self.patch.merge) {
            Ok(next) => next,
            // The number has moved on, so that an earlier write of this patch
            // can no longer take effect: the refusal is final.
            Err(refusal) => return SubmitStep::Done(Err(refusal)),
        };
        self.next = Some(next.clone());
        match self.transaction(&next, number_row_version) {
            Ok(transaction) => SubmitStep::Write(Box::new(transaction)),
            Err(error) => self.give_up(ErrorKind::Internal, &error.to_string()),
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
        let remembered = PatchRow {
            number: next.number,
            digest: digest(&self.patch),
        };
        let mut checks = vec![Check {
            key: NUMBER_KEY.into(),
            row_version: number_row_version,
        }];
        let mut writes = vec![
            write(NUMBER_KEY.into(), serde_json::to_value(number)?),
            write(
                history_key(next.number),
                serde_json::to_value(self.change())?,
            ),
        ];
        if guard::is_on(Guard::PatchId) {
            checks.push(Check {
                key: patch_key(&self.patch.id),
                row_version: 0,
            });
            writes.push(write(
                patch_key(&self.patch.id),
                serde_json::to_value(remembered)?,
            ));
        }
        if next.number % SNAPSHOT_INTERVAL_VERSIONS == 1 {
            writes.push(write(SNAPSHOT_KEY.into(), serde_json::to_value(next)?));
        }
        Ok(Transaction { checks, writes })
    }
}

fn write(key: Arc<str>, value: Value) -> Write {
    Write {
        key,
        value: Some(value),
    }
}

fn digest(patch: &Patch) -> Arc<str> {
    let merge = patch.merge.to_string();
    let against = patch.against.to_string();
    hex_digest(&[against.as_bytes(), b":", merge.as_bytes()], DIGEST_BYTES).into()
}
