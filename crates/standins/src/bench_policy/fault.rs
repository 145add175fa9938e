//! The simulated faults and when they are active.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::{endpoint::FakeEndpoint, workload::Workload};

/// A fault by name.
///
/// All faults but `None` and `StoreDown` are active in the middle third of a run.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// No fault.
    None,
    /// Every third endpoint is four times as slow and fails one attempt in four.
    Brownout,
    /// Every third endpoint has crashed.
    ThirdGone,
    /// The endpoints of one data centre are unreachable.
    DataCentreGone,
    /// The platform's store accepts no commits for two minutes, from one third
    /// of the run.
    StoreDown,
    /// A request that crashes every endpoint that runs it is sent repeatedly.
    CrashLoop,
    /// Callers send twice as many requests.
    TwiceTheLoad,
    /// Each endpoint in turn is four times as slow for half a minute.
    Stragglers,
    /// Weights take ten times as long to load.
    SlowSwaps,
}

/// Returns the start and the end of a fault in milliseconds of the run.
pub(super) const fn window(fault: Fault, workload: &Workload) -> (u64, u64) {
    const STORE_DOWN_MS: u64 = 120_000;
    let from_ms = workload.end_ms / 3;
    match fault {
        Fault::StoreDown => (from_ms, from_ms + STORE_DOWN_MS),
        _ => (from_ms, 2 * from_ms),
    }
}

/// Applies a fault to the endpoint at `index` in its service.
///
/// Resets the endpoint to normal if the fault is not active.
pub(super) fn apply(
    fault: Fault,
    is_on: bool,
    now_ms: u64,
    index: usize,
    endpoint: &mut FakeEndpoint,
) {
    const SLOW_FACTOR: f64 = 4.0;
    const STRAGGLER_INTERVAL_MS: u64 = 30_000;
    const STRAGGLER_INTERVALS: u64 = 8;
    endpoint.slow_factor = 1.0;
    endpoint.failure_percent = 0;
    endpoint.is_reachable = true;
    if !is_on {
        endpoint.is_up = true;
        return;
    }
    let is_in_affected_third = index.is_multiple_of(3);
    match fault {
        Fault::Brownout if is_in_affected_third => {
            endpoint.slow_factor = SLOW_FACTOR;
            endpoint.failure_percent = 25;
        }
        Fault::ThirdGone => endpoint.is_up = !is_in_affected_third,
        Fault::DataCentreGone => endpoint.is_reachable = endpoint.data_centre != 0,
        Fault::Stragglers
            if index as u64 % STRAGGLER_INTERVALS
                == now_ms / STRAGGLER_INTERVAL_MS % STRAGGLER_INTERVALS =>
        {
            endpoint.slow_factor = SLOW_FACTOR;
        }
        _ => {}
    }
}
