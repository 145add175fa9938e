//! The endpoints that a daemon uses, and their state as known to it.
//!
//! # Guarantees
//!
//! - A daemon uses all endpoints of a service that has up to
//!   [`USE_ALL_MAX_ENDPOINTS`]. Of a larger service it uses a subset of the
//!   endpoints in its own data centre, chosen so that each of these is used by
//!   equally many daemons.
//! - An endpoint that leaves, according to the configuration or the platform's
//!   list, is [`EndpointState::Leaving`] as soon as the daemon learns of it.
//! - An endpoint that did not answer its last poll is [`EndpointState::Down`]
//!   until it answers a poll, unless it is leaving.
//!
//! # Limits
//!
//! - Load reports are up to one poll interval old. [`Endpoint::fresh_load`]
//!   returns none that is as old as [`MAX_LOAD_REPORT_AGE_MS`].
//! - While daemons disagree about which daemons are alive, endpoints may be
//!   used by unequal numbers of daemons.

mod endpoint;
mod subset;
mod table;

pub use self::{
    endpoint::{Endpoint, EndpointState, MAX_LOAD_REPORT_AGE_MS, Usage},
    subset::{Placement, SPARE_COUNT, SUBSET_SIZE, USE_ALL_MAX_ENDPOINTS, assign_usages},
    table::{EndpointTable, PollTarget},
};
