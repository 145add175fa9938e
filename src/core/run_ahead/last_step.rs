/// Returns the last step that samples are started for.
///
/// `next` is the step that the trainer trains next. While it trains, a sample
/// for `next` will be one version old when it is used, and one for the step
/// after `next` two. While the trainer waits, a sample for the step after
/// `next` will be only one version old, so that slots which `next` leaves free
/// are used for it. `extra` steps more trade staleness for less idle time.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::run_ahead::last_step;
///
/// assert_eq!(last_step(7, true, 0), 7);
/// assert_eq!(last_step(7, false, 0), 8);
/// ```
#[must_use]
pub const fn last_step(next: u64, is_training: bool, extra: u64) -> u64 {
    let free = if is_training { 0 } else { 1 };
    next + free + extra
}

/// Returns the oldest weights version with which a sample is started now.
///
/// While samplers swap their weights, a sample that is not waited for goes to
/// one that has the new ones already: one started with the old ones would be a
/// version older for the few seconds that are saved.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::run_ahead::min_weights_version;
///
/// assert_eq!(min_weights_version(5, false), 5);
/// assert_eq!(min_weights_version(5, true), 0);
/// ```
#[must_use]
pub const fn min_weights_version(newest: u64, is_waited_for: bool) -> u64 {
    if is_waited_for { 0 } else { newest }
}
