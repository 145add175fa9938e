use std::time::Duration;

use super::{handle::DutyHandle, scale};
use crate::settings::DutyKind;

/// The interval at which the duties are looked at, in milliseconds.
const DUTY_CHECK_INTERVAL_MS: u64 = 50;

/// Does the duties while this VM holds them.
pub(crate) async fn run_duties(handle: DutyHandle) {
    let mut scale_duty = scale::ScaleDuty::default();
    loop {
        tokio::time::sleep(Duration::from_millis(DUTY_CHECK_INTERVAL_MS)).await;
        let Some(fence) = handle.fence() else {
            continue;
        };
        if handle.api().has(DutyKind::Scale) {
            scale_duty.run(&handle, fence).await;
        }
    }
}
