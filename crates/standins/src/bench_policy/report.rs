//! Runs the simulations and writes the results.

use std::{
    collections::BTreeMap,
    fmt::Write,
    fs,
    path::PathBuf,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use serde::Serialize;
use strum::IntoEnumIterator;

use super::{
    bound::least_idle_share,
    chart,
    fault::Fault,
    measure::Figures,
    policy::{POLICIES, Policy, is_compared, is_simulated},
    workload::{STALENESS_BOUND, WorkloadName},
    world::simulate,
};

/// The runs to simulate and where to write the results.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Runs only this workload; `None` runs all.
    pub workload: Option<WorkloadName>,
    /// Runs only this fault; `None` runs all.
    pub fault: Option<Fault>,
    /// Runs only the policy of this name; `None` runs all.
    pub policy: Option<String>,
    /// The first seed.
    pub first_seed: u64,
    /// The number of seeds.
    pub seeds: u64,
    /// The number of concurrent runs.
    pub threads: usize,
    /// The directory to which figures and charts are written, if any.
    pub out: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    workload: WorkloadName,
    fault: Fault,
    policy: &'static Policy,
    seed: u64,
}

/// The spread of one figure over all seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Spread {
    pub(super) mean: f64,
    pub(super) min: f64,
    pub(super) max: f64,
}

/// Returns one figure of a run.
type Figure = fn(&Figures) -> f64;

/// A line of the report: one workload, fault and policy over all seeds.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    pub(super) workload: &'static str,
    pub(super) fault: &'static str,
    pub(super) policy: &'static str,
    pub(super) is_baseline: bool,
    first_seed: u64,
    seeds: usize,
    /// Idle time and staleness, weighted for the workload. Lower is better.
    pub(super) score: f64,
    pub(super) least_idle_share: f64,
    pub(super) figures: BTreeMap<&'static str, Spread>,
    refusals: BTreeMap<&'static str, u64>,
    retries: BTreeMap<&'static str, u64>,
}

/// Runs the selection, prints a table, and writes figures and charts.
///
/// # Errors
///
/// Returns the error text if a file cannot be written.
pub fn run(selection: &Selection) -> Result<(), String> {
    let runs = runs(selection);
    let results = simulate_all(&runs, selection.threads);
    let run_figures: Vec<(&Run, &Figures)> = runs.iter().zip(&results).collect();
    let is_same = |a: &(&Run, &Figures), b: &(&Run, &Figures)| {
        let key = |run: &Run| (run.workload, run.fault, run.policy.name);
        key(a.0) == key(b.0)
    };
    let rows: Vec<Row> = run_figures.chunk_by(is_same).map(summarize).collect();
    print!("{}", format_table(&rows));
    let Some(out) = &selection.out else {
        return Ok(());
    };
    let lines = rows.iter().map(serde_json::to_string);
    let lines: Result<Vec<String>, _> = lines.collect();
    let text = lines.map_err(|error| error.to_string())?.join("\n") + "\n";
    let path = out.join("policy.jsonl");
    fs::write(&path, text).map_err(|error| format!("cannot write {}: {error}", path.display()))?;
    chart::write(&rows, out)
}

fn runs(selection: &Selection) -> Vec<Run> {
    let mut runs = Vec::new();
    let workloads = WorkloadName::iter()
        .filter(|workload| selection.workload.is_none_or(|only| only == *workload));
    for workload in workloads {
        let faults = Fault::iter()
            .filter(|fault| is_simulated(*fault, workload))
            .filter(|fault| selection.fault.is_none_or(|only| only == *fault));
        for fault in faults {
            let policies = POLICIES
                .iter()
                .filter(|policy| is_compared(policy, workload))
                .filter(|policy| {
                    let only = selection.policy.as_ref();
                    only.is_none_or(|only| only == policy.name)
                });
            for policy in policies {
                let seeds = selection.first_seed..selection.first_seed + selection.seeds;
                runs.extend(seeds.map(|seed| Run {
                    workload,
                    fault,
                    policy,
                    seed,
                }));
            }
        }
    }
    runs
}

fn simulate_all(runs: &[Run], threads: usize) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![None; runs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, run)) = next_run(&next, runs) {
                    let figures =
                        simulate(&run.workload.workload(), run.policy, run.fault, run.seed);
                    results.lock().expect("no run panics")[index] = Some(figures);
                }
            });
        }
    });
    let results = results.into_inner().expect("no run panics");
    results.into_iter().flatten().collect()
}

