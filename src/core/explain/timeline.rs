use std::{collections::BTreeSet, fmt};

use super::LogLine;
use crate::core::Name;

/// The minimum time between two lines that is shown as a gap.
///
/// Runs log nothing for about a second while their events arrive.
const MIN_GAP_US: i128 = 1_000_000;
/// The time before the first and after the last line that mentions the id in
/// which lines about its endpoints are included.
///
/// A load of weights takes about a second.
const ENDPOINT_MARGIN_US: i128 = 1_500_000;

/// A line of a timeline, and its distance from the lines before it.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// The line.
    pub line: LogLine,
    /// Microseconds since the first line of the timeline.
    pub since_start_us: i128,
    /// Microseconds since the previous line, if that is long enough to be shown
    /// as a gap.
    pub gap_us: Option<i128>,
}

/// The log lines about one id, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// The lines.
    pub entries: Vec<TimelineEntry>,
}

/// Returns the timeline of a request, a sample, a batch or an endpoint.
///
/// It consists of the lines that mention the id. For a sample, it also includes
/// the lines of its batch, and the lines about the endpoints that it used,
/// logged meanwhile by the VMs that used them.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::explain::{LogLine, timeline};
///
/// let lines = [
///     r#"vm-1 {"timestamp":"2026-03-10T06:48:30Z","message":"sample finished","sample":"s7"}"#,
///     r#"vm-2 {"timestamp":"2026-03-10T06:48:27Z","message":"run ended early","sample":"s7"}"#,
///     r#"vm-2 {"timestamp":"2026-03-10T06:48:28Z","message":"sample finished","sample":"s8"}"#,
/// ];
/// let lines = lines.iter().filter_map(|text| LogLine::parse(text, "-"));
/// let timeline = timeline(lines.collect(), "s7");
/// assert_eq!(timeline.entries.len(), 2);
/// assert_eq!(timeline.entries[1].gap_us, Some(3_000_000));
/// ```
#[must_use]
pub fn timeline(lines: Vec<LogLine>, id: &str) -> Timeline {
    let scope = Scope::new(&lines, id);
    let mut chosen: Vec<LogLine> = lines
        .into_iter()
        .filter(|line| line.mentions(id) || scope.includes(line))
        .collect();
    chosen.sort_by(|a, b| (a.unix_us, &a.vm).cmp(&(b.unix_us, &b.vm)));
    let start_us = chosen.first().map_or(0, |line| line.unix_us);
    let mut previous_us = start_us;
    let entries = chosen.into_iter().map(|line| {
        let gap_us = line.unix_us - previous_us;
        previous_us = line.unix_us;
        TimelineEntry {
            since_start_us: line.unix_us - start_us,
            gap_us: (gap_us >= MIN_GAP_US).then_some(gap_us),
            line,
        }
    });
    Timeline {
        entries: entries.collect(),
    }
}

/// The lines that belong to a timeline without mentioning its id.
struct Scope {
    batches: BTreeSet<String>,
    /// The VMs that logged the id, each with an endpoint that it logged with it.
    used_endpoints: BTreeSet<(Name, String)>,
    from_us: i128,
    to_us: i128,
}

impl Scope {
    fn new(lines: &[LogLine], id: &str) -> Self {
        let mentions: Vec<&LogLine> = lines.iter().filter(|line| line.mentions(id)).collect();
        let texts = |field: &'static str| {
            let texts = mentions.iter().filter_map(move |line| {
                let text = line.text(field).filter(|text| *text != id)?;
                Some((line.vm.clone(), text.to_owned()))
            });
            texts.collect::<BTreeSet<_>>()
        };
        let times = || mentions.iter().map(|line| line.unix_us);
        Self {
            batches: texts("batch").into_iter().map(|(_, batch)| batch).collect(),
            used_endpoints: texts("endpoint"),
            from_us: times().min().unwrap_or(0) - ENDPOINT_MARGIN_US,
            to_us: times().max().unwrap_or(0) + ENDPOINT_MARGIN_US,
        }
    }

    fn includes(&self, line: &LogLine) -> bool {
        // Lines of the batch that carry a sample belong to that sample only.
        let is_of_batch = line.text("sample").is_none()
            && line
                .text("batch")
                .is_some_and(|batch| self.batches.contains(batch));
        if is_of_batch {
            return true;
        }
        let is_meanwhile = (self.from_us..=self.to_us).contains(&line.unix_us);
        let is_of_request = line.text("sample").or(line.text("id")).is_some();
        let endpoint = line.text("endpoint").map(str::to_owned);
        let is_used =
            endpoint.is_some_and(|name| self.used_endpoints.contains(&(line.vm.clone(), name)));
        is_meanwhile && is_used && !is_of_request
    }
}

impl fmt::Display for TimelineEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(gap_us) = self.gap_us {
            writeln!(f, "{:>10}   nothing for {} s", "...", seconds(gap_us))?;
        }
        let line = &self.line;
        let at = seconds(self.since_start_us);
        write!(f, "{at:>10} s {:<16} {}", line.vm, line.message)?;
        let fields = line.fields.iter().filter(|(name, _)| *name != "level");
        for (name, value) in fields {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

fn seconds(us: i128) -> String {
    format!("{}.{:03}", us / 1_000_000, us % 1_000_000 / 1_000)
}
