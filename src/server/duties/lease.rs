use std::time::Duration;

use super::handle::DutyHandle;
use crate::{
    core::leader_lease::{LeaderLeaseRow, LeaseClaim},
    daemon::now_ms,
    platform::{Condition, Row, Tx, TxOutcome},
    server::{
        members::{DUTY_LEASE_KEY, VM_TABLE},
        state::{Server, lock},
    },
};

/// The interval at which the lease is checked, in milliseconds.
const LEASE_CHECK_INTERVAL_MS: u64 = 50;
/// How long each live VM adds to the longest delay of a claim, in milliseconds: when the
/// lease becomes free, the claims of all VMs are spread to 250 a second.
const CLAIM_SPREAD_MS: u64 = 4;

/// Acquires and renews the lease of the duties.
///
/// Returns once the VM drains, after it has stepped down.
pub(crate) async fn keep_lease(handle: DutyHandle) {
    let mut fence_before = None;
    let mut claim_at_ms = None;
    loop {
        tokio::time::sleep(Duration::from_millis(LEASE_CHECK_INTERVAL_MS)).await;
        let is_draining = handle.is_draining();
        if is_draining || lock(&handle.duties().calls).abstains(now_ms()) {
            step_down(&handle).await;
        } else if handle.is_ready() {
            claim_when_due(&handle, &mut claim_at_ms).await;
        }
        let fence = handle.fence();
        handle.metrics().duties_held.set(i64::from(fence.is_some()));
        log_change(&handle, fence_before, fence);
        fence_before = fence;
        if is_draining {
            return;
        }
    }
}

fn log_change(handle: &DutyHandle, before: Option<u64>, fence: Option<u64>) {
    if before == fence {
        return;
    }
    if let Some(fence) = before {
        handle.metrics().set_usage_report_age(0);
        tracing::info!(fence, "duties lost: this VM no longer holds them");
    }
    if let Some(fence) = fence {
        lock(&handle.duties().calls).on_won();
        tracing::info!(fence, "duties won: this VM now holds them");
    }
}

/// Claims or renews the lease if that is due; a claim after a random delay.
async fn claim_when_due(handle: &DutyHandle, claim_at_ms: &mut Option<u64>) {
    let Some((earliest_ms, _)) = handle.store().clock_bounds_ms() else {
        return;
    };
    let now_ms = now_ms();
    let is_free = lock(&handle.duties().lease).may_take(earliest_ms);
    if is_free {
        let spread_ms = handle.live_vms() * CLAIM_SPREAD_MS;
        let at_ms = *claim_at_ms.get_or_insert_with(|| now_ms + handle.draw_ms(spread_ms));
        if now_ms < at_ms {
            return;
        }
    }
    *claim_at_ms = None;
    let claim = lock(&handle.duties().lease).claim(now_ms, earliest_ms);
    if let Some(claim) = claim {
        write_lease(handle, claim).await;
    }
}

async fn write_lease(handle: &DutyHandle, claim: LeaseClaim) {
    let bytes = match rmp_serde::to_vec_named(&claim.row) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "lease row of the duties not encoded");
            return;
        }
    };
    let tx = Tx {
        conditions: vec![Condition {
            table: VM_TABLE,
            key: DUTY_LEASE_KEY.into(),
            row_version: claim.row_version,
        }],
        set: vec![(VM_TABLE, DUTY_LEASE_KEY.into(), bytes)],
        ..Tx::default()
    };
    match handle.store().transact(&tx).await {
        Ok(TxOutcome::Committed(row_version)) => {
            lock(&handle.duties().lease).on_written(claim.row, row_version);
        }
        // Another VM was first.
        Ok(TxOutcome::Conflict(rows)) => on_read(handle.duties(), &rows),
        Err(error) => tracing::warn!(%error, "lease row of the duties not written"),
    }
}

/// Gives up the lease, if this VM holds it, after its calls in progress have ended.
async fn step_down(handle: &DutyHandle) {
    let duties = handle.duties();
    if lock(&duties.lease).step_down(0).is_none() {
        return;
    }
    let _no_calls = duties.in_progress.write().await;
    let Some((_, latest_ms)) = handle.store().clock_bounds_ms() else {
        return;
    };
    let claim = lock(&duties.lease).step_down(latest_ms);
    if let Some(claim) = claim {
        // Should the answer to the write be lost, another VM may hold the duties soon;
        // this one makes no call until it has read the row again.
        lock(&duties.lease).on_unknown();
        write_lease(handle, claim).await;
    }
}

/// Records the lease row from the rows of the table of VMs.
pub(crate) fn on_lease_row(server: &Server, rows: &[Row]) {
    if let Some(duties) = &server.duties {
        on_read(duties, rows);
    }
}

fn on_read(duties: &super::Duties, rows: &[Row]) {
    let stored = rows.iter().find(|row| &*row.key == DUTY_LEASE_KEY);
    let bytes = stored.and_then(|stored| stored.bytes.as_ref());
    let row: Option<LeaderLeaseRow> = bytes.and_then(|bytes| match rmp_serde::from_slice(bytes) {
        Ok(row) => Some(row),
        Err(error) => {
            tracing::error!(%error, "lease row of the duties not decoded");
            None
        }
    });
    lock(&duties.lease).on_read(row, stored.map_or(0, |stored| stored.version));
}
