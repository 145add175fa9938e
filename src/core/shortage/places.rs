use super::WorkKind;

/// The number of requests that the endpoints of a service can take now, by kind.
///
/// Each kind has its own number, since endpoints are filled less by training work than by
/// callers. A start takes a place of every kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreePlaces {
    /// The places for requests and streams of callers.
    pub callers: u32,
    /// The places for samples.
    pub samples: u32,
    /// The places for score calls.
    pub score_calls: u32,
}

impl FreePlaces {
    /// Returns places that any kind may take.
    #[must_use]
    pub const fn of_any_kind(count: u32) -> Self {
        Self {
            callers: count,
            samples: count,
            score_calls: count,
        }
    }

    /// Returns the number of places for a kind.
    #[must_use]
    pub const fn of_kind(&self, kind: WorkKind) -> u32 {
        match kind {
            WorkKind::Request | WorkKind::Stream => self.callers,
            WorkKind::Sample => self.samples,
            WorkKind::ScoreCall => self.score_calls,
        }
    }

    /// Takes places.
    pub const fn take(&mut self, count: u32) {
        self.callers = self.callers.saturating_sub(count);
        self.samples = self.samples.saturating_sub(count);
        self.score_calls = self.score_calls.saturating_sub(count);
    }
}
