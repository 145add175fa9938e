use std::time::Duration;

use super::{handle::DutyHandle, scale::ScaleDuty, usage::UsageDuty};
use crate::settings::DutyKind;

/// The interval at which the duties are looked at, in milliseconds.
const DUTY_CHECK_INTERVAL_MS: u64 = 50;

/// Does the duties while this VM holds them. A call of one duty that is not answered does
/// not hold up the other.
pub(crate) async fn run_duties(handle: DutyHandle) {
    tokio::join!(run_usage(&handle), run_scale(&handle));
}

async fn run_usage(handle: &DutyHandle) {
    let mut duty = UsageDuty::default();
    while handle.api().has(DutyKind::Usage) {
        let fence = next_check(handle).await;
        duty.run(handle, fence).await;
    }
}

async fn run_scale(handle: &DutyHandle) {
    let mut duty = ScaleDuty::default();
    while handle.api().has(DutyKind::Scale) {
        let fence = next_check(handle).await;
        duty.run(handle, fence).await;
    }
}

/// Waits until the next check of the duties at which this VM holds them.
async fn next_check(handle: &DutyHandle) -> u64 {
    loop {
        tokio::time::sleep(Duration::from_millis(DUTY_CHECK_INTERVAL_MS)).await;
        if let Some(fence) = handle.fence() {
            return fence;
        }
    }
}
