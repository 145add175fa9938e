/// How much slower than usual a sample has to be.
const SLOW_FACTOR: f64 = 2.0;
/// The least time between two looks that are compared, in milliseconds.
const MIN_ELAPSED_MS: u64 = 1_000;

/// How far a sample has come at the endpoint where it runs.
#[derive(Clone, Copy, Debug)]
pub struct SampleProgress {
    /// When it was sent there.
    pub started_ms: u64,
    /// The tokens that came from there.
    pub tokens: u32,
    /// Whether the step has no slot left to start.
    pub is_tail: bool,
}

/// Returns whether a sample is to go on at another endpoint.
///
/// A slow endpoint is still capacity while there are slots to start. Once
/// there are none, slots elsewhere fall free, and what is much slower than
/// usual goes on there from the tokens that it has, so that none is wasted.
/// Length alone makes no straggler: a long sample at full speed would only
/// lose its cache by moving.
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
    // One token more than has come, so that the first may be under way.
    let usual_ms = f64::from(progress.tokens + 1) * typical_token_ms;
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let elapsed_ms = elapsed_ms as f64;
    elapsed_ms > SLOW_FACTOR * usual_ms
}
