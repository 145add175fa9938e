//! The decision logic, as state machines without I/O, clock or randomness.
//!
//! Each of them takes the time as `now_ms`, in milliseconds of a monotonic clock,
//! and returns its decisions as typed values. The modules are public so that
//! other programs can embed them.

pub mod accounts;
pub mod admission;
pub mod batch;
pub mod config;
pub mod connections;
pub(crate) mod digest;
pub mod duties;
pub mod endpoint;
pub mod explain;
pub mod guard;
pub mod leader_lease;
pub mod lease;
pub mod membership;
pub mod memory;
mod name;
pub mod paths;
pub mod pool;
pub mod quarantine;
pub mod rate_limit;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod roster;
pub mod routes;
pub mod routing;
pub mod run_ahead;
pub mod sample;
pub mod scale;
pub mod shortage;
pub mod store_path;
pub mod straggler;
pub mod streams;
pub mod weights;

pub use self::name::Name;
