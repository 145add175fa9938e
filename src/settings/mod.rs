//! What one VM is told about itself, checked as a whole.

mod check;
mod settings;
mod vm;

pub use self::{
    check::{Fault, check},
    settings::{Limits, Settings},
    vm::{VmSettings, check_vm},
};
