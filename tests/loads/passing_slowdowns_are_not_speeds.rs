//! Guards against VMs that take a machine which is slow for a moment for a slow endpoint,
//! and avoid it long after.
//!
//! At any time, one machine in seven works 2.5 times slower; which ones changes every
//! 600 ms. All endpoints are equally fast otherwise, and an answer every 100 ms reports it.

use chicoryreach::core::pool::{PoolEndpoint, SLOWDOWN_LIFETIME_MS};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::support::{endpoint_name, endpoint_record, pool};

const EVENT_MS: f64 = 50.0;
const EVENTS: usize = 20;
const PERIOD_MS: u64 = 600;
const REPORT_EVERY_MS: u64 = 100;

/// Runs samples one after another at an endpoint; returns its highest pace relative to the
/// true one once some runs were measured.
fn highest_pace(endpoint: &mut PoolEndpoint, seed: u64, has_reports: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let percents: Vec<u32> = (0..200)
        .map(|_| if rng.random_bool(0.15) { 250 } else { 100 })
        .collect();
    let percent_at = |now_ms: u64| percents[usize::try_from(now_ms / PERIOD_MS).expect("few")];
    let (mut now_ms, mut highest) = (0_u64, 0.0_f64);
    for run in 0..40 {
        let (from_ms, mut done_events) = (now_ms, 0.0);
        while done_events < 20.0 {
            if has_reports && now_ms.is_multiple_of(REPORT_EVERY_MS) {
                endpoint.slowdowns.on_report(now_ms, percent_at(now_ms));
            }
            done_events += 100.0 / (EVENT_MS * f64::from(percent_at(now_ms)));
            now_ms += 1;
        }
        let took_ms = f64::from(u32::try_from(now_ms - from_ms).expect("short"));
        let events = f64::from(u32::try_from(EVENTS).expect("few"));
        endpoint.on_measured_pace(from_ms, now_ms, took_ms / events);
        if run >= 5 {
            highest = highest.max(endpoint.pace.expect("it was measured") / EVENT_MS);
        }
    }
    highest
}

#[test]
fn a_pace_is_kept_apart_from_what_passes() {
    let mut without_reports = 0.0_f64;
    for seed in 1..=8 {
        let mut pool = pool(2, 8, &[]);
        let raw = pool.get_mut(&endpoint_name(0)).expect("listed");
        let raw = highest_pace(raw, seed, false);
        let kept_apart = pool.get_mut(&endpoint_name(1)).expect("listed");
        let kept_apart = highest_pace(kept_apart, seed, true);
        println!("seed {seed}: highest pace {raw:.2} without reports, {kept_apart:.2} with them");
        assert!(kept_apart < 1.1, "seed {seed}: {kept_apart}");
        without_reports = without_reports.max(raw);
    }
    assert!(without_reports > 1.25, "the slowdowns show no effect");
}

#[test]
fn a_slowdown_is_forgotten_soon_and_with_its_incarnation() {
    let mut pool = pool(1, 8, &[]);
    let endpoint = pool.get_mut(&endpoint_name(0)).expect("listed");
    let factor_at = |endpoint: &PoolEndpoint, now_ms| endpoint.slowdowns.factor(now_ms);
    endpoint.slowdowns.on_report(1_000, 250);
    assert!(factor_at(endpoint, 1_000 + SLOWDOWN_LIFETIME_MS - 1).is_some());
    assert_eq!(factor_at(endpoint, 1_000 + SLOWDOWN_LIFETIME_MS), None);
    endpoint.slowdowns.on_report(2_000, 250);
    endpoint.on_measured_pace(1_900, 2_000, EVENT_MS);
    let mut restarted = endpoint_record(0, 8, &[]);
    restarted.started_unix_ms += 1;
    pool.on_listed(restarted);
    let endpoint = pool.get(&endpoint_name(0)).expect("listed");
    assert_eq!(factor_at(endpoint, 2_001), None);
    assert_eq!((endpoint.pace, endpoint.pace_measured_ms), (None, None));
}
