//! The VMs that take part, and since when each has been silent.

mod caller_addresses;
mod roster;

pub use self::{
    caller_addresses::addresses_for_callers,
    roster::{Presence, Roster, VmRow},
};
