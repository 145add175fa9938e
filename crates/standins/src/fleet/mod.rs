//! Stand-ins that speak the published protocol of the users' platform: the store
//! and samplers that register themselves in it.

mod answer_fault;
mod down;
mod endless;
mod event_stream;
mod link;
mod platform_api;
mod row_store;
mod sampler;
mod sampler_answers;
mod scripted;
mod store_server;

pub use self::{
    answer_fault::AnswerFault,
    down::WhenDown,
    endless::{EndlessPart, EndlessSampler},
    link::{Link, LinkState},
    platform_api::{ApiState, DutyCall, PlatformApi},
    row_store::{Row, RowStore},
    sampler::{RunStart, Sampler, SamplerSettings},
    scripted::{ScriptedAnswer, ScriptedSampler},
    store_server::{OBJECT_BYTES, ROW_BYTES, StoreServer, StoreWriter},
};
