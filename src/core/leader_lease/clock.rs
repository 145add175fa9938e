/// The platform's steady clock as one VM sees it.
///
/// Each answer says the time at which it was made, which lies between the
/// sending of the call and the arrival of the answer.
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

/// Offsets of the platform's clock from the local one.
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
#[derive(Clone, Copy, Debug)]
struct Bounds {
    least_offset_ms: i64,
    most_offset_ms: i64,
    noted_at_ms: u64,
}

/// How long bounds are kept before an answer that is less exact replaces
/// them, in milliseconds: clocks drift apart.
const KEEP_MS: u64 = 10_000;

impl PlatformClock {
    /// Notes the time that an answer said.
    pub fn on_answer(&mut self, sent_ms: u64, received_ms: u64, platform_ms: u64) {
        let newest = Bounds {
            least_offset_ms: signed(platform_ms) - signed(received_ms),
            most_offset_ms: signed(platform_ms) - signed(sent_ms),
            noted_at_ms: received_ms,
        };
        let is_better = self.bounds.is_none_or(|bounds| {
            let agrees = newest.least_offset_ms <= bounds.most_offset_ms
                && bounds.least_offset_ms <= newest.most_offset_ms;
            let is_narrower = newest.most_offset_ms - newest.least_offset_ms
                <= bounds.most_offset_ms - bounds.least_offset_ms;
            !agrees || is_narrower || received_ms > bounds.noted_at_ms + KEEP_MS
        });
        if is_better {
            self.bounds = Some(newest);
        }
    }

    /// Returns the least that the platform's clock can show now.
    #[must_use]
    pub fn earliest_ms(&self, now_ms: u64) -> Option<u64> {
        let bounds = self.bounds?;
        u64::try_from(signed(now_ms) + bounds.least_offset_ms).ok()
    }

    /// Returns the most that the platform's clock can show now.
    #[must_use]
    pub fn latest_ms(&self, now_ms: u64) -> Option<u64> {
        let bounds = self.bounds?;
        u64::try_from(signed(now_ms) + bounds.most_offset_ms).ok()
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
