use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::Event;
use crate::core::{Name, streams::StreamOrigin};

/// The most bytes of a text in JSON: a trainer reads results of up to 1 MB, which hold
/// the sample's other fields too.
pub const MAX_TEXT_BYTES: usize = 990_000;

/// Returns the number of bytes of a text in JSON, without its quotes.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::json_bytes;
///
/// assert_eq!(json_bytes("a\n\"b\"\u{1}"), 1 + 2 + 5 + 6);
/// ```
#[must_use]
pub fn json_bytes(text: &str) -> usize {
    let escaped = text.bytes().map(|byte| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0..0x20 => 6,
        _ => 1,
    });
    escaped.sum()
}

quick_error! {
    /// An error for a run whose output cannot be added to the sample's text.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum TextError {
        /// The event received is not the next one in sequence.
        OutOfOrder(expected: u64, received: Option<u64>) {
            display("expected event number {}, received {:?}", expected, received)
        }
        /// The weights version is older than the sample allows.
        TooOld(version: u64, min_version: u64) {
            display(
                "weights version {} is older than the required minimum {}",
                version, min_version
            )
        }
        /// The text would mix weights versions, but only one is allowed.
        Mixed(version: u64, earlier_version: u64) {
            display(
                "weights version {} after version {} in a sample that allows only one",
                version, earlier_version
            )
        }
        /// The run is at another version of the software than the text.
        OtherSoftware(origin: StreamOrigin, earlier: StreamOrigin) {
            display("a run at {} in a text of {}", origin, earlier)
        }
        /// The text would be longer than is allowed.
        TooLong {
            display("the text exceeds {} bytes", MAX_TEXT_BYTES)
        }
        /// The run did not state its weights version.
        NoVersion {
            display("the run does not state its weights version")
        }
    }
}

/// A sample's text as it is stored, so that a later run can resume it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SavedText {
    /// The data of the events received so far.
    pub text: Name,
    /// The number of the last event.
    pub last_event: u64,
    /// The weights versions that generated the events.
    pub weights_versions: Vec<u64>,
    /// The software version that wrote it; builds before this field stored none.
    #[serde(default)]
    pub origin: Option<StreamOrigin>,
    /// Whether the text is complete.
    pub is_complete: bool,
}

/// The text of one sample, collected over one or more runs.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::{
///     batch::{Event, SampleText},
///     streams::StreamOrigin,
/// };
///
/// let origin = StreamOrigin { service: "demand-lm".into(), software: "v1".into() };
/// let mut text = SampleText::new(2, false);
/// text.on_run_start(Some(2), &origin).unwrap();
/// let event = Event { id: Some(1), data: "a".into(), weights_version: None };
/// text.on_event(&event).unwrap();
/// assert_eq!(text.last_event(), Some(1));
/// assert_eq!(text.weights_versions(), [2]);
/// ```
#[derive(Clone, Debug)]
pub struct SampleText {
    min_weights_version: u64,
    is_single_version: bool,
    text: String,
    /// The number of bytes of the text in JSON.
    json_bytes: usize,
    last_event: Option<u64>,
    /// The weights version that the current run has stated last.
    run_version: Option<u64>,
    versions: Vec<u64>,
    /// The origin of the current run, and of the text once it has events.
    origin: Option<StreamOrigin>,
}

impl SampleText {
    /// Creates an empty text.
    #[must_use]
    pub const fn new(min_weights_version: u64, is_single_version: bool) -> Self {
        Self {
            min_weights_version,
            is_single_version,
            text: String::new(),
            json_bytes: 0,
            last_event: None,
            run_version: None,
            versions: Vec::new(),
            origin: None,
        }
    }

