//! The VMs that run this program, and how long each has not updated its row.

mod caller_addresses;
mod roster;

pub use self::{
    caller_addresses::addresses_for_callers,
    roster::{Presence, Roster, VmRow},
};
