//! Samples, from the step that requests them to their delivery to the trainer.
//!
//! [`Ledger`] tracks one trainer's samples. It guarantees the following, as long
//! as the caller carries out each [`CommitPlan`] in order:
//!
//! - A slot delivers exactly one sample, even if the ledger moves between
//!   daemons.
//! - A delivered sample is listed in the table, so the next holder returns the
//!   same bytes for the same cursor.
//! - A sample that is too old for the trainer's weights is dropped by a commit
//!   before a fetch passes it, and regenerated.
//!
//! It relies on the trainer to have one call in flight at a time, and to hold no
//! sample from a cursor on when it fetches from that cursor.

mod commit;
mod fetch;
mod keys;
mod ledger;
mod pace;
mod rows;
mod step;

pub use self::{
    commit::{CommitPlan, Payload},
    fetch::{FetchResponse, MissingObject},
    keys::{chunks_prefix, head_key, steps_prefix},
    ledger::{Ledger, SampleOutcome, StoredLedger, UncommittedSample},
    pace::{CommitPacer, Urgency},
    rows::{ChunkRow, DroppedSample, HeadRow, LoggedSample},
    step::StepState,
};
