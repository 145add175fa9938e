/// What an endpoint said of its load with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// How long a report of load is worth something, in milliseconds: requests of
/// other VMs come and go within about a second.
const REPORT_LIFETIME_MS: u64 = 1_000;

/// How long a refusal is worth something, in milliseconds: a place becomes free
/// or a load ends in about a tenth of a second where many requests run.
const REFUSAL_LIFETIME_MS: u64 = 100;

/// The load of one endpoint: this VM's own requests, which are known exactly,
/// and those of others, which reports tell with a lag.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests of this VM that are at the endpoint.
    pub in_flight: u32,
    others: u32,
    others_until_ms: u64,
}

impl Load {
    pub(crate) const DEFAULT: Self = Self {
        in_flight: 0,
        others: 0,
        others_until_ms: 0,
    };

    /// Notes a report that came with an answer to one of this VM's requests.
    pub fn on_report(&mut self, now_ms: u64, report: LoadReport) {
        let total = report.running.saturating_add(report.waiting);
        self.others = total.saturating_sub(self.in_flight);
        self.others_until_ms = now_ms + REPORT_LIFETIME_MS;
    }

    /// Notes a refusal: whatever it reports, the endpoint takes nothing now.
    pub fn on_refusal(&mut self, now_ms: u64, slots: u32) {
        self.others = self.others.max(slots);
        self.others_until_ms = now_ms + REFUSAL_LIFETIME_MS;
    }

    /// Returns how many requests the endpoint is taken to have.
    #[must_use]
    pub const fn total(&self, now_ms: u64) -> u32 {
        let is_fresh = now_ms < self.others_until_ms;
        self.in_flight + if is_fresh { self.others } else { 0 }
    }
}
