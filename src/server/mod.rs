//! What does, on a platform that keeps what must last: the process of one VM.
//!
//! [`run`] starts it. What is kept in the platform's store is followed by
//! `follow`; callers' requests take the way `front`, `forward`; batches the
//! way `accept`, `claims`, `share`, `sample`, `listing`; weights the way
//! `orders`.

mod accept;
mod claims;
mod clean;
mod directory;
mod fleet;
mod follow;
mod forward;
mod front;
mod listing;
mod members;
mod metrics;
mod orders;
mod progress;
mod read_batch;
mod refuse;
pub(crate) mod relay;
mod run;
mod run_once;
mod sample;
mod score;
mod share;
mod state;
mod upstream;

pub use self::run::run;
pub(crate) use self::{
    relay::StoreCall,
    state::lock,
    upstream::{ExchangeError, Upstream, WholeReply},
};
