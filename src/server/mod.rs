//! The process of one VM, which keeps all durable state in the platform's store.
//!
//! [`run`] starts it. `follow` watches the tables of the store. A caller's
//! request passes through `front` and `forward`; a batch through `accept`,
//! `claims`, `share`, `sample` and `listing`. `orders` directs endpoints to
//! load weights versions.

mod accept;
mod accounts;
mod attempt;
mod caller_body;
mod claims;
mod clean;
mod connections;
mod content_runs;
mod crash;
mod crash_rows;
mod directory;
mod duties;
mod endpoint_exchange;
mod endpoint_relay;
mod failures;
mod fleet;
mod follow;
mod forward;
mod front;
mod head_limit;
mod held;
mod http_client;
mod listing;
mod loaded_batch;
mod members;
mod memory;
mod metrics;
mod orders;
mod paths;
mod peer_call;
mod permits;
mod progress;
mod read_batch;
pub(crate) mod relay;
mod relayed;
mod response;
mod row_values;
mod run;
mod run_once;
mod sample;
mod scaling;
mod score;
mod share;
mod shortage;
mod silence;
mod state;
mod stream;
mod stream_rows;
mod streams;
mod text_share;

pub use self::run::run;
pub(crate) use self::{
    held::HELD_PATH,
    http_client::{ExchangeClient, ExchangeError, WholeReply},
    relay::StoreCall,
    state::lock,
};
