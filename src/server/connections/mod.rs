//! Accepts connections within the limits that follow from the VM's memory and its
//! descriptors, and closes those first that make no progress.

mod answer;
mod door;
mod doors;
mod open;
mod stream;

pub(crate) use self::{
    answer::end_run_after,
    doors::{DEFAULT_HEAD_BYTES, Doors, close_expired_periodically},
    open::OpenConnection,
    stream::CountedStream,
};
