//! The command-line interface.

mod args;
mod explain;
mod operate;
mod start;

pub use self::start::main;
