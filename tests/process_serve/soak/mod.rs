//! Seeded faults on real processes, from outside.

mod environment;
mod fault_plan;
mod promises;
mod proxy;
