//! Planning which endpoints load new weights, and when.

mod assignment;
mod load_orders;
mod rollout;

pub use self::{
    load_orders::{LoadOrder, ModelTarget, SentOrder, plan_load_orders},
    rollout::{MAX_ORDER_DELAY_MS, ORDER_RESEND_MS, Sampler, WAVE_PERCENT, WeightsRollout},
};
