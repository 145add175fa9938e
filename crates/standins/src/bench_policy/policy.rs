//! The compared policies: the decisions of the core, the core with one
//! decision disabled or changed, and the simple baselines that it replaces.

use serde::Serialize;

use super::{fault::Fault, workload::WorkloadName};

/// The rule by which a daemon chooses an endpoint for an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Routing {
    /// `core::routing::choose`.
    Core,
    /// `core::routing::choose` without the health learnt from own requests.
    CoreWithoutHealth,
    /// `core::routing::choose` without prefix affinity.
    CoreWithoutAffinity,
    /// A random eligible endpoint.
    Random,
    /// The eligible endpoints in rotation.
    RoundRobin,
    /// The eligible endpoint with the least reported load.
    LeastReported,
}

/// The handling of slow samples.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StragglerHandling {
    /// Waits for the slow sample.
    Wait,
    /// `core::straggler`: the sample resumes at another endpoint.
    Move,
    /// After twice the median duration, generates the sample a second time in
    /// parallel. The first of the two to finish counts.
    Duplicate,
}

/// The steps for which samples are generated ahead of training.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RunAhead {
    /// `core::run_ahead`, with this many additional steps.
    Core(u64),
    /// The next step to train and this many after it, all at the same time.
    Steps(u64),
}

/// A compared policy. Each decision of the core can be disabled on its own.
#[expect(
    clippy::struct_excessive_bools,
    reason = "they do not depend on each other"
)]
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Policy {
    pub(super) name: &'static str,
    pub(super) is_baseline: bool,
    pub(super) routing: Routing,
    /// Whether requests of callers pass through `core::admission`.
    pub(super) has_admission: bool,
    /// Whether retries use `core::retry::RetryBudget` and backoff. Without
    /// them, only the number of attempts after each admission is limited.
    pub(super) has_budget: bool,
    /// Whether samples are started according to the free slots of the
    /// endpoints. If not, a fixed number is generated at the same time.
    pub(super) has_sample_room: bool,
    pub(super) straggler: StragglerHandling,
    pub(super) ahead: RunAhead,
    /// Whether samples for which the trainer is not waiting yet need an
    /// endpoint with new weights.
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

/// All compared policies.
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

/// Returns whether a policy is compared on a workload.
///
/// The effect of each single decision is measured on `Barek` only.
pub(super) fn is_compared(policy: &Policy, workload: WorkloadName) -> bool {
    match workload {
        WorkloadName::Barek => true,
        WorkloadName::Rionegro => {
            policy.is_baseline || matches!(policy.name, "core" | "extra_1" | "no_straggler")
        }
        WorkloadName::Tenth => matches!(policy.name, "core" | "least_reported_0"),
    }
}

/// Returns whether a fault is simulated on a workload.
pub(super) fn is_simulated(fault: Fault, workload: WorkloadName) -> bool {
    workload != WorkloadName::Tenth || matches!(fault, Fault::None | Fault::ThirdGone)
}
