use crate::core::Name;

/// One whole event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// The event's number.
    pub id: Option<u64>,
    /// The data.
    pub data: Name,
    /// The weights version from this event on, where it changes here.
    pub weights_version: Option<u64>,
}

/// Takes a stream of server-sent events apart.
///
/// An event counts once the empty line after it has come: what a broken
/// stream ends with is dropped. Fields beyond the standard are kept, which
/// general parsers drop.
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
    rest: Vec<u8>,
    event: Event,
    data: Option<String>,
    has_fields: bool,
}

impl EventParser {
    /// Creates a parser; `version_field` names the field of the weights version.
    #[must_use]
    pub fn new(version_field: &'static str) -> Self {
        Self {
            version_field,
            rest: Vec::new(),
            event: Event::default(),
            data: None,
            has_fields: false,
        }
    }

    /// Takes the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut from = 0;
        while let Some(len) = self.rest[from..].iter().position(|byte| *byte == b'\n') {
            let line = self.rest[from..from + len].to_vec();
            from += len + 1;
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            events.extend(self.on_line(&String::from_utf8_lossy(line)));
        }
        self.rest.drain(..from);
        events
    }

    /// Returns whether the stream stands in the middle of an event.
    #[must_use]
    pub const fn is_inside_event(&self) -> bool {
        !self.rest.is_empty() || self.has_fields
    }

    fn on_line(&mut self, line: &str) -> Option<Event> {
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
