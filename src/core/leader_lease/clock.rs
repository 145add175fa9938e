/// One VM's bounds on the platform's monotonic clock.
///
/// Each response states the platform's time when it was made, which lies between
/// the sending of the request and the arrival of the response.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::leader_lease::PlatformClock;
///
/// let mut clock = PlatformClock::default();
/// clock.on_answer(100, 104, 50_000);
/// assert_eq!(clock.earliest_ms(200), Some(50_096));
/// assert_eq!(clock.latest_ms(200), Some(50_100));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformClock {
    bounds: Option<Bounds>,
}

/// Bounds on the offset of the platform's clock from the local one.
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
#[derive(Clone, Copy, Debug)]
struct Bounds {
    min_offset_ms: i64,
    max_offset_ms: i64,
    recorded_at_ms: u64,
}

/// How long bounds are kept before wider ones replace them, in milliseconds:
/// clocks drift apart.
const MAX_BOUNDS_AGE_MS: u64 = 10_000;

impl PlatformClock {
    /// Records the platform's time from a response, `platform_ms`, with the local
    /// times at which the request was sent and the response received.
    pub fn on_answer(&mut self, sent_ms: u64, received_ms: u64, platform_ms: u64) {
        let newest = Bounds {
            min_offset_ms: to_signed(platform_ms) - to_signed(received_ms),
            max_offset_ms: to_signed(platform_ms) - to_signed(sent_ms),
            recorded_at_ms: received_ms,
        };
        let replaces = self.bounds.is_none_or(|bounds| {
            let overlaps = newest.min_offset_ms <= bounds.max_offset_ms
                && bounds.min_offset_ms <= newest.max_offset_ms;
            let is_narrower = newest.max_offset_ms - newest.min_offset_ms
                <= bounds.max_offset_ms - bounds.min_offset_ms;
            !overlaps || is_narrower || received_ms > bounds.recorded_at_ms + MAX_BOUNDS_AGE_MS
        });
        if replaces {
            self.bounds = Some(newest);
        }
    }

    /// Returns the lower bound of the platform's time at the local time `now_ms`,
    /// or `None` before the first response.
    #[must_use]
    pub fn earliest_ms(&self, now_ms: u64) -> Option<u64> {
        let bounds = self.bounds?;
        u64::try_from(to_signed(now_ms) + bounds.min_offset_ms).ok()
    }

    /// Returns the upper bound of the platform's time at the local time `now_ms`,
    /// or `None` before the first response.
    #[must_use]
    pub fn latest_ms(&self, now_ms: u64) -> Option<u64> {
        let bounds = self.bounds?;
        u64::try_from(to_signed(now_ms) + bounds.max_offset_ms).ok()
    }
}

fn to_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
