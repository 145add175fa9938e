//! Leases with fencing numbers, kept in rows of the platform's table.

mod lease;
mod row;

pub use self::{
    lease::{Lease, LeaseAction},
    row::LeaseRow,
};
