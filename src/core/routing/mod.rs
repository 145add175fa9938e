//! Selection of the endpoint to which a request is sent.

mod choose;
mod health;

pub use self::{
    choose::{Request, choose, free_slots, median_unit_ms},
    health::Health,
};
