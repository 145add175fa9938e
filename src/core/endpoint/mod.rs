//! What a daemon knows of the endpoints that it uses.
//!
//! # Guarantees
//!
//! - Up to [`USE_ALL_MAX_ENDPOINTS`] endpoints of a service, a daemon uses all of them. Of a
//!   larger service it uses a share of its own data centre's endpoints, so
//!   that each of these is used by equally many daemons.
//! - An endpoint that leaves, by configuration or by the platform's list, is
//!   [`EndpointState::Leaving`] at once when the daemon hears of it.
//! - An endpoint that did not answer its last poll is [`EndpointState::Down`]
//!   until it answers one.
//!
//! # Limits
//!
//! - Reports are as old as the pace of polling; [`Endpoint::fresh_load`] gives
//!   none that is older than [`MAX_LOAD_REPORT_AGE_MS`].
//! - Two daemons that disagree on who is alive use subsets that differ from
//!   the plan until they agree again.

mod endpoint;
mod subset;
mod table;

pub use self::{
    endpoint::{Endpoint, EndpointState, MAX_LOAD_REPORT_AGE_MS, Usage},
    subset::{Placement, SPARE_COUNT, SUBSET_SIZE, USE_ALL_MAX_ENDPOINTS, assign_usages},
    table::{EndpointTable, PollTarget},
};
