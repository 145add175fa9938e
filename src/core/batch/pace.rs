use strum::Display;

/// How many times the usual time between events a run may be silent.
const SILENT_FACTOR: f64 = 8.0;
/// The least silence that counts, in milliseconds: events come in clumps when
/// an endpoint reads prompts or its answers queue on the way.
const MIN_SILENT_MS: f64 = 250.0;
/// The silence that counts where no usual time is known, in milliseconds.
const UNKNOWN_SILENT_MS: f64 = 1_200.0;
/// How many times the usual time per event makes a run slow.
const SLOW_FACTOR: f64 = 1.8;
/// After how many events the pace of a run is judged.
const JUDGED_EVENTS: u32 = 4;

/// At most so many times the usual silence the shortest samples wait.
const MAX_PATIENCE: u64 = 4;

/// Returns how many times the usual silence a run waits to begin before it is
/// moved: a batch is as late as its longest samples, and moving any other costs
/// a connection and gains nothing.
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
    ratio.clamp(1, MAX_PATIENCE)
}

/// What is to be done about a run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunVerdict {
    /// It goes as expected.
    Steady,
    /// It brings events more slowly than others would.
    Slow,
    /// It brings nothing.
    Silent,
}

/// The pace of one run against what is usual.
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
    last_ms: u64,
    first_ms: Option<u64>,
    events: u32,
}

impl RunPace {
    /// Creates the pace of a run that starts now.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self {
            last_ms: now_ms,
            first_ms: None,
            events: 0,
        }
    }

    /// Notes an event.
    pub fn on_event(&mut self, now_ms: u64) {
        self.first_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
        self.events += 1;
    }

    /// Returns when the last event came, or the run started.
    #[must_use]
    pub const fn last_progress_ms(&self) -> u64 {
        self.last_ms
    }

    /// Returns the time per event, once it can be judged, in milliseconds.
    #[must_use]
    pub fn ms_per_event(&self) -> Option<f64> {
        let first_ms = self.first_ms.filter(|_| self.events >= JUDGED_EVENTS)?;
        let span_ms = u32::try_from(self.last_ms - first_ms).unwrap_or(u32::MAX);
        Some(f64::from(span_ms) / f64::from(self.events - 1))
    }

    /// Returns when the run counts as silent if nothing comes before.
    #[must_use]
    pub fn silent_at_ms(&self, typical_ms: Option<f64>) -> u64 {
        let silence_ms = typical_ms.map_or(UNKNOWN_SILENT_MS, |typical| {
            (typical * SILENT_FACTOR).max(MIN_SILENT_MS)
        });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float converted to an integer saturates"
        )]
        let silence_ms = silence_ms as u64;
        self.last_ms + silence_ms
    }

    /// Judges the run; `typical_ms` is the usual time per event.
    #[must_use]
    pub fn verdict(&self, now_ms: u64, typical_ms: Option<f64>) -> RunVerdict {
        if now_ms >= self.silent_at_ms(typical_ms) {
            return RunVerdict::Silent;
        }
        match (self.ms_per_event(), typical_ms) {
            (Some(pace), Some(typical)) if pace > SLOW_FACTOR * typical => RunVerdict::Slow,
            _ => RunVerdict::Steady,
        }
    }
}
