//! Bringing new weights onto every sampler of a service.

mod rollout;

pub use self::rollout::{Rollout, Sampler};
