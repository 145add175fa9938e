//! The settings of one VM, read from a file and validated as a whole.

mod check;
mod platform_api;
mod settings;
mod vm;

pub use self::{
    check::{SettingsFault, parse_settings},
    platform_api::{DutyKind, PlatformApiSettings},
    settings::{Limits, Settings},
    vm::{VmSettings, parse_vm_settings},
};
