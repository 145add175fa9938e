//! Bringing new weights onto every sampler of a service.

mod rollout;

pub use self::rollout::{LONGEST_ORDER_MS, ORDER_TIMEOUT_MS, Rollout, Sampler, WAVE_PERCENT};
