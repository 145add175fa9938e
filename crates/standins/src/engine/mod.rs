//! Model engines: they generate in slots, load versions, crash on demand.

mod engine;
mod state;

pub use self::{
    engine::{Engine, EngineSettings},
    state::CRASH_MARK,
};
