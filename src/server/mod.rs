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
mod http_client;
mod listing;
mod members;
mod metrics;
mod orders;
mod progress;
mod read_batch;
pub(crate) mod relay;
mod response;
mod run;
mod run_once;
mod sample;
mod score;
mod share;
mod state;

pub use self::run::run;
pub(crate) use self::{
    http_client::{ExchangeError, HttpClient, WholeReply},
    relay::StoreCall,
    state::lock,
};
