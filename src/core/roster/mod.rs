//! The VMs that take part, and since when each has been silent.

mod roster;
mod shown;

pub use self::{
    roster::{Presence, Roster, VmRow},
    shown::shown_to,
};
