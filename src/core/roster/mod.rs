//! The VMs that run this program, which count as lost when they stop updating
//! their rows.

mod caller_addresses;
mod roster;

pub use self::{
    caller_addresses::addresses_for_callers,
    roster::{Presence, Roster, VmRow},
};
