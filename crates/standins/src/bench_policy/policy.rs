//! What is compared: the decisions as they ship, each one left out, and the
//! plain baselines that they replace.

use serde::Serialize;

use super::{fault::Fault, workload::WorkloadName};

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Routing {
    /// `core::routing::choose`.
    Core,
    /// The same without what own requests met.
    CoreWithoutHealth,
    /// The same without prefix affinity.
    CoreWithoutAffinity,
    /// Any endpoint that takes work.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one that reported the least load.
    LeastReported,
}

/// What is done about slow samples.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StragglerHandling {
    /// Nothing.
    Wait,
    /// `core::straggler`: it goes on elsewhere.
    Move,
    /// A second one is started after twice the median time; the first to end counts.
    Duplicate,
}

/// Which steps are generated for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RunAhead {
    /// `core::run_ahead` with this many steps more.
    Core(u64),
    /// The step in hand and this many after it, at once.
    Steps(u64),
}

/// Each decision of the core can be left out alone.
#[expect(
    clippy::struct_excessive_bools,
    reason = "they do not depend on each other"
)]
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Policy {
    pub(super) name: &'static str,
    pub(super) is_baseline: bool,
    pub(super) routing: Routing,
    /// `core::admission` for callers.
    pub(super) has_admission: bool,
    /// `core::retry::RetryBudget` and back-off; without it, tries are not limited.
    pub(super) has_budget: bool,
    /// Samples are started as endpoints have room; else up to a fixed number.
    pub(super) has_sample_room: bool,
    pub(super) straggler: StragglerHandling,
    pub(super) ahead: RunAhead,
    /// Samples that are not waited for yet wait for new weights.
    pub(super) awaits_weights: bool,
}

const CORE: Policy = Policy {
    name: "core",
    is_baseline: false,
    routing: Routing::Core,
    has_admission: true,
    has_budget: true,
    has_sample_room: true,
    straggler: StragglerHandling::Move,
    ahead: RunAhead::Core(0),
    awaits_weights: true,
};

const fn baseline(name: &'static str, routing: Routing, ahead: u64) -> Policy {
    Policy {
        name,
        is_baseline: true,
        routing,
        has_admission: false,
        has_budget: false,
        has_sample_room: false,
        straggler: StragglerHandling::Wait,
        ahead: RunAhead::Steps(ahead),
        awaits_weights: false,
    }
}

const fn core_variant(name: &'static str) -> Policy {
    Policy { name, ..CORE }
}

/// What is compared.
pub(super) const POLICIES: [Policy; 16] = [
    CORE,
    baseline("random_0", Routing::Random, 0),
    baseline("random_1", Routing::Random, 1),
    baseline("round_robin_0", Routing::RoundRobin, 0),
    baseline("round_robin_1", Routing::RoundRobin, 1),
    baseline("least_reported_0", Routing::LeastReported, 0),
    baseline("least_reported_1", Routing::LeastReported, 1),
    Policy {
        routing: Routing::CoreWithoutHealth,
        ..core_variant("no_health")
    },
    Policy {
        routing: Routing::CoreWithoutAffinity,
        ..core_variant("no_affinity")
    },
    Policy {
        has_admission: false,
        ..core_variant("no_admission")
    },
    Policy {
        has_budget: false,
        ..core_variant("no_budget")
    },
    Policy {
        has_sample_room: false,
        ..core_variant("no_sample_room")
    },
    Policy {
        straggler: StragglerHandling::Wait,
        ..core_variant("no_straggler")
    },
    Policy {
        straggler: StragglerHandling::Duplicate,
        ..core_variant("duplicate")
    },
    Policy {
        ahead: RunAhead::Core(1),
        ..core_variant("extra_1")
    },
    Policy {
        awaits_weights: false,
        ..core_variant("no_awaiting")
    },
];

/// Returns whether a policy is compared on a workload: what single decisions
/// earn is measured on one of them.
pub(super) fn is_compared(policy: &Policy, workload: WorkloadName) -> bool {
    match workload {
        WorkloadName::Barek => true,
        WorkloadName::Rionegro => {
            policy.is_baseline || matches!(policy.name, "core" | "extra_1" | "no_straggler")
        }
        WorkloadName::Tenth => matches!(policy.name, "core" | "least_reported_0"),
    }
}

/// Returns whether a fault is played on a workload.
pub(super) fn is_simulated(fault: Fault, workload: WorkloadName) -> bool {
    workload != WorkloadName::Tenth || matches!(fault, Fault::None | Fault::ThirdGone)
}
