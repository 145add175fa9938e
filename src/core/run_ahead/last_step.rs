/// Returns the last step for which samples may be started.
///
/// `next` is the step that the trainer trains next. While the trainer is training,
/// a sample for `next` will be one version old when it is used, and a sample for
/// the step after `next` two versions old. While the trainer waits, a sample for
/// the step after `next` will be only one version old, so endpoint slots that
/// `next` does not need are used for it. `extra` more steps trade staleness for
/// less idle time.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::run_ahead::last_startable_step;
///
/// assert_eq!(last_startable_step(7, true, 0), 7);
/// assert_eq!(last_startable_step(7, false, 0), 8);
/// ```
#[must_use]
pub const fn last_startable_step(next: u64, is_training: bool, extra: u64) -> u64 {
    let steps_after_next = if is_training { 0 } else { 1 };
    next + steps_after_next + extra
}

/// Returns the oldest weights version with which a sample may be started now.
///
/// While samplers swap weights, a sample that no trainer waits for is sent to a
/// sampler that already has the new ones: starting it with the old ones would
/// save only a few seconds and make it a version older.
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
