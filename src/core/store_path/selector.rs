use strum::Display;

/// How the store is reached.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum StorePath {
    /// By a connection of this VM's own.
    Direct,
    /// Through another VM that still reaches it.
    Relayed,
}

/// How often the direct way is tried while calls are relayed, in milliseconds.
const PROBE_MS: u64 = 400;

/// Decides how the store is reached.
///
/// One failure is enough to leave the direct way: a relayed call costs a
/// round trip between two VMs, and a wait for a second failure costs a whole
/// time-out.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::store_path::{StorePathSelector, StorePath};
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
    /// Returns how the next call goes.
    #[must_use]
    pub const fn path(&self) -> StorePath {
        match self.probe_at_ms {
            None => StorePath::Direct,
            Some(_) => StorePath::Relayed,
        }
    }

    /// Notes whether a direct call was answered; returns whether the way changes.
    pub const fn on_direct_call(&mut self, now_ms: u64, is_answered: bool) -> bool {
        let before = self.probe_at_ms.is_some();
        self.probe_at_ms = if is_answered {
            None
        } else {
            Some(now_ms + PROBE_MS)
        };
        before != self.probe_at_ms.is_some()
    }

    /// Returns whether the direct way is to be tried now.
    #[must_use]
    pub fn is_probe_due(&self, now_ms: u64) -> bool {
        self.probe_at_ms.is_some_and(|at_ms| now_ms >= at_ms)
    }
}
