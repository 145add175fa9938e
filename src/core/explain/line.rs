use std::collections::BTreeMap;

use serde_json::Value;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::core::Name;

/// One line of a VM's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Microseconds since the Unix epoch, by the VM's clock.
    pub unix_us: i128,
    /// The VM, or the file, that wrote it.
    pub vm: Name,
    /// What happened.
    pub message: String,
    /// What decided it, by name.
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Reads a line; `source` is its VM unless the line begins with another.
    ///
    /// Returns none where it is not a log line in JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::explain::LogLine;
    ///
    /// let text = r#"0.2 vm-7 {"timestamp":"2026-03-10T06:48:27Z","message":"start"}"#;
    /// let line = LogLine::parse(text, "all.log").unwrap();
    /// assert_eq!((&*line.vm, &*line.message), ("vm-7", "start"));
    /// ```
    #[must_use]
    pub fn parse(text: &str, source: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let mut fields: BTreeMap<String, Value> = serde_json::from_str(json).ok()?;
        let timestamp = fields.remove("timestamp")?;
        let at = OffsetDateTime::parse(timestamp.as_str()?, &Rfc3339).ok()?;
        let message = fields.remove("message")?.as_str()?.to_owned();
        let vm = before.split_whitespace().next_back().unwrap_or(source);
        Some(Self {
            unix_us: at.unix_timestamp_nanos() / 1_000,
            vm: vm.into(),
            message,
            fields,
        })
    }

    /// Returns a field that holds text.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns whether a field is this id.
    #[must_use]
    pub fn mentions(&self, id: &str) -> bool {
        self.fields.values().any(|value| value.as_str() == Some(id))
    }
}
