//! Detection of slow samples that should resume at another endpoint.

mod rule;

pub use self::rule::{SampleProgress, is_straggler};
