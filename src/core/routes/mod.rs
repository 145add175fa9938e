//! Which service answers a request, and what may be done with it.

mod route;
mod table;

pub use self::{
    route::{Route, RouteKind, WeightedService},
    table::{CallerLimits, PoolSettings, RouteTable},
};
