//! Whether and when a failed attempt is retried.

mod backoff;
mod budget;
mod reason;

pub use self::{backoff::backoff_ms, budget::RetryBudget, reason::RetryReason};
