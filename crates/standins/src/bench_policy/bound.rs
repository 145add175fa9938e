//! A lower bound of the idle time, from capacity alone.

use super::{
    fault::{self, Fault},
    workload::Workload,
};

/// Returns the share of time for which trainers wait if every available slot
/// is always busy and no step has a tail of slow samples.
#[expect(clippy::cast_precision_loss, reason = "small numbers")]
pub(super) fn least_idle_share(workload: &Workload, fault: Fault) -> f64 {
    let (from_ms, to_ms) = fault::window(fault, workload);
    let fault_share = (to_ms - from_ms) as f64 / workload.end_ms as f64;
    let during_fault = idle_share(workload, fault);
    let outside_fault = idle_share(workload, Fault::None);
    fault_share.mul_add(during_fault - outside_fault, outside_fault)
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn idle_share(workload: &Workload, fault: Fault) -> f64 {
    let train_ms = workload.train_ms as f64;
    if fault == Fault::StoreDown {
        let (from_ms, to_ms) = fault::window(fault, workload);
        let down_ms = (to_ms - from_ms) as f64;
        return (1.0 - train_ms / down_ms).max(0.0);
    }
    let model = &workload.services[0];
    let count = model.endpoints as f64;
    let third_share = model.endpoints.div_ceil(3) as f64 / count;
    let data_centre_share = model.endpoints.div_ceil(workload.data_centres) as f64 / count;
    let swaps_ms = (workload.trainers as u64 * workload.swap_ms) as f64;
    let slot_share = match fault {
        Fault::Brownout => 1.0 - 0.75 * third_share,
        Fault::ThirdGone => 1.0 - third_share,
        Fault::DataCentreGone => 1.0 - data_centre_share,
        Fault::Stragglers => 1.0 - 0.75 / 8.0,
        Fault::SlowSwaps => 1.0 - 10.0 * swaps_ms / train_ms,
        _ => 1.0,
    };
    let load = if fault == Fault::TwiceTheLoad {
        2.0
    } else {
        1.0
    };
    let caller_slots = load * model.requests_per_s * model.unit_ms * MEAN_CALLER_TOKENS / 1_000.0;
    let slots = count.mul_add(f64::from(model.slots) * slot_share, -caller_slots);
    let samples =
        f64::from(workload.groups * workload.samples_per_group) * workload.trainers as f64;
    let generate_ms = samples * workload.mean_tokens * model.unit_ms / slots.max(1.0);
    (1.0 - train_ms / generate_ms).max(0.0)
}

/// The mean of the 20 to 100 tokens drawn for a caller's request.
const MEAN_CALLER_TOKENS: f64 = 60.0;
