//! How much of a VM's memory each use may take.

mod pool;
mod shares;

pub use self::{pool::MemoryPool, shares::MemoryShares};
