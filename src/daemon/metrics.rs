use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use strum::IntoEnumIterator;

use super::traffic::RoleBytes;
use crate::{core::retry::RetryReason, error::ErrorKind};

type Labels = Vec<(&'static str, &'static str)>;

/// The metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<Labels, Counter>,
    retries: Family<Labels, Counter>,
    pub(crate) requests: Counter,
    pub(crate) resends: Counter,
    pub(crate) tokens: Counter,
    pub(crate) samples_generated: Counter,
    pub(crate) samples_delivered: Counter,
    pub(crate) commits: Counter,
    pub(crate) samples_stale: Counter,
    pub(crate) samples_dropped: Counter,
    pub(crate) commit_failures: Counter,
    pub(crate) takeovers: Counter,
    pub(crate) ledgers_lost: Counter,
    pub(crate) objects_deleted: Counter,
    pub(crate) platform_reads: Counter,
    pub(crate) platform_writes: Counter,
    pub(crate) control_messages: Counter,
    pub(crate) control_bytes: Counter,
    pub(crate) control_role_bytes: RoleBytes,
    pub(crate) orders: Counter,
    pub(crate) endpoint_crashes: Counter,
    pub(crate) abandoned: Counter,
    pub(crate) issuer_queries: Counter,
    pub(crate) config_number: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chicoryreach"),
            refusals: Family::default(),
            retries: Family::default(),
            requests: Counter::default(),
            resends: Counter::default(),
            tokens: Counter::default(),
            samples_generated: Counter::default(),
            samples_delivered: Counter::default(),
            commits: Counter::default(),
            samples_stale: Counter::default(),
            samples_dropped: Counter::default(),
            commit_failures: Counter::default(),
            takeovers: Counter::default(),
            ledgers_lost: Counter::default(),
            objects_deleted: Counter::default(),
            platform_reads: Counter::default(),
            platform_writes: Counter::default(),
            control_messages: Counter::default(),
            control_bytes: Counter::default(),
            control_role_bytes: RoleBytes::default(),
            orders: Counter::default(),
            endpoint_crashes: Counter::default(),
            abandoned: Counter::default(),
            issuer_queries: Counter::default(),
            config_number: Gauge::default(),
        };
        metrics.register();
        for kind in ErrorKind::iter() {
            metrics
                .refusals
                .get_or_create(&vec![("kind", kind.into())])
                .inc_by(0);
        }
        for reason in RetryReason::iter() {
            metrics
                .retries
                .get_or_create(&vec![("reason", reason.into())])
                .inc_by(0);
        }
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("refusals", "Refusals by kind", self.refusals.clone());
        registry.register(
            "control_role_bytes",
            "HTTP bytes sent and received for control, by what they are for",
            self.control_role_bytes.clone(),
        );
        registry.register("retries", "Retries by reason", self.retries.clone());
        registry.register(
            "config_number",
            "The configuration version in force",
            self.config_number.clone(),
        );
        let counters = [
            ("requests", "Requests of callers", &self.requests),
            (
                "resends",
                "Requests that were answered from the first run",
                &self.resends,
            ),
            ("tokens", "Tokens handed on", &self.tokens),
            (
                "samples_generated",
                "Samples generated",
                &self.samples_generated,
            ),
            (
                "samples_delivered",
                "Samples handed to trainers",
                &self.samples_delivered,
            ),
            ("commits", "Commits of ledgers", &self.commits),
            (
                "samples_stale",
                "Samples that came in too old for their trainer",
                &self.samples_stale,
            ),
            (
                "samples_dropped",
                "Committed samples that left their slots",
                &self.samples_dropped,
            ),
            (
                "commit_failures",
                "Commits that did not take effect or got no answer",
                &self.commit_failures,
            ),
            ("takeovers", "Ledgers taken over", &self.takeovers),
            (
                "ledgers_lost",
                "Ledgers lost to another VM or with the lease",
                &self.ledgers_lost,
            ),
            (
                "objects_deleted",
                "Objects deleted that no row lists any more",
                &self.objects_deleted,
            ),
            (
                "platform_reads",
                "Reads sent to the platform",
                &self.platform_reads,
            ),
            (
                "platform_writes",
                "Writes sent to the platform",
                &self.platform_writes,
            ),
            (
                "control_messages",
                "HTTP messages sent and received for control",
                &self.control_messages,
            ),
            (
                "control_bytes",
                "HTTP bytes sent and received for control, heads included",
                &self.control_bytes,
            ),
            ("orders", "Orders sent to engines", &self.orders),
            (
                "endpoint_crashes",
                "Crashes of endpoints that were seen here",
                &self.endpoint_crashes,
            ),
            (
                "abandoned",
                "Requests given up since no caller waited",
                &self.abandoned,
            ),
            (
                "settled",
                "Requests settled with the VM of their ticket",
                &self.issuer_queries,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    pub(crate) fn on_refusal(&self, kind: ErrorKind) {
        self.refusals
            .get_or_create(&vec![("kind", kind.into())])
            .inc();
    }

    pub(crate) fn on_retry(&self, reason: RetryReason) {
        self.retries
            .get_or_create(&vec![("reason", reason.into())])
            .inc();
    }

    /// Returns all metrics in text format.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
