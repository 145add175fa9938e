//! Which software version of a service began a stream, so that it goes on there.

mod history;
mod origins;

pub use self::{
    history::SoftwareHistory,
    origins::{StreamNotice, StreamOrigin, StreamOrigins},
};
