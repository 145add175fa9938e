use std::{fmt::Write, fs, path::Path};

use super::{Fit, Measured, fit, plot};

/// The size to design for.
const PLANNED_DAEMONS: f64 = 360.0;

/// Names, units and budgets of the figures that get a line.
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
/// A sentence if a file cannot be read or written.
pub fn report(lines: &Path, table: &Path, plot: &Path) -> Result<(), String> {
    let text = fs::read_to_string(lines).map_err(|error| error.to_string())?;
    let measured = text
        .lines()
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_str(line).map_err(|error| error.to_string()))
        .collect::<Result<Vec<Measured>, String>>()?;
    fs::write(table, summary(&measured)).map_err(|error| error.to_string())?;
    let curves: Vec<plot::Curve> = FIGURES
        .iter()
        .filter_map(|(name, unit, budget)| {
            let budget = (*budget)?;
            Some(plot::Curve {
                title: format!("{name} ({unit})"),
                points: points(&measured, name),
                line: fit(&points(&measured, name))?,
                budget,
            })
        })
        .collect();
    plot::draw(plot, &curves, PLANNED_DAEMONS)
}

fn points(measured: &[Measured], name: &str) -> Vec<(f64, f64)> {
    measured
        .iter()
        .filter_map(|measured| {
            let daemons = f64::from(u32::try_from(measured.daemons).ok()?);
            Some((daemons, *measured.figures.get(name)?))
        })
        .collect()
}

fn summary(measured: &[Measured]) -> String {
    let mut text = String::from("# Control work of one daemon, by the number of daemons\n\n");
    // Writing to a string cannot fail.
    let _ = write!(text, "| figure |");
    for run in measured {
        let _ = write!(text, " {}/{} |", run.daemons, run.endpoints);
    }
    text.push_str(" slope, error | intercept | at 360, error |\n|---|");
    text.push_str(&"---|".repeat(measured.len() + 3));
    text.push('\n');
    let mut names: Vec<&str> = FIGURES.iter().map(|(name, ..)| *name).collect();
    names.push("leaving_endpoint_known_ms");
    names.push("cpu_percent_max");
    for name in names {
        row(&mut text, measured, name);
    }
    text.push_str("\nLoad average of the machine at each window: ");
    let loads = measured
        .iter()
        .map(|run| format!("{:.1}", run.load_average));
    text.push_str(&loads.collect::<Vec<_>>().join(", "));
    text.push_str(".\n");
    text
}

fn row(text: &mut String, measured: &[Measured], name: &str) {
    let points = points(measured, name);
    let _ = write!(text, "| {name} |");
    for (_, value) in &points {
        let _ = write!(text, " {} |", rounded(*value));
    }
    let line = fit(&points).map_or_else(|| " | | |".to_owned(), |line| fitted(&line));
    let _ = writeln!(text, "{line}");
}

fn fitted(line: &Fit) -> String {
    format!(
        " {}, {} | {} | {}, {} |",
        rounded(line.slope),
        rounded(line.slope_error),
        rounded(line.intercept),
        rounded(line.at(PLANNED_DAEMONS)),
        rounded(line.error_at(PLANNED_DAEMONS)),
    )
}

fn rounded(value: f64) -> String {
    const LARGE: f64 = 100.0;
    if value.abs() >= LARGE {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
