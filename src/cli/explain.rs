use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::PathBuf,
};

use crate::core::explain::{LogLine, timeline};

/// Prints the timeline of an id, assembled from log files.
///
/// # Errors
///
/// A message if a file cannot be read, if no log line mentions the id, or if
/// the output cannot be written.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Result<(), String> {
    let mut lines = Vec::new();
    let mut unparsed = 0;
    for path in files {
        let describe = |error: io::Error| format!("{}: {error}", path.display());
        let source = path.file_stem().unwrap_or_default().to_string_lossy();
        let file = BufReader::new(File::open(path).map_err(describe)?);
        for text in file.split(b'\n') {
            let text = text.map_err(describe)?;
            match LogLine::parse(&String::from_utf8_lossy(&text), &source) {
                Some(line) => lines.push(line),
                None => unparsed += 1,
            }
        }
    }
    let timeline = timeline(lines, id);
    if timeline.entries.is_empty() {
        return Err(format!(
            "no log line mentions {id}; {unparsed} lines are not log lines"
        ));
    }
    let mut output = io::stdout().lock();
    let result = timeline
        .entries
        .iter()
        .try_for_each(|entry| writeln!(output, "{entry}"));
    result.map_err(|error| format!("cannot write the output: {error}"))?;
    let vms: std::collections::BTreeSet<_> = timeline
        .entries
        .iter()
        .map(|entry| &entry.line.vm)
        .collect();
    eprintln!(
        "{} lines of {} VMs; {unparsed} lines are not log lines",
        timeline.entries.len(),
        vms.len()
    );
    Ok(())
}
