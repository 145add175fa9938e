//! Which software version of a service began a stream, so that it goes on there.

mod begun;
mod origins;
mod registry;

pub use self::{
    begun::{BegunStreams, BegunStreamsRow},
    origins::{StreamNotice, StreamOrigin, StreamOrigins},
    registry::OriginRegistry,
};
