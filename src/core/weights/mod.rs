//! Bringing new weights onto every sampler of a service.

mod homes;
mod moves;
mod rollout;

pub use self::{
    moves::{Move, Named, Sent, moves},
    rollout::{LONGEST_ORDER_MS, ORDER_TIMEOUT_MS, Rollout, Sampler, WAVE_PERCENT},
};
