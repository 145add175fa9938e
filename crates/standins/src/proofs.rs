//! The table of stories, for the page of proofs.

use std::{fs, path::Path};

use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Head {
    story: String,
    promise: String,
    guards: String,
    seeds: u64,
}

/// Returns the rows of the table, by promise and then by file name.
///
/// # Errors
///
/// A sentence that names the file that cannot be read.
pub fn scenario_table(scenarios: &Path) -> Result<String, String> {
    let mut rows = Vec::new();
    for folder in entries(scenarios)? {
        for file in entries(&folder)? {
            rows.push(row(&file)?);
        }
    }
    rows.sort();
    Ok(rows.join("\n"))
}

fn entries(folder: &Path) -> Result<Vec<std::path::PathBuf>, String> {
    let entries = fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    entries
        .map(|entry| {
            entry
                .map(|entry| entry.path())
                .map_err(|error| error.to_string())
        })
        .collect()
}

fn row(file: &Path) -> Result<String, String> {
    let fault = |error: String| format!("{}: {error}", file.display());
    let text = fs::read_to_string(file).map_err(|error| fault(error.to_string()))?;
    let head: Head = serde_json::from_str(&text).map_err(|error| fault(error.to_string()))?;
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let Head {
        story,
        promise,
        guards,
        seeds,
    } = head;
    Ok(format!(
        "| {promise} | {story} | `{name}` | `{guards}` | {seeds} |"
    ))
}
