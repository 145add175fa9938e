use super::{Purpose, RateLimit};

/// The limit of one endpoint as this VM knows it, and what follows for its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    limit: Option<RateLimit>,
    /// When an answer named the limit.
    named_ms: u64,
    /// The requests sent without a permit that no issuer has been told of.
    sent_without_permit: u32,
    /// Until when no permit is available.
    denied_until_ms: u64,
}

impl NamedLimit {
    pub(crate) const UNKNOWN: Self = Self {
        limit: None,
        named_ms: 0,
        sent_without_permit: 0,
        denied_until_ms: 0,
    };

    /// Records an answer that names a limit; `had_permit` tells whether its request was
    /// sent with a permit.
    pub const fn on_named(&mut self, now_ms: u64, limit: RateLimit, had_permit: bool) {
        self.limit = Some(limit);
        self.named_ms = now_ms;
        if !had_permit {
            self.sent_without_permit = self.sent_without_permit.saturating_add(1);
        }
    }

    /// Records an answer that names no limit.
    pub const fn on_lifted(&mut self) {
        *self = Self::UNKNOWN;
    }

    /// Records that no permit is available before a time.
    pub const fn on_denied(&mut self, until_ms: u64) {
        self.denied_until_ms = until_ms;
    }

    /// Returns the limit, if one is in force.
    #[must_use]
    pub const fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns how long ago the limit was named.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.named_ms)
    }

    /// Returns and clears the number of requests that were sent without a permit.
    pub const fn take_sent_without_permit(&mut self) -> u32 {
        let count = self.sent_without_permit;
        self.sent_without_permit = 0;
        count
    }

    /// Returns until when no permit is available.
    #[must_use]
    pub const fn denied_until_ms(&self) -> u64 {
        self.denied_until_ms
    }

    /// Returns whether a request may ask for a permit now, or needs none.
    #[must_use]
    pub const fn allows(&self, now_ms: u64, purpose: Purpose) -> bool {
        match (self.limit, purpose) {
            (None, _) => true,
            (Some(_), Purpose::Hedge) => false,
            (Some(_), _) => self.denied_until_ms <= now_ms,
        }
    }
}
