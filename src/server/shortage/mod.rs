//! Lets what competes for the endpoints of a service start in the order that
//! `core::shortage` decides.

mod entries;
mod log_budget;
mod metrics;
mod places;
mod rooms;
mod training_turn;
mod waiter;

pub(crate) use self::{
    entries::{caller_entry, sample_entry, score_entry},
    metrics::ShortageMetrics,
    rooms::Rooms,
    training_turn::TrainingTurn,
    waiter::Waiter,
};
