use crate::core::guard::{self, Guard};

/// The percentage of the slots that is reserved for trainers.
pub const RESERVED_BACKGROUND_PERCENT: u32 = 20;

/// Returns the maximum number of caller requests that one daemon runs at once.
///
/// Engines prioritize callers, so unlimited caller requests would leave no slots
/// to trainers. All daemons together therefore leave
/// [`RESERVED_BACKGROUND_PERCENT`] of the slots to trainers; without trainers,
/// callers may use all slots. A daemon that gets more callers than others may
/// additionally use the slots that are `free` now.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::admission::caller_cap;
///
/// assert_eq!(caller_cap(120, 0, 12, true), 8);
/// assert_eq!(caller_cap(120, 0, 12, false), 10);
/// assert_eq!(caller_cap(120, 30, 12, true), 38);
/// assert_eq!(caller_cap(3, 0, 12, true), 1);
/// ```
#[must_use]
pub fn caller_cap(slots: u32, free: u32, daemons: u32, has_trainers: bool) -> u32 {
    if !guard::is_on(Guard::BackgroundShare) {
        return u32::MAX;
    }
    let percent = if has_trainers {
        100 - RESERVED_BACKGROUND_PERCENT
    } else {
        100
    };
    (slots * percent / 100 / daemons.max(1) + free).max(1)
}

/// Returns the number of samples that one trainer may start now.
///
/// Trainers share the free slots equally, and the shares are computed anew each
/// time. What a trainer does not use of its share is thus available to the
/// others the next time, and while all trainers need more slots, they start
/// samples at the same rate.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::admission::sample_room;
///
/// assert_eq!(sample_room(100, 2), 50);
/// assert_eq!(sample_room(1, 2), 1);
/// assert_eq!(sample_room(0, 2), 0);
/// ```
#[must_use]
pub fn sample_room(free: u32, trainers: u32) -> u32 {
    free.div_ceil(trainers.max(1))
}
