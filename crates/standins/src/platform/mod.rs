//! A stand-in for the platform: table, object store, weight store and list of
//! VMs.

mod faults;
mod server;
mod store;

pub use self::{faults::Faults, server::Platform, store::Store};
