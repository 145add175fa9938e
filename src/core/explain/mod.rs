//! Putting together what the logs of many VMs say of one request.

mod line;
mod timeline;

pub use self::{
    line::LogLine,
    timeline::{Timeline, TimelineEntry, timeline},
};
