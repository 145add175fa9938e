use strum::Display;

/// A run counts as silent after this many times the typical time per event.
const SILENCE_FACTOR: f64 = 8.0;
/// The shortest time without events after which a run counts as silent, in
/// milliseconds. Events arrive in bursts when an endpoint processes prompts or
/// its responses queue in the network.
const MIN_SILENCE_MS: f64 = 250.0;
/// The time without events after which a run counts as silent while no typical
/// time per event is known, in milliseconds.
const DEFAULT_SILENCE_MS: f64 = 1_200.0;
/// A run counts as slow above this many times the typical time per event.
const SLOW_FACTOR: f64 = 1.8;
/// The fewest events from which a run's time per event is computed.
const MIN_MEASURED_EVENTS: u32 = 4;
/// The fewest events whose pace is about that of the endpoint: it pauses while it reads
/// the prompts of other requests.
const MIN_ENDPOINT_EVENTS: u32 = 8;

/// The largest [`start_wait_factor`], given to the shortest samples.
const MAX_START_WAIT_FACTOR: u64 = 4;

/// Returns for how many silence timeouts a run may wait to start before it is
/// moved to another endpoint.
///
/// A batch is as late as its longest samples; moving any other sample costs a
/// connection and gains nothing. The factor is the ratio of the longest hint to
/// the sample's own, between 1 and 4.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::start_wait_factor;
///
/// assert_eq!(start_wait_factor(900, 1_000), 1);
/// assert_eq!(start_wait_factor(300, 1_000), 3);
/// assert_eq!(start_wait_factor(0, 1_000), 4);
/// ```
#[must_use]
pub fn start_wait_factor(length_hint: u64, longest_hint: u64) -> u64 {
    let ratio = longest_hint / length_hint.max(1);
    ratio.clamp(1, MAX_START_WAIT_FACTOR)
}

/// How the progress of a run compares to the typical one.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunVerdict {
    /// Events arrive at about the typical rate.
    Steady,
    /// Events arrive more slowly than on a typical endpoint.
    Slow,
    /// No event has arrived for too long.
    Silent,
}

/// Measures the time per event of one run.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::{RunPace, RunVerdict};
///
/// let mut pace = RunPace::new(0);
/// for event in 1..=5 {
///     pace.on_event(event * 200);
/// }
/// assert_eq!(pace.verdict(1_010, Some(40.0)), RunVerdict::Slow);
/// assert_eq!(pace.verdict(1_010, Some(180.0)), RunVerdict::Steady);
/// assert_eq!(pace.verdict(5_000, Some(180.0)), RunVerdict::Silent);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RunPace {
    last_progress_ms: u64,
    first_event_ms: Option<u64>,
    events: u32,
}

impl RunPace {
    /// Starts measuring a run that begins now.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self {
            last_progress_ms: now_ms,
            first_event_ms: None,
            events: 0,
        }
    }

    /// Records the arrival of an event.
    pub fn on_event(&mut self, now_ms: u64) {
        self.first_event_ms.get_or_insert(now_ms);
        self.last_progress_ms = now_ms;
        self.events += 1;
    }

    /// Returns when the last event arrived, or when the run started if none has.
    #[must_use]
    pub const fn last_progress_ms(&self) -> u64 {
        self.last_progress_ms
    }

    /// Returns when the first event arrived.
    #[must_use]
    pub const fn first_event_ms(&self) -> Option<u64> {
        self.first_event_ms
    }

    /// Returns the mean time per event in milliseconds, or `None` before four
    /// events.
    #[must_use]
    pub fn ms_per_event(&self) -> Option<f64> {
        let first_event_ms = self
            .first_event_ms
            .filter(|_| self.events >= MIN_MEASURED_EVENTS)?;
        let span_ms = u32::try_from(self.last_progress_ms - first_event_ms).unwrap_or(u32::MAX);
        Some(f64::from(span_ms) / f64::from(self.events - 1))
    }

    /// Returns the mean time per event in milliseconds once there are enough events for
    /// it to be about that of the endpoint.
    #[must_use]
    pub fn endpoint_ms_per_event(&self) -> Option<f64> {
        self.ms_per_event()
            .filter(|_| self.events >= MIN_ENDPOINT_EVENTS)
    }

    /// Returns whether the last event was the first after which the pace of the run is
    /// about that of its endpoint.
    #[must_use]
    pub const fn is_first_measured(&self) -> bool {
        self.events == MIN_ENDPOINT_EVENTS
    }

    /// Returns when the run counts as silent if no further event arrives.
    ///
    /// `typical_ms` is the typical time per event.
    #[must_use]
    pub fn silent_at_ms(&self, typical_ms: Option<f64>) -> u64 {
        let silence_ms = typical_ms.map_or(DEFAULT_SILENCE_MS, |typical| {
            (typical * SILENCE_FACTOR).max(MIN_SILENCE_MS)
        });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float converted to an integer saturates"
        )]
        let silence_ms = silence_ms as u64;
        self.last_progress_ms + silence_ms
    }

    /// Compares the run to the typical time per event, `typical_ms`.
    #[must_use]
    pub fn verdict(&self, now_ms: u64, typical_ms: Option<f64>) -> RunVerdict {
        if now_ms >= self.silent_at_ms(typical_ms) {
            return RunVerdict::Silent;
        }
        match (self.ms_per_event(), typical_ms) {
            (Some(ms_per_event), Some(typical)) if ms_per_event > SLOW_FACTOR * typical => {
                RunVerdict::Slow
            }
            _ => RunVerdict::Steady,
        }
    }
}
