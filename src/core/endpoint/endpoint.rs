use strum::{Display, IntoStaticStr};

use crate::{
    core::{Name, config::EndpointSettings, routing::Health},
    wire::engine::Load,
};

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

/// One endpoint of one service, as this daemon sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's name.
    pub name: Name,
    /// What the configuration says of it.
    pub settings: EndpointSettings,
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
}

impl Endpoint {
    /// Creates an endpoint that has reported nothing yet.
    #[must_use]
    pub fn new(name: Name, settings: EndpointSettings) -> Self {
        Self {
            name,
            settings,
            in_flight: 0,
            in_flight_at_report: 0,
            health: Health::default(),
            load: Load::default(),
            reported_at_ms: 0,
            down_until_ms: 0,
        }
    }

    /// Returns the state now.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> EndpointState {
        if self.settings.leaving {
            EndpointState::Leaving
        } else if now_ms < self.down_until_ms {
            EndpointState::Down
        } else {
            EndpointState::Serving
        }
    }

    /// Returns the requests that run or wait there: the last report, with what
    /// this daemon has started and ended since then.
    #[must_use]
    pub fn backlog(&self) -> u32 {
        let of_others =
            (self.load.running + self.load.queued).saturating_sub(self.in_flight_at_report);
        of_others + self.in_flight
    }
}
