//! Request limits that endpoints name for all VMs together.

mod limit;
mod purpose;

pub use self::{limit::RateLimit, purpose::Purpose};
