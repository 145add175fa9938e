use std::sync::Arc;

use bytes::Bytes;

use super::{DroppedSample, Ledger, LoggedSample, keys::is_intact};
use crate::{
    core::guard::{self, Guard},
    error::{ErrorKind, Refusal},
    wire::trainers::Fetch,
};

/// Once a response has this many bytes of samples, it takes no more.
const MAX_FETCH_BYTES: usize = 16 * 1024 * 1024;
/// How many bytes of committed samples are cached in memory. Samples beyond it
/// are read from the object store when they are fetched.
pub(super) const MAX_CACHED_BYTES: usize = 16 * 1024 * 1024;

/// Where the payload of a committed sample is.
#[derive(Clone, Debug)]
pub(super) enum PayloadLocation {
    Cached(Bytes),
    /// Only in the object store.
    Stored,
    /// Missing or damaged in the object store: the sample is regenerated.
    Unreadable,
}

/// A committed sample that the trainer has not acknowledged.
#[derive(Clone, Debug)]
pub(super) struct LogEntry {
    pub(super) sample: LoggedSample,
    pub(super) chunk: u64,
    pub(super) location: PayloadLocation,
}

impl LogEntry {
    pub(super) const fn stored(sample: LoggedSample, chunk: u64) -> Self {
        Self {
            sample,
            chunk,
            location: PayloadLocation::Stored,
        }
    }
}

/// The response to a fetch, with the samples in encoded form.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FetchResponse {
    /// The samples as JSON, in the order of their cursors.
    pub samples: Vec<Bytes>,
    /// The cursor after the last sample.
    pub next_cursor: u64,
    /// The object to read before the same fetch can return more samples, if any.
    pub missing: Option<MissingObject>,
}

/// An object whose samples are not cached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingObject {
    /// The number of the chunk row that lists it.
    pub chunk: u64,
    /// The object's name.
    pub object: Arc<str>,
}

