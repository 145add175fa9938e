use std::{collections::BTreeSet, fmt};

use super::LogLine;
use crate::core::Name;

/// From how long between two lines on a gap is shown, in microseconds: runs log
/// nothing while their events come, for about a second.
const GAP_US: i128 = 1_000_000;
/// How long before and after its lines what is said of its endpoints belongs to
/// a timeline, in microseconds: a load of weights takes about a second.
const AROUND_US: i128 = 1_500_000;

/// A line of a timeline, and how long nothing was logged before it.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// The line.
    pub line: LogLine,
    /// Microseconds since the story's first line.
    pub since_start_us: i128,
    /// Microseconds since the line before, where that is a gap.
    pub gap_us: Option<i128>,
}

/// What was logged of one id, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// The lines.
    pub entries: Vec<TimelineEntry>,
}

/// Returns the story of a request, a sample, a batch or an endpoint.
///
/// Beside the lines that name it, a sample's story has those of its batch, and
/// what the VMs that ran it logged of the endpoints that they used meanwhile.
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
        .filter(|line| line.mentions(id) || scope.has(line))
        .collect();
    chosen.sort_by(|a, b| (a.unix_us, &a.vm).cmp(&(b.unix_us, &b.vm)));
    let start_us = chosen.first().map_or(0, |line| line.unix_us);
    let mut before_us = start_us;
    let entries = chosen.into_iter().map(|line| {
        let gap_us = line.unix_us - before_us;
        before_us = line.unix_us;
        TimelineEntry {
            since_start_us: line.unix_us - start_us,
            gap_us: (gap_us >= GAP_US).then_some(gap_us),
            line,
        }
    });
    Timeline {
        entries: entries.collect(),
    }
}

/// What belongs to a story without naming its id.
struct Scope {
    batches: BTreeSet<String>,
    /// The VMs that logged the id, and the endpoints that they named with it.
    used: BTreeSet<(Name, String)>,
    from_us: i128,
    to_us: i128,
}

impl Scope {
    fn new(lines: &[LogLine], id: &str) -> Self {
        let own: Vec<&LogLine> = lines.iter().filter(|line| line.mentions(id)).collect();
        let texts = |field: &'static str| {
            let named = own.iter().filter_map(move |line| {
                let text = line.text(field).filter(|text| *text != id)?;
                Some((line.vm.clone(), text.to_owned()))
            });
            named.collect::<BTreeSet<_>>()
        };
        let times = || own.iter().map(|line| line.unix_us);
        Self {
            batches: texts("batch").into_iter().map(|(_, batch)| batch).collect(),
            used: texts("endpoint"),
            from_us: times().min().unwrap_or(0) - AROUND_US,
            to_us: times().max().unwrap_or(0) + AROUND_US,
        }
    }

    fn has(&self, line: &LogLine) -> bool {
        // A batch names its samples in lines of their own.
        let is_of_batch = line.text("sample").is_none()
            && line
                .text("batch")
                .is_some_and(|batch| self.batches.contains(batch));
        if is_of_batch {
            return true;
        }
        let is_near = (self.from_us..=self.to_us).contains(&line.unix_us);
        let is_of_request = line.text("sample").or(line.text("id")).is_some();
        let endpoint = line.text("endpoint").map(str::to_owned);
        let is_used = endpoint.is_some_and(|name| self.used.contains(&(line.vm.clone(), name)));
        is_near && is_used && !is_of_request
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
