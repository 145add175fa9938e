//! Checks the service's promises on real processes under seeded faults.

mod environment;
mod fault_plan;
mod promises;
pub mod proxy;
