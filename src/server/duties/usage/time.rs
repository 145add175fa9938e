use std::sync::Mutex;

use tokio::sync::Notify;

use crate::{
    core::duties::{UsageCounts, UsageWindows, median_offset_ms},
    daemon::{now_ms, unix_ms},
    platform::Store,
    server::state::{Server, lock},
    settings::{DutyKind, PlatformApiSettings},
};

/// What a VM keeps for the usage duty, whether it is the holder or not.
pub(in super::super) struct UsageState {
    pub(super) windows: UsageWindows,
    pub(super) counts: Mutex<UsageCounts>,
    /// Notified when a count has changed.
    pub(super) changed: Notify,
    /// The offset of the true time from the store's clock, once VMs' rows were read.
    true_offset_ms: Mutex<Option<i64>>,
}

impl UsageState {
    /// Creates the state if the VMs have the usage duty.
    pub(in super::super) fn from_settings(api: &PlatformApiSettings) -> Option<Self> {
        let has_duty = api.has(DutyKind::Usage);
        has_duty.then(|| Self {
            windows: UsageWindows::from_seconds(api.usage_window_s, api.usage_due_s),
            counts: Mutex::default(),
            changed: Notify::new(),
            true_offset_ms: Mutex::default(),
        })
    }

    /// Returns the true time since the start of 1970, in milliseconds; until the rows of
    /// the VMs were read, that of this VM's own clock.
    pub(super) fn true_ms(&self, store: &Store) -> u64 {
        let offset_ms = *lock(&self.true_offset_ms);
        let true_ms = offset_ms.and_then(|offset_ms| {
            let store_ms = i64::try_from(store_ms(store)?).ok()?;
            u64::try_from(store_ms + offset_ms).ok()
        });
        true_ms.unwrap_or_else(unix_ms)
    }
}

/// Returns the time of the store's clock, as well as it is known.
fn store_ms(store: &Store) -> Option<u64> {
    let (earliest_ms, latest_ms) = store.clock_bounds_ms()?;
    Some(earliest_ms.midpoint(latest_ms))
}

/// Returns how far the store's clock is ahead of this VM's monotonic one.
pub(super) fn store_ahead_ms(store: &Store) -> Option<i64> {
    let store_ms = i64::try_from(store_ms(store)?).ok()?;
    Some(store_ms - i64::try_from(now_ms()).ok()?)
}

/// Returns the offset of this VM's time of day from the store's clock, in milliseconds, if
/// the VMs have the usage duty.
pub(crate) fn own_offset_ms(server: &Server) -> Option<i64> {
    server.duties.as_ref()?.usage.as_ref()?;
    let store_ms = i64::try_from(store_ms(&server.store)?).ok()?;
    Some(i64::try_from(unix_ms()).ok()? - store_ms)
}

/// Sets the true time from the rows of the live VMs.
pub(crate) fn set_true_offset(server: &Server) {
    let usage = server
        .duties
        .as_ref()
        .and_then(|duties| duties.usage.as_ref());
    let Some(usage) = usage else { return };
    let members = lock(&server.members);
    let offsets = members.live_vms().filter_map(|(_, row)| row.unix_offset_ms);
    if let Some(offset_ms) = median_offset_ms(offsets) {
        *lock(&usage.true_offset_ms) = Some(offset_ms);
    }
}
