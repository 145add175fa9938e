use std::{fmt::Write, fs, path::Path};

use super::{Fit, Measurement, fit, plot};

/// The number of daemons for which the system is designed.
const PLANNED_DAEMONS: f64 = 360.0;

/// The names, units and budgets of the figures to which a line is fitted.
const FIGURES: [(&str, &str, Option<f64>); 15] = [
    ("cpu_percent", "% of a core", Some(1.2)),
    ("peak_mb", "MB", Some(32.0)),
    ("bytes_per_s", "B/s", Some(15_000.0)),
    ("bytes_per_s_max", "B/s", Some(15_000.0)),
    ("bytes_per_s/membership", "B/s", None),
    ("bytes_per_s/endpoint_watch", "B/s", None),
    ("bytes_per_s/configuration", "B/s", None),
    ("bytes_per_s/list", "B/s", None),
    ("bytes_per_s/table", "B/s", None),
    ("messages_per_s", "1/s", None),
    ("platform_reads_per_s", "1/s", None),
    ("platform_writes_per_s", "1/s", None),
    ("config_in_force_ms", "ms", Some(13_000.0)),
    ("killed_daemon_known_ms", "ms", None),
    ("killed_endpoint_known_ms", "ms", None),
];

/// Reads measurements, one JSON line each, and writes a table and a plot.
///
/// # Errors
///
/// Returns a message if a file cannot be read, parsed or written, or if the plot
/// cannot be drawn.
pub fn report(lines: &Path, table: &Path, plot: &Path) -> Result<(), String> {
    let text = fs::read_to_string(lines)
        .map_err(|error| format!("cannot read {}: {error}", lines.display()))?;
    let measurements = text
        .lines()
        .filter(|line| !line.is_empty())
        .map(|line| {
            serde_json::from_str(line)
                .map_err(|error| format!("invalid measurement in {}: {error}", lines.display()))
        })
        .collect::<Result<Vec<Measurement>, String>>()?;
    fs::write(table, table_text(&measurements))
        .map_err(|error| format!("cannot write {}: {error}", table.display()))?;
    let curves: Vec<plot::Curve> = FIGURES
        .iter()
        .filter_map(|(name, unit, budget)| {
            let budget = (*budget)?;
            Some(plot::Curve {
                title: format!("{name} ({unit})"),
                points: points(&measurements, name),
                line: fit(&points(&measurements, name))?,
                budget,
            })
        })
        .collect();
    plot::draw(plot, &curves, PLANNED_DAEMONS)
}

fn points(measurements: &[Measurement], name: &str) -> Vec<(f64, f64)> {
    measurements
        .iter()
        .filter_map(|measurement| {
            let daemons = f64::from(u32::try_from(measurement.daemons).ok()?);
            Some((daemons, *measurement.figures.get(name)?))
        })
        .collect()
}

fn table_text(measurements: &[Measurement]) -> String {
    let mut text = String::from("# Control work of one daemon, by the number of daemons\n\n");
    // Writing to a string cannot fail.
    let _ = write!(text, "| figure |");
    for run in measurements {
        let _ = write!(text, " {}/{} |", run.daemons, run.endpoints);
    }
    text.push_str(" slope, error | intercept | at 360, error |\n|---|");
    text.push_str(&"---|".repeat(measurements.len() + 3));
    text.push('\n');
    let mut names: Vec<&str> = FIGURES.iter().map(|(name, ..)| *name).collect();
    names.push("leaving_endpoint_known_ms");
    names.push("cpu_percent_max");
    for name in names {
        write_row(&mut text, measurements, name);
    }
    text.push_str("\nLoad average of the machine at each window: ");
    let loads = measurements
        .iter()
        .map(|run| format!("{:.1}", run.load_average));
    text.push_str(&loads.collect::<Vec<_>>().join(", "));
    text.push_str(".\n");
    text
}

fn write_row(text: &mut String, measurements: &[Measurement], name: &str) {
    let points = points(measurements, name);
    let _ = write!(text, "| {name} |");
    for (_, value) in &points {
        let _ = write!(text, " {} |", format_value(*value));
    }
    let line = fit(&points).map_or_else(|| " | | |".to_owned(), |line| fit_cells(&line));
    let _ = writeln!(text, "{line}");
}

fn fit_cells(line: &Fit) -> String {
    format!(
        " {}, {} | {} | {}, {} |",
        format_value(line.slope),
        format_value(line.slope_error),
        format_value(line.intercept),
        format_value(line.at(PLANNED_DAEMONS)),
        format_value(line.error_at(PLANNED_DAEMONS)),
    )
}

fn format_value(value: f64) -> String {
    const MIN_WITHOUT_DECIMALS: f64 = 100.0;
    if value.abs() >= MIN_WITHOUT_DECIMALS {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
