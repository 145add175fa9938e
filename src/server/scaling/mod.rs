//! What the scaling of services uses of a VM: what it tells the others of its work, and
//! what it knows of the work of all.

mod inputs;
mod loads;
mod slot_use;

pub(crate) use self::{
    inputs::{supply_of, work_of},
    loads::own_loads,
    slot_use::SlotUse,
};
