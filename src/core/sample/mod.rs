//! Samples: from the step that asks for them to the trainer that takes them.
//!
//! [`Ledger`] keeps one trainer's samples. Its guarantees, as long as the
//! caller carries out each [`CommitPlan`] in its order:
//!
//! - a slot delivers exactly one sample, whichever daemons hold the ledger;
//! - what is handed over is in the table, so that the same cursor gives the
//!   same bytes at the next holder;
//! - a sample that is too old for the trainer's weights leaves its slot by a
//!   commit before the hand-over passes it, and is made again.
//!
//! It relies on a trainer that has one call under way at a time, and whose
//! fetch from a cursor says that it keeps nothing from there on.

mod commit;
mod hand_over;
mod head;
mod keys;
mod ledger;
mod pace;
mod step;

pub use self::{
    commit::{CommitPlan, Payload},
    hand_over::{FetchResponse, MissingObject},
    head::{ChunkRow, DroppedSample, HeadRow, LoggedSample},
    keys::{chunks_prefix, head_key, steps_prefix},
    ledger::{Ledger, SampleOutcome, StoredLedger, UncommittedSample},
    pace::{CommitPacer, Urgency},
    step::StepState,
};
