//! Putting together what the logs of many VMs say of one request.

mod line;
mod story;

pub use self::{
    line::LogLine,
    story::{Entry, Story, story},
};
