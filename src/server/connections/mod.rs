//! Accepts connections within the limits that follow from the VM's memory and its
//! descriptors, and closes those first that make no progress.

mod answer;
mod listener_connections;
mod listener_set;
mod open;
mod stream;

pub(crate) use self::{
    answer::end_run_after,
    listener_set::{DEFAULT_HEAD_BYTES, ListenerSet, close_expired_periodically},
    open::OpenConnection,
    stream::CountedStream,
};