impl FetchResponse {
    /// Encodes the response as JSON, which deserializes as [`Fetched`].
    ///
    /// [`Fetched`]: crate::wire::trainers::Fetched
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::{core::sample::FetchResponse, wire::trainers::Fetched};
    ///
    /// let response = FetchResponse { next_cursor: 3, ..FetchResponse::default() };
    /// let fetched: Fetched = serde_json::from_slice(&response.to_json()).unwrap();
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
    /// Returns the samples from a cursor on, up to the first one that must not be
    /// delivered.
    ///
    /// A sample that is too old for the trainer's weights version, or cannot be
    /// read, is dropped from its slot by the next commit and regenerated; until
    /// then a fetch stops before it. A fetch states that the trainer holds no
    /// sample from the cursor on, so the trainer holds none that is dropped here.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if the cursor is before the acknowledged cursor or
    /// after the next one, if the limit is 0, or if the weights version decreases;
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
        self.update_weights_version(fetch.weights_version)?;
        self.release_payloads(fetch.cursor);
        self.mark_samples_to_drop(fetch.cursor, fetch.limit as usize);
        Ok(self.collect_samples(fetch))
    }

    fn collect_samples(&self, fetch: Fetch) -> FetchResponse {
        let limit = fetch.limit as usize;
        let mut bytes = 0;
        let mut response = FetchResponse::default();
        for (cursor, entry) in self.log.range(fetch.cursor..) {
            response.next_cursor = *cursor;
            let is_full = response.samples.len() == limit || bytes >= MAX_FETCH_BYTES;
            if is_full || self.pending.drops.contains_key(cursor) {
                return response;
            }
            let PayloadLocation::Cached(payload) = &entry.location else {
                if response.samples.is_empty() {
                    response.missing = self.missing_object(entry.chunk);
                }
                return response;
            };
            bytes += payload.len();
            response.samples.push(payload.clone());
        }
        response.next_cursor = self.head.next_cursor;
        response
    }

    fn missing_object(&self, chunk: u64) -> Option<MissingObject> {
        let object = self.chunks.get(&chunk)?.object.clone()?;
        Some(MissingObject { chunk, object })
    }

    /// Releases the cached payloads before `cursor`, which the trainer has
    /// fetched. If it fetches them again, they are read from the object store.
    fn release_payloads(&mut self, cursor: u64) {
        if cursor > self.fetch_cursor {
            for (_, entry) in self.log.range_mut(self.fetch_cursor..cursor) {
                if let PayloadLocation::Cached(payload) = &entry.location {
                    self.cached_bytes -= payload.len();
                    entry.location = PayloadLocation::Stored;
                }
            }
        }
        self.fetch_cursor = cursor;
    }

    /// Removes a sample from the log.
    pub(super) fn remove_from_log(&mut self, cursor: u64) {
        if let Some(LogEntry {
            location: PayloadLocation::Cached(payload),
            ..
        }) = self.log.remove(&cursor)
        {
            self.cached_bytes -= payload.len();
        }
    }

    fn mark_samples_to_drop(&mut self, cursor: u64, limit: usize) {
        // Scans the rest of the log only if the next response would reach a sample
        // that must be dropped.
        let mut next = self.log.range(cursor..).take(limit);
        if !next.any(|(cursor, entry)| self.must_drop(*cursor, entry)) {
            return;
        }
        let dropped = self.log.range(cursor..);
        let dropped = dropped.filter(|(cursor, entry)| self.must_drop(**cursor, entry));
        let dropped: Vec<_> = dropped
            .map(|(cursor, entry)| (*cursor, entry.sample.slot))
            .collect();
        if guard::is_on(Guard::DropCommitted) {
            self.pending.drops.extend(dropped);
            self.count_change();
            return;
        }
        for (cursor, slot) in dropped {
            self.apply_drop(DroppedSample { cursor, slot });
        }
    }

    fn must_drop(&self, cursor: u64, entry: &LogEntry) -> bool {
        if self.pending.drops.contains_key(&cursor) {
            return false;
        }
        let is_unreadable = matches!(entry.location, PayloadLocation::Unreadable);
        let is_stale = guard::is_on(Guard::FreshnessAtHandOver) && self.is_stale(&entry.sample);
        is_stale || is_unreadable
    }

    /// Drops all stale samples from the acknowledged cursor on, even those that
    /// the trainer may hold. [`Guard::DropAtHandOverOnly`] prevents this.
    pub(super) fn drop_all_stale(&mut self) {
        let stale = self.log.range(self.head.acknowledged_cursor..);
        let stale = stale.filter(|(_, entry)| self.is_stale(&entry.sample));
        let stale: Vec<_> = stale
            .map(|(cursor, entry)| (*cursor, entry.sample.slot))
            .collect();
        self.pending.drops.extend(stale);
    }

    /// Caches the samples of an object that a fetch reported as missing.
    ///
    /// `content` is `None` if the object store does not have the object. If the
    /// object does not exist, or its content does not match the hash in its
    /// name, its samples are regenerated.
    pub fn on_object(&mut self, missing: &MissingObject, content: Option<&Bytes>) {
        let Some(chunk) = self.chunks.get(&missing.chunk).cloned() else {
            return;
        };
        let content = content.filter(|content| is_intact(&missing.object, content));
        let mut lines = content.map(|content| {
            let lines = content.split(|byte| *byte == b'\n');
            lines.map(|line| content.slice_ref(line))
        });
        for cursor in chunk.first_cursor..chunk.end_cursor {
            let line = lines.as_mut().and_then(Iterator::next);
            self.set_payload(cursor, line);
        }
    }

    fn set_payload(&mut self, cursor: u64, line: Option<Bytes>) {
        let Some(entry) = self.log.get_mut(&cursor) else {
            return;
        };
        if !matches!(entry.location, PayloadLocation::Stored) || cursor < self.fetch_cursor {
            return;
        }
        entry.location = match line {
            Some(line) => {
                self.cached_bytes += line.len();
                PayloadLocation::Cached(line)
            }
            None if guard::is_on(Guard::RemakeUnreadable) => PayloadLocation::Unreadable,
            None => PayloadLocation::Stored,
        };
    }
}
