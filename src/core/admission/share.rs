use crate::core::guard::{self, Guard};

/// What callers leave of the endpoints to trainers, in hundredths.
pub const RESERVED_BACKGROUND_PERCENT: u32 = 20;

/// Returns how many requests of callers one daemon runs at once at most.
///
/// Engines let callers go first, so that a flood of callers would leave
/// trainers nothing: all daemons together leave [`RESERVED_BACKGROUND_PERCENT`] of the
/// slots. Without trainers, callers may have all of them. What is `free` now may
/// be used on top by a daemon to which more callers have come than to others.
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

/// Returns how many samples one trainer may start now.
///
/// Trainers share what is free in equal parts, turn by turn: one that wants
/// less leaves its part to the others' next turns, and all start at the same
/// rate while all want more.
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
