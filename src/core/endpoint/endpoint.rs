use strum::{Display, IntoStaticStr};

use crate::{
    core::{Name, config::EndpointSettings, routing::Health},
    wire::engine::Load,
};

/// How old a load report may be before routing does without it.
pub const MAX_LOAD_REPORT_AGE_MS: u64 = 12_000;

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// It takes work.
    Serving,
    /// It is about to go and gets no new work.
    Leaving,
    /// It did not answer lately.
    Down,
}

/// What a daemon does with an endpoint.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Usage {
    /// It neither sends work there nor polls it.
    Unused,
    /// It polls the endpoint, because it holds the lease of its service.
    Watched,
    /// It sends work there only when its own data centre has no room.
    Spare,
    /// It sends work there.
    Used,
}

/// One endpoint of one service, as this daemon sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's name.
    pub name: Name,
    /// What the configuration says of it.
    pub settings: EndpointSettings,
    /// What this daemon does with it.
    pub usage: Usage,
    /// Whether the platform lists the endpoint's VM as leaving.
    pub is_listed_leaving: bool,
    /// Requests of this daemon that run there.
    pub in_flight: u32,
    /// Requests of this daemon that ran there at the last load report.
    pub in_flight_at_report: u32,
    /// What this daemon's own requests met there.
    pub health: Health,
    /// The last load report.
    pub load: Load,
    /// When the last load report came in.
    pub reported_at_ms: u64,
    /// Until when the endpoint is left alone after a failure.
    pub down_until_ms: u64,
    /// Whether the last poll was not answered.
    pub is_unanswered: bool,
    /// When to poll the endpoint next.
    pub poll_at_ms: u64,
}

impl Endpoint {
    /// Creates an endpoint that has reported nothing yet.
    #[must_use]
    pub fn new(name: Name, settings: EndpointSettings) -> Self {
        Self {
            name,
            settings,
            usage: Usage::Used,
            is_listed_leaving: false,
            in_flight: 0,
            in_flight_at_report: 0,
            health: Health::default(),
            load: Load::default(),
            reported_at_ms: 0,
            down_until_ms: 0,
            is_unanswered: false,
            poll_at_ms: 0,
        }
    }

    /// Returns the state now.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> EndpointState {
        if self.settings.leaving || self.is_listed_leaving {
            EndpointState::Leaving
        } else if self.is_unanswered || now_ms < self.down_until_ms {
            EndpointState::Down
        } else {
            EndpointState::Serving
        }
    }

    /// Returns the requests that run or wait there: the last report, unless it
    /// is too old, with what this daemon has started and ended since then.
    #[must_use]
    pub fn backlog(&self, now_ms: u64) -> u32 {
        let reported = self
            .fresh_load(now_ms)
            .map_or(0, |load| load.running + load.queued);
        reported.saturating_sub(self.in_flight_at_report) + self.in_flight
    }

    /// Returns the last load report, unless it is too old to decide by.
    ///
    /// Without it only this daemon's own requests there are known.
    #[must_use]
    pub fn fresh_load(&self, now_ms: u64) -> Option<&Load> {
        let is_fresh =
            self.reported_at_ms > 0 && now_ms < self.reported_at_ms + MAX_LOAD_REPORT_AGE_MS;
        is_fresh.then_some(&self.load)
    }

    /// Returns whether nothing is known to run there.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.load.running == 0 && self.load.queued == 0
    }
}
