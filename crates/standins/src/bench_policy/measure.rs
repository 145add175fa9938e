//! Measurements of one run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::workload::CALLER_TIMEOUT_MS;

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Figures {
    pub(super) idle_share: f64,
    pub(super) staleness_p50: u64,
    pub(super) staleness_p99: u64,
    pub(super) staleness_mean: f64,
    pub(super) steps: u64,
    pub(super) step_ms: f64,
    pub(super) model_p50_ms: u64,
    pub(super) model_p99_ms: u64,
    pub(super) plain_p50_ms: u64,
    pub(super) plain_p99_ms: u64,
    /// The share of requests without an answer before their deadline.
    pub(super) unanswered_share: f64,
    /// Attempts for requests of callers, divided by the first attempts among them.
    pub(super) load_factor: f64,
    /// The share of generated tokens that were not used.
    pub(super) wasted_share: f64,
    /// Samples fetched twice and non-idempotent requests run twice.
    pub(super) doubled: u64,
    /// Requests of callers that are past their deadline but still unfinished.
    pub(super) lost: u64,
    pub(super) refusals: BTreeMap<&'static str, u64>,
    pub(super) retries: BTreeMap<&'static str, u64>,
}

/// Counters that are updated during a run.
#[derive(Debug)]
pub(super) struct Measures {
    pub(super) idle_ms: u64,
    /// The time of all trainers of which `idle_ms` is a part.
    pub(super) observed_ms: u64,
    /// The number of samples by their staleness in weights versions.
    pub(super) staleness: BTreeMap<u64, u64>,
    pub(super) steps: u64,
    pub(super) total_step_ms: u64,
    /// Latencies of the model service and of the plain service.
    pub(super) latency_ms: [Histogram<u64>; 2],
    pub(super) unanswered: u64,
    pub(super) first_attempts: u64,
    pub(super) attempts: u64,
    pub(super) tokens: u64,
    pub(super) wasted_tokens: u64,
    pub(super) doubled: u64,
    pub(super) lost: u64,
    pub(super) refusals: BTreeMap<&'static str, u64>,
    pub(super) retries: BTreeMap<&'static str, u64>,
}

impl Measures {
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(2 * CALLER_TIMEOUT_MS, 3).expect("three digits are allowed");
        Self {
            idle_ms: 0,
            observed_ms: 0,
            staleness: BTreeMap::new(),
            steps: 0,
            total_step_ms: 0,
            latency_ms: [histogram(), histogram()],
            unanswered: 0,
            first_attempts: 0,
            attempts: 0,
            tokens: 0,
            wasted_tokens: 0,
            doubled: 0,
            lost: 0,
            refusals: BTreeMap::new(),
            retries: BTreeMap::new(),
        }
    }

    /// Records the end of a caller's request.
    ///
    /// A request without an answer is recorded with its timeout as latency.
    pub(super) fn on_caller_end(&mut self, service: usize, latency_ms: Option<u64>) {
        self.unanswered += u64::from(latency_ms.is_none());
        self.latency_ms[service].saturating_record(latency_ms.unwrap_or(CALLER_TIMEOUT_MS));
    }

    pub(super) fn figures(&self) -> Figures {
        let samples: u64 = self.staleness.values().sum();
        let total: u64 = self
            .staleness
            .iter()
            .map(|(staleness, count)| staleness * count)
            .sum();
        let ended_requests: u64 = self.latency_ms.iter().map(Histogram::len).sum();
        let quantile = |service: usize, q| self.latency_ms[service].value_at_quantile(q);
        Figures {
            idle_share: ratio(self.idle_ms, self.observed_ms),
            staleness_p50: self.staleness_quantile(0.5),
            staleness_p99: self.staleness_quantile(0.99),
            staleness_mean: ratio(total, samples),
            steps: self.steps,
            step_ms: ratio(self.total_step_ms, self.steps),
            model_p50_ms: quantile(0, 0.5),
            model_p99_ms: quantile(0, 0.99),
            plain_p50_ms: quantile(1, 0.5),
            plain_p99_ms: quantile(1, 0.99),
            unanswered_share: ratio(self.unanswered, ended_requests),
            load_factor: ratio(self.attempts, self.first_attempts),
            wasted_share: ratio(self.wasted_tokens, self.tokens),
            doubled: self.doubled,
            lost: self.lost,
            refusals: self.refusals.clone(),
            retries: self.retries.clone(),
        }
    }

    fn staleness_quantile(&self, quantile: f64) -> u64 {
        #[expect(clippy::cast_precision_loss, reason = "counts of one run")]
        let rank = quantile * self.staleness.values().sum::<u64>() as f64;
        let mut cumulative_count = 0;
        for (staleness, count) in &self.staleness {
            cumulative_count += count;
            #[expect(clippy::cast_precision_loss, reason = "counts of one run")]
            if cumulative_count as f64 >= rank {
                return *staleness;
            }
        }
        0
    }
}

pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts of one run")]
    let ratio = part as f64 / whole.max(1) as f64;
    ratio
}
