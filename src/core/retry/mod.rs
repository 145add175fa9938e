//! Whether and when a failed attempt is made again.

mod budget;
mod reason;

pub use self::{budget::Budget, reason::RetryReason};