    /// Resumes from a stored text, or returns `None` if its weights versions
    /// are not allowed.
    ///
    /// They are not allowed if there are none, if one is below
    /// `min_weights_version`, or, with `is_single_version`, if there are
    /// several. An incomplete text whose software version is unknown cannot be resumed.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::{
    ///     batch::{SampleText, SavedText},
    ///     streams::StreamOrigin,
    /// };
    ///
    /// let saved = SavedText {
    ///     text: "a".into(),
    ///     last_event: 1,
    ///     weights_versions: vec![2],
    ///     origin: Some(StreamOrigin { service: "demand-lm".into(), software: "v1".into() }),
    ///     is_complete: false,
    /// };
    /// assert!(SampleText::restore(&saved, 2, false).is_some());
    /// assert!(SampleText::restore(&saved, 3, false).is_none());
    /// ```
    #[must_use]
    pub fn restore(
        saved: &SavedText,
        min_weights_version: u64,
        is_single_version: bool,
    ) -> Option<Self> {
        let versions = &saved.weights_versions;
        let are_recent_enough = versions
            .iter()
            .all(|version| *version >= min_weights_version);
        let is_mix_allowed = !is_single_version || versions.len() == 1;
        let is_resumable = saved.is_complete || saved.origin.is_some();
        if versions.is_empty() || !are_recent_enough || !is_mix_allowed || !is_resumable {
            return None;
        }
        Some(Self {
            min_weights_version,
            is_single_version,
            text: saved.text.to_string(),
            json_bytes: json_bytes(&saved.text),
            last_event: Some(saved.last_event),
            run_version: None,
            versions: versions.clone(),
            origin: saved.origin.clone(),
        })
    }

    /// Returns the text in its stored form, or `None` before the first event.
    #[must_use]
    pub fn saved(&self, is_complete: bool) -> Option<SavedText> {
        Some(SavedText {
            text: self.text(),
            last_event: self.last_event?,
            weights_versions: self.versions.clone(),
            origin: self.origin.clone(),
            is_complete,
        })
    }

    /// Records the start of a run, the weights version that it states and the software
    /// version of its endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`TextError::OtherSoftware`] if the text was begun at another software
    /// version, [`TextError::TooOld`] or [`TextError::Mixed`] if the sample does
    /// not allow the version, and [`TextError::NoVersion`] if none is stated
    /// before the first event.
    pub fn on_run_start(
        &mut self,
        version: Option<u64>,
        origin: &StreamOrigin,
    ) -> Result<(), TextError> {
        match self.origin() {
            Some(earlier) if earlier != origin => {
                return Err(TextError::OtherSoftware(origin.clone(), earlier.clone()));
            }
            _ => self.origin = Some(origin.clone()),
        }
        self.run_version = version;
        match version {
            Some(version) => self.check_version(version),
            // A run that resumes a complete text generates no event, and states
            // no version.
            None if self.last_event.is_some() => Ok(()),
            None => Err(TextError::NoVersion),
        }
    }

    /// Appends the next event of the run.
    ///
    /// # Errors
    ///
    /// Returns [`TextError::OutOfOrder`] if the event is not the next one,
    /// [`TextError::NoVersion`] if its weights version is unknown,
    /// [`TextError::TooLong`] if the text would be too long for a trainer's read, and
    /// [`TextError::TooOld`] or [`TextError::Mixed`] if the sample does not
    /// allow the version.
    pub fn on_event(&mut self, event: &Event) -> Result<(), TextError> {
        let expected_id = self.last_event.map_or(1, |last| last + 1);
        if event.id != Some(expected_id) {
            return Err(TextError::OutOfOrder(expected_id, event.id));
        }
        let version = event.weights_version.or(self.run_version);
        let version = version.ok_or(TextError::NoVersion)?;
        self.check_version(version)?;
        // Two bytes for the line break between events.
        let new_bytes = json_bytes(&event.data) + 2;
        if self.json_bytes + new_bytes > MAX_TEXT_BYTES {
            return Err(TextError::TooLong);
        }
        self.json_bytes += new_bytes;
        self.run_version = Some(version);
        if self.versions.last() != Some(&version) && !self.versions.contains(&version) {
            self.versions.push(version);
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last_event = Some(expected_id);
        Ok(())
    }

    /// Returns the software version at which the text has to go on, once it has events.
    #[must_use]
    pub fn origin(&self) -> Option<&StreamOrigin> {
        self.origin.as_ref().filter(|_| self.last_event.is_some())
    }

    /// Returns the number of the last event, after which a run can resume.
    #[must_use]
    pub const fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the weights versions that generated the events, in order of
    /// first use.
    #[must_use]
    pub fn weights_versions(&self) -> &[u64] {
        &self.versions
    }

    /// Returns the number of bytes of the text collected so far.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.text.len()
    }

    /// Returns the text collected so far.
    #[must_use]
    pub fn text(&self) -> Name {
        self.text.as_str().into()
    }

    fn check_version(&self, version: u64) -> Result<(), TextError> {
        if version < self.min_weights_version {
            return Err(TextError::TooOld(version, self.min_weights_version));
        }
        match self.versions.last() {
            Some(earlier) if self.is_single_version && *earlier != version => {
                Err(TextError::Mixed(version, *earlier))
            }
            _ => Ok(()),
        }
    }
}
