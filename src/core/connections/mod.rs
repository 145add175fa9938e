//! How many connections a VM accepts, and which of them it closes first.

mod limits;
mod phase;
mod reason;
mod table;

pub use self::{
    limits::ConnectionLimits, phase::ConnectionPhase, reason::CloseReason, table::ConnectionTable,
};
