//! Experiments with the decisions of the core in virtual time.
//!
//! Daemons that decide with the real code stand before small fakes of the
//! endpoints, the callers and the trainers. A run is repeatable to the bit:
//! all randomness comes from its seed.

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
