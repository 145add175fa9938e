use strum::{Display, IntoStaticStr};

use crate::{
    core::{Name, config::EndpointSettings, routing::Health},
    wire::engine::Load,
};

/// The age from which on routing ignores a load report.
pub const MAX_LOAD_REPORT_AGE_MS: u64 = 12_000;

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// It takes work.
    Serving,
    /// It is about to shut down and receives no new work.
    Leaving,
    /// It did not answer its last poll, or a request failed there recently.
    Down,
}

/// How a daemon uses an endpoint.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Usage {
    /// The daemon neither polls the endpoint nor sends work to it.
    Unused,
    /// The daemon polls the endpoint, because it holds the lease of its service.
    Watched,
    /// The daemon sends work to the endpoint only if its own data centre has no
    /// capacity left.
    Spare,
    /// The daemon sends work to the endpoint.
    Used,
}

/// The state of an endpoint of a service, as known to this daemon.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's name.
    pub name: Name,
    /// The endpoint's configuration.
    pub settings: EndpointSettings,
    /// How this daemon uses the endpoint.
    pub usage: Usage,
    /// Whether the platform lists the endpoint's VM as leaving.
    pub is_listed_leaving: bool,
    /// The number of this daemon's requests that run at the endpoint.
    pub in_flight: u32,
    /// The value of `in_flight` when the last load report arrived.
    pub in_flight_at_report: u32,
    /// The latencies and failures of this daemon's requests at the endpoint.
    pub health: Health,
    /// The last load report.
    pub load: Load,
    /// The time at which the last load report arrived; 0 before the first one.
    pub reported_at_ms: u64,
    /// The time until which the endpoint counts as down after a failure.
    pub down_until_ms: u64,
    /// Whether the last poll was not answered.
    pub is_unanswered: bool,
    /// The time of the next poll.
    pub poll_at_ms: u64,
}

impl Endpoint {
    /// Creates an endpoint without a load report.
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

    /// Returns the state of the endpoint at `now_ms`.
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

    /// Returns the number of requests that run or wait at the endpoint.
    ///
    /// This is the number of the last load report, unless that is too old,
    /// adjusted by the requests that this daemon has started and ended since.
    #[must_use]
    pub fn backlog(&self, now_ms: u64) -> u32 {
        let reported = self
            .fresh_load(now_ms)
            .map_or(0, |load| load.running + load.queued);
        reported.saturating_sub(self.in_flight_at_report) + self.in_flight
    }

    /// Returns the last load report, unless it is as old as
    /// [`MAX_LOAD_REPORT_AGE_MS`].
    ///
    /// Without a report, only this daemon's own requests at the endpoint are
    /// known.
    #[must_use]
    pub fn fresh_load(&self, now_ms: u64) -> Option<&Load> {
        let is_fresh =
            self.reported_at_ms > 0 && now_ms < self.reported_at_ms + MAX_LOAD_REPORT_AGE_MS;
        is_fresh.then_some(&self.load)
    }

    /// Returns whether no request is known to run or wait at the endpoint.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.load.running == 0 && self.load.queued == 0
    }
}
