//! Compares scheduling policies by simulation in virtual time.
//!
//! The simulated daemons use the decision code of the core. Endpoints, callers
//! and trainers are small fakes. All randomness comes from the seed, so a run
//! is exactly repeatable.

mod bound;
mod chart;
mod endpoint;
mod fault;
mod measure;
mod policy;
mod report;
mod trainer;
mod work;
mod workload;
mod world;

pub use self::{
    fault::Fault,
    report::{Selection, run},
    workload::WorkloadName,
};
