use std::sync::Mutex;

use tokio::sync::RwLock;

use super::{handle::CALL_TIMEOUT_MS, usage::UsageState};
use crate::{
    core::{duties::DutyCalls, leader_lease::LeaderLease},
    settings::{PlatformApiSettings, VmSettings},
};

/// What a VM knows of the duties.
pub(crate) struct Duties {
    pub(super) api: PlatformApiSettings,
    pub(super) lease: Mutex<LeaderLease>,
    pub(super) calls: Mutex<DutyCalls>,
    pub(super) usage: Option<UsageState>,
    /// Held for reading while a call is in progress, and for writing while this VM steps
    /// down: the next holder must not be overtaken by a call of this VM.
    pub(super) in_progress: RwLock<()>,
}

impl Duties {
    /// Returns the settings of the platform's API.
    pub(crate) const fn api(&self) -> &PlatformApiSettings {
        &self.api
    }

    /// Creates the state if the settings name duties.
    pub(crate) fn from_settings(settings: &VmSettings, incarnation: u64) -> Option<Self> {
        let api = settings.platform_api.clone()?;
        if api.duties.is_empty() {
            return None;
        }
        // A call that was begun at the end of a term may arrive until its timeout.
        let gap_ms = settings.order_gap_ms.max(CALL_TIMEOUT_MS);
        let lease = LeaderLease::new(settings.vm.clone(), incarnation, gap_ms);
        Some(Self {
            calls: Mutex::new(DutyCalls::new(api.calls_per_s)),
            lease: Mutex::new(lease),
            usage: UsageState::from_settings(&api),
            in_progress: RwLock::new(()),
            api,
        })
    }
}
