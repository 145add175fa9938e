use strum::Display;

/// A path to the platform's store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum StorePath {
    /// Through a connection of this VM to the store.
    Direct,
    /// Through another VM that can still reach the store.
    Relayed,
}

/// The interval between probes of the direct path while calls are relayed, in
/// milliseconds.
const PROBE_INTERVAL_MS: u64 = 400;

/// Selects the path for calls to the platform's store.
///
/// A single failure switches to the relayed path: a relayed call costs a round
/// trip between two VMs, while waiting for a second failure costs a full timeout.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::store_path::{StorePath, StorePathSelector};
///
/// let mut path_selector = StorePathSelector::default();
/// assert!(path_selector.on_direct_call(0, false));
/// assert_eq!(path_selector.path(), StorePath::Relayed);
/// assert!(path_selector.is_probe_due(400));
/// assert!(path_selector.on_direct_call(400, true));
/// assert_eq!(path_selector.path(), StorePath::Direct);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StorePathSelector {
    probe_at_ms: Option<u64>,
}

impl StorePathSelector {
    /// Returns the path for the next call.
    #[must_use]
    pub const fn path(&self) -> StorePath {
        match self.probe_at_ms {
            None => StorePath::Direct,
            Some(_) => StorePath::Relayed,
        }
    }

    /// Records whether a direct call was answered, and returns whether the path
    /// changed.
    pub const fn on_direct_call(&mut self, now_ms: u64, is_answered: bool) -> bool {
        let was_relayed = self.probe_at_ms.is_some();
        self.probe_at_ms = if is_answered {
            None
        } else {
            Some(now_ms + PROBE_INTERVAL_MS)
        };
        was_relayed != self.probe_at_ms.is_some()
    }

    /// Returns whether the direct path should be probed now.
    #[must_use]
    pub fn is_probe_due(&self, now_ms: u64) -> bool {
        self.probe_at_ms
            .is_some_and(|probe_at_ms| now_ms >= probe_at_ms)
    }
}
