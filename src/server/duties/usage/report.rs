use std::collections::BTreeMap;

use super::{super::DutyHandle, collect::ReportStore, rows::report_key};
use crate::{
    core::{
        Name,
        duties::{Reports, UsageReport},
    },
    daemon::now_ms,
    platform::{DutyCall, DutyOutcome, StoreError},
};

/// How long the holder waits after an error of the store, in milliseconds.
const STORE_RETRY_MS: u64 = 300;
/// After how many acknowledged windows leftover counts are deleted.
const WINDOWS_PER_CLEANING: u64 = 12;

/// What the holder keeps for the usage duty.
#[derive(Default)]
pub(in super::super) struct UsageDuty {
    tenure: Option<Tenure>,
    retry_at_ms: u64,
}

struct Tenure {
    fence: u64,
    store: ReportStore,
    reports: Reports,
    /// The keys of the counts that were collected, by window.
    collected: BTreeMap<u64, Vec<Name>>,
    /// The first open window that is stored.
    stored_first_open: u64,
}

impl UsageDuty {
    /// Stores, sends and acknowledges the reports that are due.
    pub(in super::super) async fn run(&mut self, handle: &DutyHandle, fence: u64) {
        if now_ms() < self.retry_at_ms {
            return;
        }
        if self
            .tenure
            .as_ref()
            .is_some_and(|tenure| tenure.fence != fence)
        {
            self.tenure = None;
        }
        match self.step(handle, fence).await {
            Ok(true) => {}
            // Another holder has taken over, or the outcome of a write is unknown: what is
            // stored must be read again.
            Ok(false) => self.give_up(),
            Err(error) => {
                tracing::warn!(%error, "reports of usage wait for the store");
                self.give_up();
            }
        }
    }

    fn give_up(&mut self) {
        self.tenure = None;
        self.retry_at_ms = now_ms() + STORE_RETRY_MS;
    }

    /// Returns whether the reports are still this holder's.
    async fn step(&mut self, handle: &DutyHandle, fence: u64) -> Result<bool, StoreError> {
        let Some(usage) = &handle.duties().usage else {
            return Ok(true);
        };
        let true_ms = usage.true_ms(handle.store());
        if self.tenure.is_none() {
            let current_window = usage.windows.window_of(true_ms);
            let taken = ReportStore::take_over(handle, fence, current_window).await?;
            let Some((store, reports)) = taken else {
                return Ok(false);
            };
            self.tenure = Some(Tenure::new(fence, store, reports));
        }
        let Some(tenure) = &mut self.tenure else {
            return Ok(false);
        };
        if let Some(window) = tenure.reports.due_to_store(&usage.windows, true_ms)
            && !tenure.store_report(handle, window).await?
        {
            return Ok(false);
        }
        let is_kept = tenure.send_next(handle).await?;
        if let Some(last) = tenure.reports.first_open().checked_sub(1) {
            let age_ms = true_ms.saturating_sub(usage.windows.end_ms(last));
            handle.metrics().set_usage_report_age(age_ms);
        }
        Ok(is_kept)
    }
}

impl Tenure {
    fn new(fence: u64, store: ReportStore, reports: Reports) -> Self {
        Self {
            fence,
            store,
            stored_first_open: reports.first_open(),
            reports,
            collected: BTreeMap::new(),
        }
    }

    async fn store_report(&mut self, handle: &DutyHandle, window: u64) -> Result<bool, StoreError> {
        let (report, keys) = ReportStore::collect(handle, window).await?;
        if !self.store.store(handle, window, &report).await? {
            return Ok(false);
        }
        tracing::info!(
            window,
            requests = report.total(),
            accounts = report.counts.len(),
            vms = keys.len(),
            fence = self.fence,
            "report of usage stored"
        );
        self.collected.insert(window, keys);
        self.reports.on_stored(window, report);
        Ok(true)
    }

    /// Sends one report.
    async fn send_next(&mut self, handle: &DutyHandle) -> Result<bool, StoreError> {
        let Some((window, report)) = self.reports.next_to_send() else {
            return Ok(true);
        };
        let report: UsageReport = report.clone();
        let requests = report.total();
        let call = DutyCall::Usage {
            window,
            counts: report.counts,
        };
        let outcome = handle.send(&call).await;
        handle.metrics().on_usage_report(outcome.name());
        let fence = self.fence;
        match outcome {
            DutyOutcome::Accepted => {
                tracing::info!(
                    window,
                    requests,
                    fence,
                    outcome = outcome.name(),
                    "report of usage sent"
                );
                self.reports.on_acknowledged(window);
                return self.record_acknowledged(handle).await;
            }
            DutyOutcome::NotHeld => {}
            DutyOutcome::Unavailable | DutyOutcome::Rejected(_) => {
                tracing::error!(
                    window,
                    requests,
                    fence,
                    ?outcome,
                    "report of usage rejected"
                );
                self.reports.on_failed(window);
            }
            DutyOutcome::Paced | DutyOutcome::Failed(_) => {
                tracing::warn!(
                    window,
                    requests,
                    fence,
                    ?outcome,
                    "report of usage not accepted"
                );
                self.reports.on_failed(window);
            }
        }
        Ok(true)
    }

    async fn record_acknowledged(&mut self, handle: &DutyHandle) -> Result<bool, StoreError> {
        let (before, first_open) = (self.stored_first_open, self.reports.first_open());
        if first_open == before {
            return Ok(true);
        }
        let mut unneeded: Vec<Name> = (before..first_open).map(report_key).collect();
        let open = self.collected.split_off(&first_open);
        let closed = std::mem::replace(&mut self.collected, open);
        unneeded.extend(closed.into_values().flatten());
        if !self
            .store
            .write_progress(handle, first_open, unneeded)
            .await?
        {
            return Ok(false);
        }
        self.stored_first_open = first_open;
        if first_open / WINDOWS_PER_CLEANING != before / WINDOWS_PER_CLEANING {
            ReportStore::delete_leftovers(handle, first_open).await?;
        }
        Ok(true)
    }
}
