//! The settings of one VM, read from a file and validated as a whole.

mod check;
mod settings;
mod vm;

pub use self::{
    check::{SettingsFault, parse_settings},
    settings::{Limits, Settings},
    vm::{VmSettings, parse_vm_settings},
};
