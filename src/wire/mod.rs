//! The messages of every network protocol, with one type each.
//!
//! Messages to and from callers, endpoints, trainers, operators and the
//! platform are JSON; messages between daemons are `MessagePack`.

pub mod callers;
pub mod config;
pub mod engine;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod trainers;
