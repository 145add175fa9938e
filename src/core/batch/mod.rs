//! Batches of samples that a trainer hands in at once and reads by position.

mod attempt;
mod event;
mod order;
mod pace;
mod share;
mod spec;

pub use self::{
    attempt::{SampleText, SavedText, TextError},
    event::{Event, EventParser},
    order::run_order,
    pace::{RunPace, RunVerdict, patience},
    share::{share_count, share_of_group},
    spec::{BatchHead, BatchSpec, ListedSample, ListedState, SampleSpec, ScoreCall},
};
