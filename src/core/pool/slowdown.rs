use std::collections::VecDeque;

/// How long a reported slowdown is taken to hold, in milliseconds: machines change
/// between slow and usual several times a second.
pub const SLOWDOWN_LIFETIME_MS: u64 = 300;
/// The most reports that are kept: those of the longest runs at a busy endpoint.
const MAX_REPORTS: usize = 64;
/// What an endpoint reports while work takes as long as usual.
const USUAL_PERCENT: u32 = 100;
/// The range of factors that are believed.
const MIN_PERCENT: u32 = 10;
const MAX_PERCENT: u32 = 2_000;

/// How long work takes on an endpoint's machine compared to what is usual there, as its
/// answers have told lately.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::pool::Slowdowns;
///
/// let mut slowdowns = Slowdowns::default();
/// slowdowns.on_report(1_000, 250);
/// assert_eq!(slowdowns.factor(1_200), Some(2.5));
/// // Too old to count.
/// assert_eq!(slowdowns.factor(1_300), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Slowdowns {
    /// The times of the reports and the factors, oldest first.
    reports: VecDeque<(u64, f64)>,
}

impl Slowdowns {
    pub(super) const fn new() -> Self {
        Self {
            reports: VecDeque::new(),
        }
    }

    /// Returns whether the endpoint has reported any slowdown.
    #[must_use]
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Records a report, in percent of the usual time.
    pub fn on_report(&mut self, now_ms: u64, percent: u32) {
        let percent = percent.clamp(MIN_PERCENT, MAX_PERCENT);
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports
            .push_back((now_ms, f64::from(percent) / f64::from(USUAL_PERCENT)));
    }

    /// Returns how many times as long as usual work takes now, if that is known.
    #[must_use]
    pub fn factor(&self, now_ms: u64) -> Option<f64> {
        let (at_ms, factor) = self.reports.back()?;
        (now_ms < at_ms + SLOWDOWN_LIFETIME_MS).then_some(*factor)
    }

    /// Returns the mean speed between two times, in shares of the usual one.
    ///
    /// Each moment counts with the report nearest to it, or as usual if there is none
    /// within [`SLOWDOWN_LIFETIME_MS`].
    #[must_use]
    pub fn mean_speed(&self, from_ms: u64, until_ms: u64) -> f64 {
        if until_ms <= from_ms {
            return 1.0;
        }
        let mut excess = 0.0;
        for (index, (at_ms, factor)) in self.reports.iter().enumerate() {
            let midpoint = |other: &(u64, f64)| u64::midpoint(other.0, *at_ms);
            let earlier = index.checked_sub(1).and_then(|i| self.reports.get(i));
            let begin_ms = at_ms.saturating_sub(SLOWDOWN_LIFETIME_MS);
            let begin_ms = begin_ms.max(earlier.map_or(0, midpoint)).max(from_ms);
            let end_ms = at_ms + SLOWDOWN_LIFETIME_MS;
            let next = self.reports.get(index + 1);
            let end_ms = end_ms.min(next.map_or(u64::MAX, midpoint)).min(until_ms);
            excess += to_f64(end_ms.saturating_sub(begin_ms)) * (1.0 / factor - 1.0);
        }
        1.0 + excess / to_f64(until_ms - from_ms)
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
const fn to_f64(value: u64) -> f64 {
    value as f64
}
