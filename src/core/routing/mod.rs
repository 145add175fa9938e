//! Which endpoint a request goes to.

mod choose;
mod health;

pub use self::{
    choose::{Request, choose, free_slots, median_unit_ms},
    health::Health,
};
