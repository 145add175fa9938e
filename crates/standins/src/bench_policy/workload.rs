//! The simulated workloads: the sizes of the users, and a tenth of the
//! planned size.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A workload by name.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum WorkloadName {
    /// Four data centres, 10 samplers, 5 plain endpoints; idle time has
    /// the larger weight.
    Barek,
    /// Three data centres, 10 samplers, 15 plain endpoints; staleness has
    /// the larger weight.
    Rionegro,
    /// A tenth of the planned size.
    Tenth,
}

/// A service and the load from its callers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLoad {
    pub(super) name: &'static str,
    pub(super) is_model: bool,
    pub(super) endpoints: usize,
    /// The number of requests that one endpoint runs concurrently.
    pub(super) slots: u32,
    /// The duration of a plain call, or of a token at a model endpoint with all
    /// slots busy.
    pub(super) unit_ms: f64,
    pub(super) requests_per_s: f64,
}

/// The sizes, load and durations of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Workload {
    pub(super) data_centres: usize,
    pub(super) daemons: usize,
    /// The model service, then the plain service.
    pub(super) services: [ServiceLoad; 2],
    pub(super) trainers: usize,
    pub(super) groups: u32,
    pub(super) samples_per_group: u32,
    pub(super) mean_tokens: f64,
    pub(super) max_tokens: u32,
    pub(super) train_ms: u64,
    pub(super) swap_ms: u64,
    pub(super) end_ms: u64,
    /// The shortest interval at which a daemon reads the load reports.
    pub(super) min_report_ms: u64,
    /// The longest interval at which a daemon reads the load reports.
    pub(super) max_report_ms: u64,
    /// The weight of idle time in the score; staleness has the rest of 1.
    pub(super) idle_weight: f64,
}

pub(super) const CALLER_TIMEOUT_MS: u64 = 10_000;
pub(super) const STALENESS_BOUND: u64 = 4;
/// The number of steps that a trainer keeps open.
pub(super) const OPEN_STEPS: u64 = 3;

impl WorkloadName {
    pub(super) const fn workload(self) -> Workload {
        match self {
            Self::Barek => Workload {
                data_centres: 4,
                services: [model("demand-lm", 10, 20.0), plain("slip-api", 5, 60.0)],
                idle_weight: 0.7,
                ..BASE
            },
            Self::Rionegro => Workload {
                data_centres: 3,
                services: [model("advisor-llm", 10, 15.0), plain("setup-app", 15, 90.0)],
                idle_weight: 0.3,
                ..BASE
            },
            Self::Tenth => Workload {
                data_centres: 3,
                daemons: 36,
                services: [model("llm", 260, 90.0), plain("app", 40, 40.0)],
                groups: 1_024,
                end_ms: 180_000,
                min_report_ms: 2_000,
                max_report_ms: 3_000,
                idle_weight: 0.5,
                ..BASE
            },
        }
    }
}

const BASE: Workload = Workload {
    data_centres: 4,
    daemons: 12,
    services: [model("", 10, 0.0), plain("", 5, 0.0)],
    trainers: 2,
    groups: 48,
    samples_per_group: 8,
    mean_tokens: 250.0,
    max_tokens: 1_024,
    train_ms: 60_000,
    swap_ms: 1_500,
    end_ms: 600_000,
    min_report_ms: 500,
    max_report_ms: 1_000,
    idle_weight: 0.5,
};

const fn model(name: &'static str, endpoints: usize, requests_per_s: f64) -> ServiceLoad {
    ServiceLoad {
        name,
        is_model: true,
        endpoints,
        slots: 16,
        unit_ms: 25.0,
        requests_per_s,
    }
}

const fn plain(name: &'static str, endpoints: usize, requests_per_s: f64) -> ServiceLoad {
    ServiceLoad {
        name,
        is_model: false,
        endpoints,
        slots: 4,
        unit_ms: 60.0,
        requests_per_s,
    }
}
