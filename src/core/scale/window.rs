use std::collections::VecDeque;

/// The values of a figure over a time that ends now.
#[derive(Clone, Debug)]
pub(super) struct Window {
    span_ms: u64,
    began_ms: Option<u64>,
    values: VecDeque<(u64, u32)>,
}

impl Window {
    pub(super) const fn new(span_ms: u64) -> Self {
        Self {
            span_ms,
            began_ms: None,
            values: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, now_ms: u64, value: u32) {
        self.began_ms.get_or_insert(now_ms);
        let span_ms = self.span_ms;
        self.values.push_back((now_ms, value));
        while self
            .values
            .front()
            .is_some_and(|(at_ms, _)| at_ms + span_ms < now_ms)
        {
            self.values.pop_front();
        }
    }

    /// Returns whether the values cover the whole time.
    pub(super) fn is_full(&self, now_ms: u64) -> bool {
        self.began_ms
            .is_some_and(|began_ms| began_ms + self.span_ms <= now_ms)
    }

    pub(super) fn max(&self) -> u32 {
        self.values
            .iter()
            .map(|(_, value)| *value)
            .max()
            .unwrap_or(0)
    }

    pub(super) fn min(&self) -> u32 {
        self.values
            .iter()
            .map(|(_, value)| *value)
            .min()
            .unwrap_or(0)
    }
}
