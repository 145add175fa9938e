use super::MAX_TEXT_BYTES;
use crate::core::Name;

/// A complete event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// The event's number in the stream.
    pub id: Option<u64>,
    /// The event's data, its lines joined by `\n`.
    pub data: Name,
    /// The weights version from this event on, if it changes with this event.
    pub weights_version: Option<u64>,
}

/// An incremental parser for a stream of server-sent events.
///
/// An event is complete once the empty line after it has been read, so an
/// incomplete event at the end of a broken stream is never returned. Unlike
/// general parsers, it also reads one non-standard field: the weights version.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::EventParser;
///
/// let mut parser = EventParser::new("version");
/// assert!(parser.push(b"version: 3\nid: 1\ndata: a").is_empty());
/// let events = parser.push(b"b\n\nid: 2\n");
/// assert_eq!((&*events[0].data, events[0].weights_version), ("ab", Some(3)));
/// assert!(parser.is_inside_event());
/// ```
#[derive(Clone, Debug)]
pub struct EventParser {
    version_field: &'static str,
    unparsed: Vec<u8>,
    event: Event,
    data: Option<String>,
    has_fields: bool,
}

impl EventParser {
    /// Creates a parser that reads the weights version from the field named
    /// `version_field`.
    #[must_use]
    pub fn new(version_field: &'static str) -> Self {
        Self {
            version_field,
            unparsed: Vec::new(),
            event: Event::default(),
            data: None,
            has_fields: false,
        }
    }

    /// Parses the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.unparsed.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut line_start = 0;
        while let Some(len) = self.unparsed[line_start..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line = self.unparsed[line_start..line_start + len].to_vec();
            line_start += len + 1;
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            events.extend(self.parse_line(&String::from_utf8_lossy(line)));
        }
        self.unparsed.drain(..line_start);
        events
    }

    /// Returns whether the bytes so far end inside an event.
    #[must_use]
    pub const fn is_inside_event(&self) -> bool {
        !self.unparsed.is_empty() || self.has_fields
    }

    /// Returns the number of bytes of the event that is not complete.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.unparsed.len() + self.data.as_ref().map_or(0, String::len)
    }

    /// Returns whether the event that the bytes so far end in is longer than a text.
    #[must_use]
    pub fn is_event_too_long(&self) -> bool {
        self.pending_bytes() > MAX_TEXT_BYTES
    }

    fn parse_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            self.has_fields = false;
            let event = std::mem::take(&mut self.event);
            let data = self.data.take()?;
            return Some(Event {
                data: data.into(),
                ..event
            });
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        self.has_fields |= !field.is_empty();
        match field {
            "id" => self.event.id = value.parse().ok(),
            "data" => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            field if field == self.version_field => {
                self.event.weights_version = value.trim().parse().ok();
            }
            _ => {}
        }
        None
    }
}
