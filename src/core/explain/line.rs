use std::collections::BTreeMap;

use serde_json::Value;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::core::Name;

/// A line of a VM's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The time in microseconds since the Unix epoch, by the VM's clock.
    pub unix_us: i128,
    /// The VM that wrote the line, or the source file if the VM is unknown.
    pub vm: Name,
    /// The log message.
    pub message: String,
    /// The other fields of the line, by name.
    pub fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Parses a line.
    ///
    /// The VM is the last word before the JSON object, or `source` if there is
    /// none. Returns `None` if the text is not a log line in JSON.
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

    /// Returns the value of a field, if it is a string.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns whether the value of any field is this id.
    #[must_use]
    pub fn mentions(&self, id: &str) -> bool {
        self.fields.values().any(|value| value.as_str() == Some(id))
    }
}
