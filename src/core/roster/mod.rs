//! The VMs that take part, and since when each has been silent.

mod roster;

pub use self::roster::{Presence, Roster, VmRow};