fn next_run<'a>(next: &AtomicUsize, runs: &'a [Run]) -> Option<(usize, &'a Run)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    runs.get(index).map(|run| (index, run))
}

fn summarize(run_figures: &[(&Run, &Figures)]) -> Row {
    let run = run_figures[0].0;
    let workload = run.workload.workload();
    let figures = figure_spreads(run_figures);
    let mean = |name: &str| figures.get(name).map_or(0.0, |spread: &Spread| spread.mean);
    #[expect(clippy::cast_precision_loss, reason = "a small number")]
    let staleness = mean("staleness_p99") / STALENESS_BOUND as f64;
    let score =
        workload.idle_weight * mean("idle_share") + (1.0 - workload.idle_weight) * staleness;
    Row {
        workload: run.workload.into(),
        fault: run.fault.into(),
        policy: run.policy.name,
        is_baseline: run.policy.is_baseline,
        first_seed: run.seed,
        seeds: run_figures.len(),
        score: round(score),
        least_idle_share: round(least_idle_share(&workload, run.fault)),
        refusals: sum_counts(run_figures, |figures| &figures.refusals),
        retries: sum_counts(run_figures, |figures| &figures.retries),
        figures,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run")]
fn figure_spreads(run_figures: &[(&Run, &Figures)]) -> BTreeMap<&'static str, Spread> {
    let figures: [(&'static str, Figure); 15] = [
        ("idle_share", |f| f.idle_share),
        ("staleness_p50", |f| f.staleness_p50 as f64),
        ("staleness_p99", |f| f.staleness_p99 as f64),
        ("staleness_mean", |f| f.staleness_mean),
        ("steps", |f| f.steps as f64),
        ("step_ms", |f| f.step_ms),
        ("model_p50_ms", |f| f.model_p50_ms as f64),
        ("model_p99_ms", |f| f.model_p99_ms as f64),
        ("plain_p50_ms", |f| f.plain_p50_ms as f64),
        ("plain_p99_ms", |f| f.plain_p99_ms as f64),
        ("unanswered_share", |f| f.unanswered_share),
        ("load_factor", |f| f.load_factor),
        ("wasted_share", |f| f.wasted_share),
        ("doubled", |f| f.doubled as f64),
        ("lost", |f| f.lost as f64),
    ];
    let spread = |figure: Figure| {
        let values: Vec<f64> = run_figures
            .iter()
            .map(|(_, figures)| figure(figures))
            .collect();
        Spread {
            mean: round(values.iter().sum::<f64>() / values.len() as f64),
            min: round(values.iter().copied().fold(f64::INFINITY, f64::min)),
            max: round(values.iter().copied().fold(0.0, f64::max)),
        }
    };
    figures.map(|(name, figure)| (name, spread(figure))).into()
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

fn sum_counts<F>(run_figures: &[(&Run, &Figures)], counts: F) -> BTreeMap<&'static str, u64>
where
    F: Fn(&Figures) -> &BTreeMap<&'static str, u64>,
{
    let mut total = BTreeMap::new();
    for (_, figures) in run_figures {
        for (reason, count) in counts(figures) {
            *total.entry(*reason).or_default() += count;
        }
    }
    total
}

fn format_table(rows: &[Row]) -> String {
    let mut text = String::from(
        "workload  fault            policy            score  idle bound  p50 p99  step s  \
         model p50,p99 ms  plain p50,p99 ms  unanswered  load  wasted  doubled  lost\n",
    );
    for row in rows {
        let mean = |name: &str| row.figures[name].mean;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<9} {:<16} {:<17} {:.3} {:.3} {:.3} {:>4.1} {:.1} {:>7.1} {:>9.0} {:>7.0} {:>9.0} {:>7.0} {:>11.4} {:>5.2} {:>7.4} {:>8} {:>5}",
            row.workload,
            row.fault,
            row.policy,
            row.score,
            mean("idle_share"),
            row.least_idle_share,
            mean("staleness_p50"),
            mean("staleness_p99"),
            mean("step_ms") / 1_000.0,
            mean("model_p50_ms"),
            mean("model_p99_ms"),
            mean("plain_p50_ms"),
            mean("plain_p99_ms"),
            mean("unanswered_share"),
            mean("load_factor"),
            mean("wasted_share"),
            mean("doubled"),
            mean("lost"),
        );
    }
    text
}
