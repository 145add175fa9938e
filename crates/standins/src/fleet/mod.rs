//! Stand-ins that speak the published protocol of the users' platform: the store
//! and samplers that register themselves in it.

mod row_store;
mod sampler;
mod store_server;

pub use self::{
    row_store::{Row, RowStore},
    sampler::{AnswerFault, RunStart, Sampler, SamplerSettings},
    store_server::{StoreServer, StoreWriter},
};
