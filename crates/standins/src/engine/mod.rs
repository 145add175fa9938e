//! Stand-ins for model engines. They generate text in slots, load weights
//! versions and crash on demand.

mod engine;
mod state;

pub use self::{
    engine::{Engine, EngineSettings},
    state::CRASH_MARK,
};
