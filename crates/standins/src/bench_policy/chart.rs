//! Charts of idle time and staleness for the core, the best baseline and the
//! lower bound.

use std::{collections::BTreeMap, path::Path};

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, RGBColor, Rectangle, SVGBackend, WHITE,
};

use super::report::Row;

const CHART_SIZE_PX: (u32, u32) = (960, 360);
const BAR_WIDTH: f64 = 0.25;
const CORE_COLOR: RGBColor = RGBColor(0, 90, 160);
const BASELINE_COLOR: RGBColor = RGBColor(200, 120, 0);
const BOUND_COLOR: RGBColor = RGBColor(120, 120, 120);

/// Writes two charts for each workload that has baselines.
///
/// # Errors
///
/// Returns the error text if a chart cannot be drawn or written.
pub(super) fn write(rows: &[Row], out: &Path) -> Result<(), String> {
    let mut rows_by_workload: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    for row in rows {
        rows_by_workload.entry(row.workload).or_default().push(row);
    }
    for (workload, rows) in rows_by_workload {
        let Some(baseline) = best_baseline(&rows) else {
            continue;
        };
        for (name, title) in [
            ("idle_share", "idle share"),
            ("staleness_p99", "staleness p99, versions"),
        ] {
            let path = out.join(format!("policy-{workload}-{name}.svg"));
            let title = format!("{workload}: {title} (blue core, orange {baseline}, grey bound)");
            draw(&rows, baseline, name, &title, &path)
                .map_err(|error| format!("cannot draw {}: {error}", path.display()))?;
        }
    }
    Ok(())
}

/// Returns the baseline with the lowest total score over the faults.
pub(super) fn best_baseline<'a>(rows: &[&'a Row]) -> Option<&'a str> {
    let mut scores: BTreeMap<&str, f64> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.is_baseline) {
        *scores.entry(row.policy).or_default() += row.score;
    }
    let best = scores.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
    best.map(|(policy, _)| policy)
}

fn draw(
    rows: &[&Row],
    baseline: &str,
    name: &str,
    title: &str,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut faults: Vec<&str> = rows.iter().map(|row| row.fault).collect();
    faults.dedup();
    let find = |fault: &str, policy: &str| {
        let mut rows = rows.iter();
        rows.find(|row| row.fault == fault && row.policy == policy)
    };
    let mut bars = Vec::new();
    for (position, fault) in (0_u32..).zip(&faults) {
        let left = f64::from(position);
        for (offset, policy, color) in [(0.1, "core", CORE_COLOR), (0.4, baseline, BASELINE_COLOR)]
        {
            if let Some(row) = find(fault, policy) {
                bars.push((left + offset, row.figures[name].mean, color));
            }
        }
        if let Some(row) = find(fault, "core").filter(|_| name == "idle_share") {
            bars.push((left + 0.7, row.least_idle_share, BOUND_COLOR));
        }
    }
    let highest = bars.iter().map(|(_, value, _)| *value).fold(0.01, f64::max);
    #[expect(clippy::cast_precision_loss, reason = "a few faults")]
    let width = faults.len() as f64;
    let area = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..width, 0.0..1.1 * highest)?;
    let label = |position: &f64| {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positions of faults"
        )]
        let position = position.floor() as usize;
        faults
            .get(position)
            .map_or_else(String::new, |fault| (*fault).to_owned())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(faults.len() + 1)
        .x_label_formatter(&label)
        .draw()?;
    chart.draw_series(bars.iter().map(|(left, value, color)| {
        Rectangle::new([(*left, 0.0), (left + BAR_WIDTH, *value)], color.filled())
    }))?;
    area.present()?;
    Ok(())
}
