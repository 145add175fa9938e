//! The routes from requests to services, and how requests of a route are handled.

mod route;
mod table;

pub use self::{
    route::{Route, RouteKind, WeightedService},
    table::{CallerLimits, PoolSettings, RouteTable, ScaleLimits},
};
