//! Leases with fencing numbers, stored as rows in the platform's table.

mod lease;
mod row;

pub use self::{
    lease::{Lease, LeaseAction},
    row::LeaseRow,
};
