//! A rollout service for reinforcement learning beside live traffic.
//!
//! The crate has two halves. [`core`], [`error`], [`settings`] and [`wire`]
//! hold the decisions and the data types: they do no I/O, and take the time as
//! an argument. [`server`], [`daemon`] and [`cli`] do the I/O: sockets, files
//! and timers.
//!
//! [`server`] runs one VM on the users' platform; only the module `platform`
//! uses the platform's calls and names. [`daemon`] serves the project's own
//! interface and keeps its own state. Both take their decisions in [`core`];
//! [`core::batch`], [`core::pool`] and [`core::weights`] are the best places to
//! start reading.
//!
//! # Embedding a part
//!
//! Each part of [`core`] is a plain struct. A lease, for instance, returns what
//! to read or write next, and takes the result as an event:
//!
//! ```
//! use chicoryreach::core::lease::{Lease, LeaseAction};
//!
//! let mut lease = Lease::new("vm-1".into(), 1);
//! assert_eq!(lease.next_action(0), LeaseAction::Read);
//! lease.on_read(0, None, 0);
//! assert!(matches!(lease.next_action(0), LeaseAction::Write { .. }));
//! ```

pub mod cli;
pub mod core;
pub mod daemon;
pub mod error;
mod platform;
pub mod server;
pub mod settings;
pub mod wire;
