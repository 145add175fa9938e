/// A sample is a straggler if it takes more than this many times the typical time.
const SLOW_FACTOR: f64 = 2.0;
/// The shortest time at an endpoint after which a sample is judged, in
/// milliseconds.
const MIN_ELAPSED_MS: u64 = 1_000;

/// The progress of a sample at the endpoint that runs it.
#[derive(Clone, Copy, Debug)]
pub struct SampleProgress {
    /// When the sample was sent to the endpoint.
    pub started_ms: u64,
    /// The number of tokens received from the endpoint.
    pub tokens: u32,
    /// Whether the step has no more slots to start.
    pub is_tail: bool,
}

/// Returns whether a sample should resume at another endpoint.
///
/// A slow endpoint is useful capacity while the step has slots to start. Once
/// there are none, capacity becomes free elsewhere, and a sample that is much
/// slower than typical resumes there after the tokens that it has, so that none
/// are wasted. A sample is not a straggler because it is long: at full speed, it
/// would only lose its cache by moving.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::straggler::{SampleProgress, is_straggler};
///
/// let slow = SampleProgress { started_ms: 0, tokens: 20, is_tail: true };
/// assert!(is_straggler(4_000, slow, 30.0));
/// assert!(!is_straggler(4_000, SampleProgress { tokens: 130, ..slow }, 30.0));
/// assert!(!is_straggler(4_000, SampleProgress { is_tail: false, ..slow }, 30.0));
/// ```
#[must_use]
pub fn is_straggler(now_ms: u64, progress: SampleProgress, typical_token_ms: f64) -> bool {
    let elapsed_ms = now_ms.saturating_sub(progress.started_ms);
    if !progress.is_tail || elapsed_ms < MIN_ELAPSED_MS {
        return false;
    }
    // One token more than received, as the next one may be in progress.
    let typical_ms = f64::from(progress.tokens + 1) * typical_token_ms;
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let elapsed_ms = elapsed_ms as f64;
    elapsed_ms > SLOW_FACTOR * typical_ms
}
