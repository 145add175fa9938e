//! How many endpoints a service needs in each data centre.
//!
//! [`ServiceScaler`] compares the slots that the work of trainers and callers needs
//! with the endpoints that are there, and returns the orders to give.

mod demand;
mod group;
mod inputs;
mod outcome;
mod scaler;
mod settling;
mod signals;
mod slot_times;
mod spread;
mod window;

pub use self::{
    demand::{deadline_slots, trainer_slots},
    inputs::{BatchWork, EndpointGroup, EndpointKind, ScaleInputs, Supply, WorkDue},
    outcome::{ScaleDecision, ScaleOrder, ScaleOutcome, ScaleReason},
    scaler::ServiceScaler,
    settling::SupplySettling,
    signals::{LoadSignals, ServiceLoad},
    slot_times::SlotTimes,
};
