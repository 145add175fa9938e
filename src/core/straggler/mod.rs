//! When a slow sample goes on at another endpoint.

mod rule;

pub use self::rule::{SampleProgress, is_straggler};
