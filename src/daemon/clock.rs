use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time of the local monotonic clock, in milliseconds.
///
/// The clock goes on counting while the VM is suspended: a lease must not
/// outlive a suspension, as it would with the clock of [`std::time::Instant`].
#[must_use]
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the wall clock in milliseconds since the Unix epoch; only for what
/// people and callers are told.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Sleeps until a time of [`now_ms`].
pub(crate) async fn sleep_until(at_ms: u64) {
    while let Some(left_ms) = at_ms.checked_sub(now_ms()).filter(|left_ms| *left_ms > 0) {
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
    }
}
