//! Samples: from the step that asks for them to the trainer that takes them.

mod head;
mod ledger;
mod step;

pub use self::{
    head::{ChunkRow, Head, LoggedSample},
    ledger::{CommitPlan, Ledger, Loaded, Payload, chunks_prefix, head_key, steps_prefix},
    step::StepState,
};
