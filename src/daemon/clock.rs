use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time of the local monotonic clock, in milliseconds.
///
/// The clock also advances while the VM is suspended, unlike that of
/// [`std::time::Instant`], with which a lease would outlive a suspension.
#[must_use]
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// Only for times that people and callers are shown, and for incarnations: the
/// wall clock may jump.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Sleeps until [`now_ms`] reaches the given time.
pub(crate) async fn sleep_until(at_ms: u64) {
    while let Some(remaining_ms) = at_ms
        .checked_sub(now_ms())
        .filter(|remaining_ms| *remaining_ms > 0)
    {
        tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
    }
}
