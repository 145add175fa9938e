//! A rollout service for reinforcement learning beside live traffic.
//!
//! The crate has two halves. [`core`], [`error`], [`settings`] and [`wire`]
//! decide and describe: they do no I/O, and time comes in as an argument.
//! [`server`], [`daemon`] and [`cli`] do: sockets, files and timers.
//!
//! [`server`] runs one VM on the users' platform, whose calls and names only the
//! folder `platform` knows. [`daemon`] serves the product's own interface with
//! a state of its own. Both decide with [`core`]; read [`core::batch`],
//! [`core::pool`] and [`core::weights`] first.
//!
//! # Embedding a part
//!
//! Each part of [`core`] is a plain struct. A lease, for instance, says what
//! to read and write, and is told what came of it:
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
