use std::sync::Arc;

use bytes::Bytes;

use super::{DroppedSample, Ledger, LoggedSample, keys::is_content_of};
use crate::{
    core::guard::{self, Guard},
    error::{ErrorKind, Refusal},
    wire::trainers::Fetch,
};

/// The most bytes of samples in one answer.
const MAX_FETCH_BYTES: usize = 16 * 1024 * 1024;
/// How many bytes of committed samples are kept in memory; more is read from
/// the object store when it is fetched.
pub(super) const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// Where the payload of a committed sample is.
#[derive(Clone, Debug)]
pub(super) enum Place {
    Held(Bytes),
    Stored,
    /// The object store does not have it: the sample is made again.
    Unreadable,
}

/// A committed sample that is not acknowledged.
#[derive(Clone, Debug)]
pub(super) struct Logged {
    pub(super) sample: LoggedSample,
    pub(super) chunk: u64,
    pub(super) place: Place,
}

impl Logged {
    pub(super) const fn stored(sample: LoggedSample, chunk: u64) -> Self {
        Self {
            sample,
            chunk,
            place: Place::Stored,
        }
    }
}

/// Samples for the trainer, as the bytes that are sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FetchResponse {
    /// The samples in the order of their cursors, each as JSON.
    pub samples: Vec<Bytes>,
    /// The cursor after the last of them.
    pub next_cursor: u64,
    /// The object to read before the same fetch gives more, if there is one.
    pub missing: Option<MissingObject>,
}

/// An object whose samples are not in memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingObject {
    /// The number of the chunk row that lists it.
    pub chunk: u64,
    /// The object's name.
    pub object: Arc<str>,
}

impl FetchResponse {
    /// Returns the answer's JSON, which reads as [`Fetched`].
    ///
    /// [`Fetched`]: crate::wire::trainers::Fetched
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::{core::sample::FetchResponse, wire::trainers::Fetched};
    ///
    /// let answer = FetchResponse { next_cursor: 3, ..FetchResponse::default() };
    /// let fetched: Fetched = serde_json::from_slice(&answer.to_json()).unwrap();
    /// assert_eq!(fetched.next_cursor, 3);
    /// ```
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        const FRAME_BYTES: usize = 64;
        let size: usize = self.samples.iter().map(|sample| sample.len() + 1).sum();
        let mut json = Vec::with_capacity(size + FRAME_BYTES);
        json.extend_from_slice(b"{\"samples\":[");
        for (index, sample) in self.samples.iter().enumerate() {
            if index > 0 {
                json.push(b',');
            }
            json.extend_from_slice(sample);
        }
        json.extend_from_slice(format!("],\"next_cursor\":{}}}", self.next_cursor).as_bytes());
        json
    }
}

