//! Batches of samples that a trainer hands in at once and reads by position.

mod attempt;
mod event;
mod order;
mod share;
mod spec;

pub use self::{
    attempt::{SampleText, TextError},
    event::{Event, EventParser},
    order::run_order,
    share::{share_count, share_of_group},
    spec::{BatchHead, BatchSpec, ListedState, ListedSample, SampleSpec, ScoreCall},
};
