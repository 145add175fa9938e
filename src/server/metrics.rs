use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use strum::IntoEnumIterator;

use super::{http_client::Reachability, shortage::ShortageMetrics};
use crate::{
    core::{
        connections::CloseReason, paths::PathReport, rate_limit::Purpose, retry::RetryReason,
        scale::ScaleOutcome,
    },
    error::ErrorKind,
};

type Labels = Vec<(&'static str, &'static str)>;

/// The first upper bound of latency histograms, in seconds; each further bound
/// is twice the previous one.
const FIRST_BUCKET_S: f64 = 0.005;
const BUCKET_COUNT: u16 = 12;

/// The counters, gauges and histograms of one VM.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<Labels, Counter>,
    retries: Family<Labels, Counter>,
    broken_runs: Family<Labels, Counter>,
    limited_requests: Family<Labels, Counter>,
    endpoint_connects: Family<Labels, Counter>,
    cut_paths: Family<Labels, Gauge>,
    relayed_requests: Family<Labels, Counter>,
    usage_reports: Family<Labels, Counter>,
    usage_report_age_seconds: Gauge,
    usage_counts_unwritten: Gauge,
    pub(crate) duties_held: Gauge,
    scale_orders: Family<Labels, Counter>,
    connections: Family<Labels, Gauge>,
    connection_bytes: Family<Labels, Gauge>,
    connections_closed: Family<Labels, Counter>,
    pub(crate) shortage: ShortageMetrics,
    pub(crate) requests: Counter,
    pub(crate) batches_accepted: Counter,
    pub(crate) samples_listed: Counter,
    pub(crate) samples_dead: Counter,
    pub(crate) shares_claimed: Counter,
    pub(crate) orders: Counter,
    pub(crate) endpoint_crashes: Counter,
    pub(crate) unanswered_runs: Counter,
    pub(crate) permits_asked: Counter,
    pub(crate) permits_issued: Counter,
    pub(crate) permits_denied: Counter,
    pub(crate) endpoints_wanted: Gauge,
    pub(crate) endpoints_listed: Gauge,
    pub(crate) quarantined_contents: Gauge,
    pub(crate) log_lines_dropped: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) request_seconds: Histogram,
    pub(crate) sample_seconds: Histogram,
    pub(crate) score_seconds: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let latency = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix("chicoryreach"),
            refusals: Family::default(),
            retries: Family::default(),
            broken_runs: Family::default(),
            limited_requests: Family::default(),
            endpoint_connects: Family::default(),
            cut_paths: Family::default(),
            relayed_requests: Family::default(),
            usage_reports: Family::default(),
            usage_report_age_seconds: Gauge::default(),
            usage_counts_unwritten: Gauge::default(),
            duties_held: Gauge::default(),
            scale_orders: Family::default(),
            connections: Family::default(),
            connection_bytes: Family::default(),
            connections_closed: Family::default(),
            shortage: ShortageMetrics::default(),
            requests: Counter::default(),
            batches_accepted: Counter::default(),
            samples_listed: Counter::default(),
            samples_dead: Counter::default(),
            shares_claimed: Counter::default(),
            orders: Counter::default(),
            endpoint_crashes: Counter::default(),
            unanswered_runs: Counter::default(),
            permits_asked: Counter::default(),
            permits_issued: Counter::default(),
            permits_denied: Counter::default(),
            endpoints_wanted: Gauge::default(),
            endpoints_listed: Gauge::default(),
            quarantined_contents: Gauge::default(),
            log_lines_dropped: Gauge::default(),
            config_version: Gauge::default(),
            request_seconds: latency(),
            sample_seconds: latency(),
            score_seconds: latency(),
        };
        metrics.register();
        metrics.register_paths();
        metrics.register_duties();
        metrics.register_scale();
        metrics.register_connections();
        metrics.shortage.register(&mut metrics.registry);
        for kind in ErrorKind::iter() {
            let refusals = &metrics.refusals;
            refusals
                .get_or_create(&vec![("kind", kind.into())])
                .inc_by(0);
        }
        for reason in RetryReason::iter() {
            let retries = &metrics.retries;
            retries
                .get_or_create(&vec![("reason", reason.into())])
                .inc_by(0);
        }
        for reachability in Reachability::iter() {
            let broken_runs = &metrics.broken_runs;
            broken_runs
                .get_or_create(&vec![("endpoint", reachability.into())])
                .inc_by(0);
        }
        for outcome in ["accepted", "failed"] {
            let connects = &metrics.endpoint_connects;
            connects
                .get_or_create(&vec![("outcome", outcome)])
                .inc_by(0);
        }
        metrics.set_cut_paths(&PathReport::default());
        for purpose in Purpose::iter() {
            let limited = &metrics.limited_requests;
            limited
                .get_or_create(&vec![("purpose", purpose.into())])
                .inc_by(0);
        }
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("refusals", "Refusals by kind", self.refusals.clone());
        registry.register("retries", "Retries by reason", self.retries.clone());
        registry.register(
            "broken_runs",
            "Runs that broke off, by whether their endpoint accepts connections",
            self.broken_runs.clone(),
        );
        registry.register(
            "limited_requests",
            "Requests whose answer named a request limit, by what they were sent for",
            self.limited_requests.clone(),
        );
        let counters = [
            (
                "permits_asked",
                "Questions to other VMs for permits",
                &self.permits_asked,
            ),
            (
                "permits_issued",
                "Permits issued, to this VM and others",
                &self.permits_issued,
            ),
            (
                "permits_denied",
                "Requests that got no permit for an endpoint",
                &self.permits_denied,
            ),
            ("requests", "Requests of callers", &self.requests),
            (
                "batches_accepted",
                "Batches accepted",
                &self.batches_accepted,
            ),
            ("samples_listed", "Samples listed", &self.samples_listed),
            (
                "samples_dead",
                "Samples listed as given up",
                &self.samples_dead,
            ),
            (
                "shares_claimed",
                "Shares of batches claimed",
                &self.shares_claimed,
            ),
            ("orders", "Orders sent to endpoints", &self.orders),
            (
                "endpoint_crashes",
                "Crashes of endpoints under requests of this VM",
                &self.endpoint_crashes,
            ),
            (
                "unanswered_runs",
                "Runs that ended without an answer after a second or more",
                &self.unanswered_runs,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "log_lines_dropped",
            "Log lines that were dropped, since nobody read them in time",
            self.log_lines_dropped.clone(),
        );
        registry.register(
            "config_version",
            "The configuration version in force",
            self.config_version.clone(),
        );
        registry.register(
            "quarantined_contents",
            "Contents that have crashed three endpoints",
            self.quarantined_contents.clone(),
        );
        let histograms = [
            (
                "request_seconds",
                "Latency of requests",
                &self.request_seconds,
            ),
            (
                "sample_seconds",
                "From the start of a sample to its text",
                &self.sample_seconds,
            ),
            (
                "score_seconds",
                "From a sample's text to its score",
                &self.score_seconds,
            ),
        ];
        for (name, help, histogram) in histograms {
            registry.register(name, help, histogram.clone());
        }
    }

    fn register_paths(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "endpoint_connects",
            "Connections opened to endpoints, by outcome",
            self.endpoint_connects.clone(),
        );
        registry.register(
            "cut_paths",
            "Paths to endpoints that are cut: all of them, or by data centre or service",
            self.cut_paths.clone(),
        );
        registry.register(
            "relayed_requests",
            "Requests to endpoints that went through another VM, by whose they were and outcome",
            self.relayed_requests.clone(),
        );
    }

    fn register_duties(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "usage_reports",
            "Reports of usage that this VM sent, by outcome",
            self.usage_reports.clone(),
        );
        let gauges = [
            (
                "usage_report_age_seconds",
                "From the end of the last window whose report is acknowledged, at the holder",
                &self.usage_report_age_seconds,
            ),
            (
                "usage_counts_unwritten",
                "Requests whose counting this VM has not written yet",
                &self.usage_counts_unwritten,
            ),
            (
                "duties_held",
                "Whether this VM holds the duties",
                &self.duties_held,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Records the outcome of a report of usage.
    pub(crate) fn on_usage_report(&self, outcome: &'static str) {
        let reports = &self.usage_reports;
        reports.get_or_create(&vec![("outcome", outcome)]).inc();
    }

    /// Records how long ago the last window ended whose report is acknowledged.
    pub(crate) fn set_usage_report_age(&self, age_ms: u64) {
        let seconds = i64::try_from(age_ms / 1_000).unwrap_or(i64::MAX);
        self.usage_report_age_seconds.set(seconds);
    }

    /// Records for how many requests the counting is not written yet.
    pub(crate) fn set_unwritten_usage(&self, requests: u64) {
        let requests = i64::try_from(requests).unwrap_or(i64::MAX);
        self.usage_counts_unwritten.set(requests);
    }

    fn register_scale(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "scale_orders",
            "Orders of endpoints that this VM sent, by outcome",
            self.scale_orders.clone(),
        );
        registry.register(
            "endpoints_wanted",
            "Endpoints of scaled services that this VM's last decision wants",
            self.endpoints_wanted.clone(),
        );
        registry.register(
            "endpoints_listed",
            "Endpoints of scaled services that were ready at this VM's last decision",
            self.endpoints_listed.clone(),
        );
        for outcome in ScaleOutcome::iter() {
            let orders = &self.scale_orders;
            orders
                .get_or_create(&vec![("outcome", outcome.into())])
                .inc_by(0);
        }
    }

    /// Records how an order of endpoints ended.
    pub(crate) fn on_scale_order(&self, outcome: ScaleOutcome) {
        let orders = &self.scale_orders;
        orders
            .get_or_create(&vec![("outcome", outcome.into())])
            .inc();
    }

    fn register_connections(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "connections",
            "Accepted connections that are open, by listener",
            self.connections.clone(),
        );
        registry.register(
            "connection_bytes",
            "What accepted connections may hold without bodies and answers, by listener",
            self.connection_bytes.clone(),
        );
        registry.register(
            "connections_closed",
            "Accepted connections that this VM closed, by listener and reason",
            self.connections_closed.clone(),
        );
    }

    /// Records the open connections of a listener.
    pub(crate) fn set_connections(&self, listener: &'static str, count: usize, bytes: usize) {
        let gauge_value = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let labels = vec![("listener", listener)];
        let connections = self.connections.get_or_create(&labels);
        connections.set(gauge_value(count));
        let connection_bytes = self.connection_bytes.get_or_create(&labels);
        connection_bytes.set(gauge_value(bytes));
    }

    /// Records connections of a listener that this VM closed.
    pub(crate) fn on_connections_closed(
        &self,
        listener: &'static str,
        reason: CloseReason,
        count: u64,
    ) {
        let labels = vec![("listener", listener), ("reason", reason.into())];
        self.connections_closed.get_or_create(&labels).inc_by(count);
    }

    pub(crate) fn on_refusal(&self, kind: ErrorKind) {
        let refusals = &self.refusals;
        refusals.get_or_create(&vec![("kind", kind.into())]).inc();
    }

    pub(crate) fn on_retry(&self, reason: RetryReason) {
        let retries = &self.retries;
        retries
            .get_or_create(&vec![("reason", reason.into())])
            .inc();
    }

    pub(crate) fn on_limited_request(&self, purpose: Purpose) {
        let limited = &self.limited_requests;
        limited
            .get_or_create(&vec![("purpose", purpose.into())])
            .inc();
    }

    pub(crate) fn on_connect(&self, is_accepted: bool) {
        let outcome = if is_accepted { "accepted" } else { "failed" };
        let connects = &self.endpoint_connects;
        connects.get_or_create(&vec![("outcome", outcome)]).inc();
    }

    /// Records a request of this VM that went through another one.
    pub(crate) fn on_relayed(&self, is_answered: bool) {
        self.count_relayed("this_vm", is_answered);
    }

    /// Records a request of another VM.
    pub(crate) fn on_request_of_other_vm(&self, is_answered: bool) {
        self.count_relayed("other_vm", is_answered);
    }

    fn count_relayed(&self, origin: &'static str, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        let labels = vec![("origin", origin), ("outcome", outcome)];
        self.relayed_requests.get_or_create(&labels).inc();
    }

    /// Records from how much of the endpoints this VM is cut off.
    pub(crate) fn set_cut_paths(&self, report: &PathReport) {
        let gauges = [
            ("all", usize::from(report.is_isolated)),
            ("data_centre", report.cut_data_centres.len()),
            ("service", report.cut_services.len()),
        ];
        for (scope, count) in gauges {
            let gauge = self.cut_paths.get_or_create(&vec![("scope", scope)]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    pub(crate) fn on_broken_run(&self, reachability: Reachability) {
        let broken_runs = &self.broken_runs;
        broken_runs
            .get_or_create(&vec![("endpoint", reachability.into())])
            .inc();
    }

    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Returns the seconds between two times of the local clock.
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
pub(crate) fn elapsed_seconds(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64 / 1_000.0
}
