/// For how long a path must be cut before others take over what needs it, and must work
/// before this VM takes it back, in milliseconds.
const LASTING_MS: u64 = 1_000;

/// Since when a path has been cut, and whether that lasts.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::paths::CutSpan;
///
/// let mut span = CutSpan::default();
/// span.update(1_000, true);
/// assert!(!span.is_lasting(1_500));
/// assert!(span.is_lasting(2_000));
/// span.update(4_000, false);
/// assert!(span.is_lasting(4_500));
/// assert!(!span.is_lasting(5_000));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CutSpan {
    since_ms: Option<u64>,
    /// When the last cut that lasted has ended.
    ended_ms: Option<u64>,
}

impl CutSpan {
    /// Records whether the path is cut now.
    pub fn update(&mut self, now_ms: u64, is_cut: bool) {
        if is_cut {
            self.since_ms.get_or_insert(now_ms);
        } else if let Some(since_ms) = self.since_ms.take()
            && since_ms + LASTING_MS <= now_ms
        {
            self.ended_ms = Some(now_ms);
        }
    }

    /// Returns since when the path has been cut.
    #[must_use]
    pub const fn since_ms(&self) -> Option<u64> {
        self.since_ms
    }

    /// Returns whether the path has been cut for a while, or was until just now.
    #[must_use]
    pub fn is_lasting(&self, now_ms: u64) -> bool {
        let is_cut_lastingly = |since_ms: u64| since_ms + LASTING_MS <= now_ms;
        self.since_ms.is_some_and(is_cut_lastingly)
            || self
                .ended_ms
                .is_some_and(|ended_ms| now_ms < ended_ms + LASTING_MS)
    }
}
