//! Timelines of single requests, assembled from the logs of many VMs.

mod line;
mod timeline;

pub use self::{
    line::LogLine,
    timeline::{Timeline, TimelineEntry, timeline},
};
