//! The closed list of error kinds, and the table of the response to each.

mod kind;
mod refusal;
mod response;

pub use self::{
    kind::ErrorKind,
    refusal::{Refusal, RefusalDetail},
    response::{ErrorResponse, RetryAdvice},
};
