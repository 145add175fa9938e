//! What a daemon knows of the endpoints that it uses.

mod endpoint;
mod table;

pub use self::{
    endpoint::{Endpoint, EndpointState},
    table::EndpointTable,
};
