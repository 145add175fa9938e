use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The weight of earlier samples against a new one.
const EARLIER_WEIGHT: f64 = 0.99;
/// The number of reports of which one tells the slot time of samples: it changes little, and
/// every VM reads the reports of all others.
const REPORTS_PER_SLOT_TIME: u32 = 8;

/// What one VM tells the others of its work at a service.
///
/// It is encoded without the names of its fields, as each VM reads it of all others every
/// second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u32, u32, u32)", into = "(u32, u32, u32, u32)")]
pub struct ServiceLoad {
    /// The requests other than samples that are in flight.
    pub callers_in_flight: u32,
    /// The callers' requests that were refused since the last report, as there was no
    /// room.
    pub refused: u32,
    /// The tokens that the trainers estimated for complete samples; earlier ones count
    /// less. 0 in most reports.
    pub sample_tokens: u32,
    /// The slot time of runs of samples, weighted likewise.
    pub sample_slot_ms: u32,
}

impl From<(u32, u32, u32, u32)> for ServiceLoad {
    fn from(
        (callers_in_flight, refused, sample_tokens, sample_slot_ms): (u32, u32, u32, u32),
    ) -> Self {
        Self {
            callers_in_flight,
            refused,
            sample_tokens,
            sample_slot_ms,
        }
    }
}

impl From<ServiceLoad> for (u32, u32, u32, u32) {
    fn from(load: ServiceLoad) -> Self {
        (
            load.callers_in_flight,
            load.refused,
            load.sample_tokens,
            load.sample_slot_ms,
        )
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceSignals {
    samples_running: u32,
    refused: u32,
    sample_tokens: f64,
    sample_slot_ms: f64,
    /// The reports until the next one that tells the slot time.
    reports_to_skip: u32,
}

impl ServiceSignals {
    /// Returns the sums of complete samples if this report is to tell them.
    fn take_slot_time(&mut self) -> (u32, u32) {
        let tokens = round(self.sample_tokens);
        if tokens == 0 {
            return (0, 0);
        }
        if self.reports_to_skip > 0 {
            self.reports_to_skip -= 1;
            return (0, 0);
        }
        self.reports_to_skip = REPORTS_PER_SLOT_TIME - 1;
        (tokens, round(self.sample_slot_ms))
    }
}

/// What one VM observes of its work, by service.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::scale::LoadSignals;
///
/// let mut signals = LoadSignals::default();
/// signals.on_sample_run_begun(&"demand-lm".into());
/// // Of five requests in flight, one is a sample.
/// assert_eq!(signals.take_report("demand-lm", 5).callers_in_flight, 4);
/// signals.on_sample_run_ended("demand-lm", 700);
/// signals.on_sample_complete("demand-lm", 35);
/// let report = signals.take_report("demand-lm", 0);
/// assert_eq!(report.sample_slot_ms / report.sample_tokens, 19);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadSignals {
    services: BTreeMap<Name, ServiceSignals>,
}

impl LoadSignals {
    /// Records that a run of a sample begins.
    pub fn on_sample_run_begun(&mut self, service: &Name) {
        let signals = self.services.entry(service.clone()).or_default();
        signals.samples_running += 1;
    }

    /// Records that a run of a sample has taken a slot for `slot_ms`.
    pub fn on_sample_run_ended(&mut self, service: &str, slot_ms: u64) {
        if let Some(signals) = self.services.get_mut(service) {
            signals.samples_running = signals.samples_running.saturating_sub(1);
            signals.sample_slot_ms += f64::from(u32::try_from(slot_ms).unwrap_or(u32::MAX));
        }
    }

    /// Records a complete sample of `tokens`, by its trainer's estimate.
    pub fn on_sample_complete(&mut self, service: &str, tokens: u64) {
        if let Some(signals) = self.services.get_mut(service) {
            let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
            signals.sample_tokens = (signals.sample_tokens + tokens) * EARLIER_WEIGHT;
            signals.sample_slot_ms *= EARLIER_WEIGHT;
        }
    }

    /// Records that a caller's request was refused, as there was no room.
    pub fn on_refused(&mut self, service: &Name) {
        let signals = self.services.entry(service.clone()).or_default();
        signals.refused += 1;
    }

    /// Returns the report on a service at whose endpoints `in_flight` requests of this VM
    /// are in flight. Refusals are reported once, the slot time of samples now and then.
    pub fn take_report(&mut self, service: &str, in_flight: u32) -> ServiceLoad {
        let Some(signals) = self.services.get_mut(service) else {
            return ServiceLoad {
                callers_in_flight: in_flight,
                ..ServiceLoad::default()
            };
        };
        let (sample_tokens, sample_slot_ms) = signals.take_slot_time();
        ServiceLoad {
            callers_in_flight: in_flight.saturating_sub(signals.samples_running),
            refused: std::mem::take(&mut signals.refused),
            sample_tokens,
            sample_slot_ms,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float converted to an integer saturates"
)]
fn round(value: f64) -> u32 {
    value.round() as u32
}
