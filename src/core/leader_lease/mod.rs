//! The lease of the one VM that sends orders, timed by the platform's clock.

mod clock;
mod leader_lease;

pub use self::{
    clock::PlatformClock,
    leader_lease::{LeaderLease, LeaderLeaseRow, LeaseClaim},
};
