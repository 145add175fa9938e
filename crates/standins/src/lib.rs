//! Stand-ins for the systems with which chicoryreach communicates, and tools
//! that generate load and run benchmarks.
//!
//! This crate is not shipped. Each stand-in listens on a loopback port that
//! the kernel chooses.

pub mod bench_agreement;
pub mod bench_control;
pub mod bench_ledger;
pub mod bench_path;
pub mod bench_policy;
pub mod caller;
pub mod drive;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod http;
pub mod oracle;
pub mod platform;
pub mod proofs;
pub mod service;
pub mod text;
pub mod trainer;
pub mod world;
