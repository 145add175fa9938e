//! The table of scenarios for docs/PROOFS.md.

use std::{fs, path::Path};

use serde::Deserialize;

/// The fields of a scenario file that the table shows.
#[derive(Debug, Deserialize)]
struct ScenarioHeader {
    story: String,
    promise: String,
    guards: String,
    seeds: u64,
}

/// Returns the rows of the table in sorted order, so the scenarios of one
/// promise are together.
///
/// # Errors
///
/// Returns a message if a directory or file cannot be read, or if a file is not
/// a valid scenario.
pub fn scenario_table(scenarios: &Path) -> Result<String, String> {
    let mut rows = Vec::new();
    for folder in directory_entries(scenarios)? {
        for file in directory_entries(&folder)? {
            rows.push(table_row(&file)?);
        }
    }
    rows.sort();
    Ok(rows.join("\n"))
}

fn directory_entries(folder: &Path) -> Result<Vec<std::path::PathBuf>, String> {
    let entries = fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    entries
        .map(|entry| {
            entry
                .map(|entry| entry.path())
                .map_err(|error| format!("{}: {error}", folder.display()))
        })
        .collect()
}

fn table_row(file: &Path) -> Result<String, String> {
    let with_path = |error: String| format!("{}: {error}", file.display());
    let text = fs::read_to_string(file).map_err(|error| with_path(error.to_string()))?;
    let header: ScenarioHeader =
        serde_json::from_str(&text).map_err(|error| with_path(error.to_string()))?;
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let ScenarioHeader {
        story,
        promise,
        guards,
        seeds,
    } = header;
    Ok(format!(
        "| {promise} | {story} | `{name}` | `{guards}` | {seeds} |"
    ))
}
