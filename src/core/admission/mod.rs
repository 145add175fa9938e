//! How much work a service takes at once, and who goes first.

mod limit;

pub use self::limit::{Limit, Priority};