impl Ledger {
    /// Returns the samples from a cursor on that are fresh enough.
    ///
    /// What is too old for the trainer's version, or cannot be read, leaves its
    /// slot by the next commit and is made again; until then the hand-over
    /// stops before it. A fetch says that the trainer holds nothing from its
    /// cursor on, so that what leaves its slot here was never taken.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if the cursor was acknowledged or has not been
    /// reached, if the limit is 0, or if the weights version goes back;
    /// [`ErrorKind::PlatformUnavailable`] before the first commit of this holder.
    pub fn fetch(&mut self, fetch: Fetch) -> Result<FetchResponse, Refusal> {
        self.check_claimed()?;
        let range = self.head.acknowledged_cursor..=self.head.next_cursor;
        if !range.contains(&fetch.cursor) || fetch.limit == 0 {
            let message = format!(
                "the cursor {} is not within {range:?}, or the limit {} is 0",
                fetch.cursor, fetch.limit
            );
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        self.note_version(fetch.weights_version)?;
        self.release_payloads(fetch.cursor);
        self.mark_drops(fetch.cursor, fetch.limit as usize);
        Ok(self.collect(fetch))
    }

    fn collect(&self, fetch: Fetch) -> FetchResponse {
        let limit = fetch.limit as usize;
        let mut bytes = 0;
        let mut answer = FetchResponse::default();
        for (cursor, entry) in self.log.range(fetch.cursor..) {
            answer.next_cursor = *cursor;
            let is_full = answer.samples.len() == limit || bytes >= MAX_FETCH_BYTES;
            if is_full || self.pending.drops.contains_key(cursor) {
                return answer;
            }
            let Place::Held(payload) = &entry.place else {
                if answer.samples.is_empty() {
                    answer.missing = self.missing(entry.chunk);
                }
                return answer;
            };
            bytes += payload.len();
            answer.samples.push(payload.clone());
        }
        answer.next_cursor = self.head.next_cursor;
        answer
    }

    fn missing(&self, chunk: u64) -> Option<MissingObject> {
        let object = self.chunks.get(&chunk)?.object.clone()?;
        Some(MissingObject { chunk, object })
    }

    /// What the trainer has is in the object store, should it come back for it.
    fn release_payloads(&mut self, cursor: u64) {
        if cursor > self.held_from {
            for (_, entry) in self.log.range_mut(self.held_from..cursor) {
                if let Place::Held(payload) = &entry.place {
                    self.held_bytes -= payload.len();
                    entry.place = Place::Stored;
                }
            }
        }
        self.held_from = cursor;
    }

    /// Removes a sample from the log.
    pub(super) fn forget(&mut self, cursor: u64) {
        if let Some(Logged {
            place: Place::Held(payload),
            ..
        }) = self.log.remove(&cursor)
        {
            self.held_bytes -= payload.len();
        }
    }

    fn mark_drops(&mut self, cursor: u64, limit: usize) {
        // One pass over the whole log only if the next answer meets such a sample.
        let mut due = self.log.range(cursor..).take(limit);
        if !due.any(|(cursor, entry)| self.is_to_drop(*cursor, entry)) {
            return;
        }
        let due = self.log.range(cursor..);
        let due = due.filter(|(cursor, entry)| self.is_to_drop(**cursor, entry));
        let due: Vec<_> = due
            .map(|(cursor, entry)| (*cursor, entry.sample.slot))
            .collect();
        if guard::is_on(Guard::DropCommitted) {
            self.pending.drops.extend(due);
            self.note_change();
            return;
        }
        for (cursor, slot) in due {
            self.apply_drop(DroppedSample { cursor, slot });
        }
    }

    fn is_to_drop(&self, cursor: u64, entry: &Logged) -> bool {
        if self.pending.drops.contains_key(&cursor) {
            return false;
        }
        let is_unreadable = matches!(entry.place, Place::Unreadable);
        let is_stale = guard::is_on(Guard::FreshnessAtHandOver) && self.is_stale(&entry.sample);
        is_stale || is_unreadable
    }

    /// Drops what is stale from the acknowledged cursor on, although the
    /// trainer may hold some of it: what the guard is against.
    pub(super) fn drop_unheld(&mut self) {
        let due = self.log.range(self.head.acknowledged_cursor..);
        let due = due.filter(|(_, entry)| self.is_stale(&entry.sample));
        let due: Vec<_> = due
            .map(|(cursor, entry)| (*cursor, entry.sample.slot))
            .collect();
        self.pending.drops.extend(due);
    }

    /// Notes the content of an object that a fetch was missing; none if the
    /// object store says that it has no such object.
    ///
    /// An object that is gone, or is not what its name tells, is made again.
    pub fn on_object(&mut self, missing: &MissingObject, content: Option<&Bytes>) {
        let Some(chunk) = self.chunks.get(&missing.chunk).cloned() else {
            return;
        };
        let content = content.filter(|content| is_content_of(&missing.object, content));
        let mut lines = content.map(|content| {
            let lines = content.split(|byte| *byte == b'\n');
            lines.map(|line| content.slice_ref(line))
        });
        for cursor in chunk.first_cursor..chunk.end_cursor {
            let line = lines.as_mut().and_then(Iterator::next);
            self.place(cursor, line);
        }
    }

    fn place(&mut self, cursor: u64, line: Option<Bytes>) {
        let Some(entry) = self.log.get_mut(&cursor) else {
            return;
        };
        if !matches!(entry.place, Place::Stored) || cursor < self.held_from {
            return;
        }
        entry.place = match line {
            Some(line) => {
                self.held_bytes += line.len();
                Place::Held(line)
            }
            None if guard::is_on(Guard::RemakeUnreadable) => Place::Unreadable,
            None => Place::Stored,
        };
    }
}
