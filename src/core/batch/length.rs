use std::collections::BTreeMap;

use crate::core::Name;

/// How many times longer than its hint a sample may be. Hints are right at the median
/// and often far off.
const HINT_ERROR_FACTOR: f64 = 2.5;
/// How many times longer than its events so far a sample may be while nothing else is
/// known of its length.
const UNKNOWN_LENGTH_FACTOR: f64 = 5.0;
/// How many times longer than its events so far a sample may be whatever its hint says.
const HINTED_LENGTH_FACTOR: f64 = 2.0;
/// The time that a move takes until the next event, in milliseconds.
const MOVE_MS: f64 = 250.0;
/// By how much earlier a sample has to end for a move, in milliseconds.
const MIN_MOVE_GAIN_MS: f64 = 200.0;
/// The weight of earlier samples against a new one.
const EARLIER_WEIGHT: f64 = 0.99;

/// How many events the samples of each model have, by their trainers' hints.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::SampleLengths;
///
/// let mut lengths = SampleLengths::default();
/// assert_eq!(lengths.hinted_events("m", 3_000), None);
/// lengths.on_complete(&"m".into(), 1_500, 20);
/// assert_eq!(lengths.hinted_events("m", 3_000), Some(40.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SampleLengths {
    /// The sums of hints and of events of complete samples, by model.
    sums: BTreeMap<Name, (f64, f64)>,
}

impl SampleLengths {
    /// Records a complete sample.
    pub fn on_complete(&mut self, model: &Name, length_hint: u64, events: u64) {
        let (hints, counts) = self.sums.entry(model.clone()).or_default();
        *hints = *hints * EARLIER_WEIGHT + to_f64(length_hint);
        *counts = *counts * EARLIER_WEIGHT + to_f64(events);
    }

    /// Returns about how many events a sample with this hint has, or `None` before a
    /// sample of the model was complete.
    #[must_use]
    pub fn hinted_events(&self, model: &str, length_hint: u64) -> Option<f64> {
        let (hints, counts) = self.sums.get(model)?;
        (*hints > 0.0).then(|| to_f64(length_hint) * counts / hints)
    }
}

/// Returns how likely a sample is among the longest of its batch, from 0 to 1.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::length_weight;
///
/// assert!((length_weight(400, 1_000) - 1.0).abs() < 1e-9);
/// assert!((length_weight(100, 1_000) - 0.25).abs() < 1e-9);
/// ```
#[must_use]
pub fn length_weight(length_hint: u64, longest_hint: u64) -> f64 {
    (HINT_ERROR_FACTOR * to_f64(length_hint) / to_f64(longest_hint.max(1))).min(1.0)
}

/// What is known of a run when it may move to an endpoint with another pace.
#[derive(Clone, Copy, Debug)]
pub struct RunInProgress {
    /// The events of the sample's text so far.
    pub events: u64,
    /// The events that its hint stands for, if samples of its model were complete.
    pub hinted_events: Option<f64>,
    /// When the sample is due.
    pub due_ms: u64,
}

impl RunInProgress {
    /// Returns whether the rest of the sample is expected to take less time at an
    /// endpoint that takes `there_ms` an event than here, with the move.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::batch::RunInProgress;
    ///
    /// let run = RunInProgress { events: 8, hinted_events: Some(30.0), due_ms: 7_500 };
    /// assert!(run.gains_by_move(100.0, 40.0));
    /// assert!(!RunInProgress { hinted_events: Some(9.0), ..run }.gains_by_move(100.0, 40.0));
    /// ```
    #[must_use]
    pub fn gains_by_move(&self, here_ms: f64, there_ms: f64) -> bool {
        let events = to_f64(self.events);
        let hinted = self.hinted_events.unwrap_or(events * HINTED_LENGTH_FACTOR);
        // A sample that is longer than its hint is about half done again.
        let left = (hinted - events).max(events / 2.0);
        left * (here_ms - there_ms) > MOVE_MS
    }

    /// Returns whether the sample may end too late at the endpoint that runs it, which
    /// takes `here_ms` an event, and earlier at one that takes `there_ms`.
    ///
    /// Only a sample that may be late is worth a move: a batch is as late as its
    /// longest samples.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::batch::RunInProgress;
    ///
    /// let run = RunInProgress { events: 8, hinted_events: Some(80.0), due_ms: 7_500 };
    /// assert!(run.should_move(400, 50.0, 40.0));
    /// // It cannot be late.
    /// assert!(!RunInProgress { hinted_events: Some(20.0), ..run }.should_move(400, 50.0, 40.0));
    /// // The other endpoint is about as fast.
    /// assert!(!run.should_move(400, 50.0, 49.0));
    /// ```
    #[must_use]
    pub fn should_move(&self, now_ms: u64, here_ms: f64, there_ms: f64) -> bool {
        let events = to_f64(self.events);
        let most_events = self
            .hinted_events
            .map_or(events * UNKNOWN_LENGTH_FACTOR, |hinted| {
                (hinted * HINT_ERROR_FACTOR).max(events * HINTED_LENGTH_FACTOR)
            });
        let left = (most_events - events).max(0.0);
        let time_left_ms = to_f64(self.due_ms.saturating_sub(now_ms));
        let may_be_late = left * here_ms > time_left_ms;
        may_be_late && left * (here_ms - there_ms) > MOVE_MS + MIN_MOVE_GAIN_MS
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times and lengths are far below 2^52"
)]
const fn to_f64(value: u64) -> f64 {
    value as f64
}
