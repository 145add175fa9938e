//! The process of one VM, with its sockets, files and timers.
//!
//! The modules execute the decisions of [`crate::core`] as I/O, and pass the
//! results back to it as events.

mod at_most_once;
mod callers;
mod clock;
mod config;
mod config_peers;
mod config_submit;
mod crash;
mod dispatch;
mod endpoints;
mod gate;
mod http;
mod lease_keeper;
mod ledger_io;
mod metrics;
mod operators;
mod peers;
mod platform;
mod response;
mod run;
mod sample_task;
mod serve;
mod shutdown;
mod state;
mod traffic;
mod trainer_lease;
mod trainer_task;
mod trainers;
mod watch;
mod weights_rollout_task;

pub(crate) use self::clock::{sleep_until, unix_ms};
pub use self::{
    clock::now_ms,
    http::{HttpClient, HttpError},
    run::run,
};
