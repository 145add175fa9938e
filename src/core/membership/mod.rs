//! Which VMs run a daemon, without a consensus group.

mod membership;

pub use self::membership::Membership;
