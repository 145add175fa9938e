/// The time in which one more question may be asked, in milliseconds.
const QUESTION_INTERVAL_MS: u64 = 80;
/// The questions that may be asked at once, as their time, in milliseconds.
const MAX_AHEAD_MS: u64 = 240;

/// Bounds what samples and score calls that wait for permits cost in messages.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::rate_limit::QuestionBudget;
///
/// let mut budget = QuestionBudget::default();
/// let asked = (5_000..6_000).filter(|now_ms| budget.take(*now_ms)).count();
/// assert_eq!(asked, 16);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct QuestionBudget {
    /// When all questions so far are paid for.
    paid_at_ms: u64,
}

impl QuestionBudget {
    /// Takes one question from the budget; returns whether it may be asked.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let may_ask = self.paid_at_ms <= now_ms + MAX_AHEAD_MS;
        if may_ask {
            self.paid_at_ms = self.paid_at_ms.max(now_ms) + QUESTION_INTERVAL_MS;
        }
        may_ask
    }
}
