use super::{ScaleOutcome, Supply};

/// How much longer than a start new endpoints may take until they are listed, in
/// milliseconds: the list and this VM's copy of it lag behind.
const LIST_MARGIN_MS: u64 = 3_000;
/// For how long a group gets no endpoints after none were available or none appeared, in
/// milliseconds.
const PAUSE_MS: u64 = 5_000;
/// After which time an order without an answer is sent again, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// The endpoints of one data centre and kind: those ordered and those listed.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// The number of the last order, or of the endpoints that were there at the start.
    pub(super) target: u32,
    pub(super) supply: Supply,
    is_known: bool,
    /// Whether endpoints have gone since the last order.
    pub(super) has_lost: bool,
    /// The number of an order whose outcome is not known yet.
    pub(super) pending: Option<u32>,
    /// When the endpoints of the last order are to be listed.
    expected_by_ms: u64,
    pub(super) paused_until_ms: u64,
    pub(super) retry_at_ms: u64,
}

impl Group {
    /// Takes over what is listed now. A group whose endpoints the platform `may_reclaim`
    /// is paused while some of them leave.
    pub(super) fn observe(&mut self, now_ms: u64, supply: Supply, may_reclaim: bool) {
        let before = std::mem::replace(&mut self.supply, supply);
        if !self.is_known {
            self.is_known = true;
            self.target = supply.ready;
            return;
        }
        if supply.ready < before.ready && supply.ready < self.target {
            self.has_lost = true;
        }
        if may_reclaim && supply.leaving > 0 {
            self.expected_by_ms = now_ms;
            self.paused_until_ms = now_ms + PAUSE_MS;
        }
        let is_settled = self.pending.is_none() && self.expected_by_ms <= now_ms;
        if !is_settled {
            return;
        }
        if supply.ready > self.target {
            // Others than this VM's orders have added endpoints.
            self.target = supply.ready;
        }
        let is_overdue = self.expected_by_ms > 0 && !self.has_lost;
        if supply.ready < self.target && is_overdue && self.paused_until_ms <= now_ms {
            self.paused_until_ms = now_ms + PAUSE_MS;
        }
        if self.paused_until_ms > now_ms {
            // The missing endpoints are ordered elsewhere, or here after the pause.
            self.target = supply.ready;
            self.has_lost = false;
        }
    }

    /// Returns the endpoints that are there or starting.
    pub(super) fn counted(&self) -> u32 {
        self.pending.unwrap_or(self.target)
    }

    pub(super) const fn on_sent(&mut self, target: u32) {
        self.pending = Some(target);
    }

    pub(super) fn on_outcome(&mut self, now_ms: u64, boot_ms: u64, outcome: ScaleOutcome) {
        let Some(target) = self.pending.take() else {
            return;
        };
        match outcome {
            ScaleOutcome::Accepted => {
                self.target = target;
                self.has_lost = false;
                self.expected_by_ms = now_ms.saturating_add(boot_ms.saturating_add(LIST_MARGIN_MS));
            }
            ScaleOutcome::Unavailable | ScaleOutcome::Rejected => self.pause(now_ms),
            ScaleOutcome::Failed => self.retry_at_ms = now_ms + RETRY_MS,
        }
    }

    /// Orders nothing further for a while, as the data centre has no endpoint available.
    pub(super) fn pause(&mut self, now_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + PAUSE_MS);
    }
}
