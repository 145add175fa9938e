//! Batches of samples that a trainer submits at once and reads by position.

mod event;
mod length;
mod order;
mod pace;
mod sample_text;
mod share;
mod spec;
mod text_memory;

pub use self::{
    event::{Event, EventParser},
    length::{RunInProgress, SampleLengths, length_weight},
    order::run_order,
    pace::{RunPace, RunVerdict, start_wait_factor},
    sample_text::{MAX_TEXT_BYTES, SampleText, SavedText, TextError, json_bytes},
    share::{share_count, share_of_group},
    spec::{
        BatchHead, BatchSpec, ListedSample, ListedState, SampleSpec, ScoreCall, object_part_names,
    },
    text_memory::TextMemory,
};
