//! The closed list of error kinds, and the one table that gives each its answer.

mod answer;
mod kind;
mod refusal;

pub use self::{
    answer::{Answer, Retry},
    kind::ErrorKind,
    refusal::{Refusal, RefusalDetail},
};
