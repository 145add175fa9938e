use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use strum::IntoEnumIterator;

use crate::core::shortage::RefusalReason;

/// The priorities as labels; all others count as the last one.
const PRIORITIES: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];

type Labels = Vec<(&'static str, &'static str)>;

/// What the waiting rooms of a VM do.
#[derive(Debug, Default)]
pub(crate) struct ShortageMetrics {
    waiting: Gauge,
    pub(super) started_after_wait: Counter,
    refused: Family<Labels, Counter>,
}

impl ShortageMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "shortage_waiting",
            "Requests, samples and score calls that wait for room",
            self.waiting.clone(),
        );
        registry.register(
            "shortage_started",
            "Requests, samples and score calls that started after a wait for room",
            self.started_after_wait.clone(),
        );
        registry.register(
            "shortage_refused",
            "Requests, samples and score calls that gave way, by reason and priority",
            self.refused.clone(),
        );
        for reason in RefusalReason::iter() {
            self.refused(reason, 0).inc_by(0);
        }
    }

    pub(super) fn set_waiting(&self, count: usize) {
        self.waiting.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(super) fn on_refusal(&self, reason: RefusalReason, priority: u8) {
        self.refused(reason, priority).inc();
    }

    fn refused(&self, reason: RefusalReason, priority: u8) -> Counter {
        let label = PRIORITIES.get(usize::from(priority));
        let priority = label.copied().unwrap_or("9");
        let labels = vec![("reason", reason.into()), ("priority", priority)];
        self.refused.get_or_create(&labels).clone()
    }
}
