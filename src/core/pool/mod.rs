//! The endpoints that a VM can use, and the choice of one for a request.

mod choose;
mod completion;
mod endpoint;
mod load;
mod pool;
mod slice;
mod slowdown;

pub use self::{
    choose::EndpointRequirements,
    endpoint::{EndpointRecord, EndpointStage, PoolEndpoint, SILENCE_MS},
    load::{Load, LoadReport},
    pool::{ConnectionRule, Pool},
    slice::EndpointSlice,
    slowdown::{SLOWDOWN_LIFETIME_MS, Slowdowns},
};
