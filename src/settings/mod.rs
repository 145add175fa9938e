//! What one VM is told about itself, checked as a whole.

mod check;
mod settings;

pub use self::{
    check::{Fault, check},
    settings::{Limits, Settings},
};
