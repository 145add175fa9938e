//! The closed list of error kinds, and the one table that gives each its answer.

mod kind;
mod refusal;
mod response;

pub use self::{
    kind::ErrorKind,
    refusal::{Refusal, RefusalDetail},
    response::{ErrorResponse, RetryAdvice},
};
