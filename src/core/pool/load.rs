/// The load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests that wait at it.
    pub waiting: u32,
    /// The number of requests that it can run at once.
    pub slots: u32,
}

/// How long a load report is used, in milliseconds: requests of other VMs start
/// and end within about a second.
const REPORT_LIFETIME_MS: u64 = 1_000;

/// How long an endpoint counts as full after a refusal, in milliseconds: where
/// many requests run, a slot becomes free or an endpoint finishes loading weights
/// within about a tenth of a second.
const REFUSAL_LIFETIME_MS: u64 = 100;
/// How often this time is doubled at most while an endpoint refuses: other VMs fill the
/// slots that become free.
const MAX_REFUSAL_DOUBLINGS: u32 = 2;

/// The number of requests at one endpoint.
///
/// This VM's own requests are known exactly, those of other VMs only from the
/// endpoint's reports, which lag behind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// The number of requests of this VM that are in flight at the endpoint.
    pub in_flight: u32,
    others_in_flight: u32,
    others_expire_at_ms: u64,
    /// The refusals since the endpoint last took a request of this VM.
    refusals: u32,
}

impl Load {
    pub(crate) const DEFAULT: Self = Self {
        in_flight: 0,
        others_in_flight: 0,
        others_expire_at_ms: 0,
        refusals: 0,
    };

    /// Records a load report from a response to one of this VM's requests.
    pub fn on_report(&mut self, now_ms: u64, report: LoadReport) {
        let total = report.running.saturating_add(report.waiting);
        self.others_in_flight = total.saturating_sub(self.in_flight);
        self.others_expire_at_ms = now_ms + REPORT_LIFETIME_MS;
    }

    /// Records that the endpoint took a request.
    pub const fn on_accepted(&mut self) {
        self.refusals = 0;
    }

    /// Records a refusal: the endpoint counts as full, whatever it reported.
    pub fn on_refusal(&mut self, now_ms: u64, slots: u32) {
        self.others_in_flight = self.others_in_flight.max(slots);
        let lifetime_ms = REFUSAL_LIFETIME_MS << self.refusals.min(MAX_REFUSAL_DOUBLINGS);
        self.refusals += 1;
        self.others_expire_at_ms = now_ms + lifetime_ms;
    }

    /// Returns the estimated number of requests at the endpoint.
    #[must_use]
    pub const fn total(&self, now_ms: u64) -> u32 {
        let is_fresh = now_ms < self.others_expire_at_ms;
        self.in_flight + if is_fresh { self.others_in_flight } else { 0 }
    }
}
