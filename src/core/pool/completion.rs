//! When a request is expected to be complete at an endpoint, compared to others.
//!
//! The unit is the time that a typical request takes at a typical endpoint.

use super::{PoolEndpoint, choose::EndpointRequirements};

/// The largest factor by which an endpoint's pace counts against the typical
/// one: a single slow response may be due to a long request.
const MAX_PACE_FACTOR: f64 = 8.0;
/// How much longer than a typical request one is that may be among the longest.
const LONG_REQUEST_EXCESS: f64 = 3.0;
/// For how long a slowdown that was just reported lasts, in typical sample times: a
/// sample takes about a second, and machines change within some hundred milliseconds.
const PASSING_SLOWDOWN: f64 = 0.3;
/// The age up to which a pace counts in full, in milliseconds.
const PACE_TRUST_MS: u64 = 5_000;
/// How long after that a pace counts less and less, in milliseconds. Then the endpoint
/// counts as typical, so that it is tried and measured again.
const PACE_FADE_MS: u32 = 10_000;

/// What is usual among the endpoints that a request may go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Typical {
    /// The median of the known paces.
    pub(super) pace: Option<f64>,
    /// The median of the reported slowdowns, or 1 if most endpoints report none.
    slowdown: f64,
    /// Whether endpoints report slowdowns, so that their speeds change.
    has_slowdowns: bool,
}

impl Typical {
    pub(super) fn of(endpoints: &[&PoolEndpoint], now_ms: u64) -> Self {
        let factors = endpoints.iter().filter_map(|e| e.slowdowns.factor(now_ms));
        let factors: Vec<f64> = factors.collect();
        // If the machines of most endpoints are slow, being slow is usual.
        let is_known = factors.len() * 2 > endpoints.len();
        Self {
            has_slowdowns: endpoints.iter().any(|e| e.slowdowns.has_reports()),
            pace: typical_pace(endpoints),
            slowdown: median(factors).filter(|_| is_known).unwrap_or(1.0),
        }
    }
}

/// Returns the median of the known paces.
pub(super) fn typical_pace(endpoints: &[&PoolEndpoint]) -> Option<f64> {
    median(endpoints.iter().filter_map(|e| e.pace).collect())
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns how many times as long as at a typical endpoint work lastingly takes.
fn pace_factor(endpoint: &PoolEndpoint, now_ms: u64, typical: &Typical) -> f64 {
    let factor = match (endpoint.pace, typical.pace) {
        (Some(pace), Some(typical)) if typical > 0.0 => {
            (pace / typical).clamp(1.0 / MAX_PACE_FACTOR, MAX_PACE_FACTOR)
        }
        _ => 1.0,
    };
    let faded_ms = endpoint.pace_measured_ms.map_or(0, |measured_ms| {
        now_ms.saturating_sub(measured_ms + PACE_TRUST_MS)
    });
    if !typical.has_slowdowns {
        return factor;
    }
    let faded_ms = u32::try_from(faded_ms).map_or(PACE_FADE_MS, |ms| ms.min(PACE_FADE_MS));
    let trust = 1.0 - f64::from(faded_ms) / f64::from(PACE_FADE_MS);
    1.0 + (factor - 1.0) * trust
}

/// Returns how much later work ends due to the slowdown of a machine that is reported now.
fn passing_delay(
    endpoint: &PoolEndpoint,
    now_ms: u64,
    typical: &Typical,
    work: f64,
    is_long: bool,
) -> f64 {
    let Some(factor) = endpoint.slowdowns.factor(now_ms) else {
        return 0.0;
    };
    let factor = factor / typical.slowdown;
    let whole = work * (factor - 1.0);
    if !is_long {
        return whole;
    }
    let until_passed = PASSING_SLOWDOWN * (1.0 - 1.0 / factor);
    if factor >= 1.0 {
        whole.min(until_passed)
    } else {
        whole.max(until_passed)
    }
}

/// Returns when a request is expected to be complete at an endpoint: after what is there
/// already, and at the endpoint's speed.
pub(super) fn expected_completion(
    endpoint: &PoolEndpoint,
    now_ms: u64,
    requirements: &EndpointRequirements<'_>,
    typical: &Typical,
    occupancy: f64,
) -> f64 {
    let length = 1.0 + LONG_REQUEST_EXCESS * requirements.length_weight;
    let work = pace_factor(endpoint, now_ms, typical) * (occupancy + length);
    // Only samples have a slice, and only they take longer than a slowdown.
    let is_long = requirements.slice.is_some();
    work + passing_delay(endpoint, now_ms, typical, work, is_long)
}
