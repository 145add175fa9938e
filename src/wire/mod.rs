//! Typed messages for every neighbour, as they stand on the wire.
//!
//! JSON towards callers, endpoints, trainers, operators and the platform;
//! `MessagePack` between daemons.

pub mod callers;
pub mod config;
pub mod engine;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod trainers;
