use std::collections::BTreeMap;

/// When a caller's request counts as begun, from its attempts.
///
/// It counts once, at the time of the first attempt that was sent and not refused as not
/// run. An attempt counts as soon as it is sent, so that a request whose answer is late or
/// lost is not missed; its refusal takes the count back.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::RequestCount;
///
/// let mut request = RequestCount::default();
/// request.on_sent(1, 1_000);
/// request.on_sent(2, 1_200);
/// assert_eq!(request.begun_ms(), Some(1_000));
/// request.on_not_run(1);
/// assert_eq!(request.begun_ms(), Some(1_200));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestCount {
    /// When each attempt was sent of which none is known not to have run.
    sent_ms: BTreeMap<u32, u64>,
}

impl RequestCount {
    /// Records that an attempt is sent.
    pub fn on_sent(&mut self, attempt: u32, now_ms: u64) {
        self.sent_ms.insert(attempt, now_ms);
    }

    /// Records that an attempt did not run: it was refused, or not sent after all.
    pub fn on_not_run(&mut self, attempt: u32) {
        self.sent_ms.remove(&attempt);
    }

    /// Returns when the request began to run, if it did.
    #[must_use]
    pub fn begun_ms(&self) -> Option<u64> {
        self.sent_ms.values().min().copied()
    }
}
