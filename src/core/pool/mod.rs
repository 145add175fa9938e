//! The endpoints that a VM may use, and which of them takes a request.

mod choose;
mod endpoint;
mod load;
mod pool;
mod slice;

pub use self::{
    choose::EndpointRequirements,
    endpoint::{EndpointRecord, EndpointStage, PoolEndpoint},
    load::{Load, LoadReport},
    pool::Pool,
    slice::EndpointSlice,
};
