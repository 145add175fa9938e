//! Seeded faults on real processes, from outside.

mod plan;
mod proxy;
mod runs;
mod world;
