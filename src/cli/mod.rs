//! The command line.

mod args;
mod operate;
mod start;

pub use self::start::main;
