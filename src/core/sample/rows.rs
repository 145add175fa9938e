use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::wire::trainers::{Sample, Slot};

/// The head row of a trainer's ledger, which every commit writes by
/// compare-and-set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRow {
    /// The fencing number of the lease under which the row was last written.
    pub fence: u64,
    /// The number of commits so far.
    pub commit: u64,
    /// The weights version that the trainer last reported.
    pub weights_version: u64,
    /// The trainer has acknowledged every sample before this cursor.
    pub acknowledged_cursor: u64,
    /// The cursor of the next sample.
    pub next_cursor: u64,
    /// The number of the next chunk row.
    pub next_chunk: u64,
    /// The highest number of a step that was ever opened.
    pub last_step: Option<u64>,
    /// The numbers of the open steps.
    pub steps: BTreeSet<u64>,
    /// A hash of the chunk row that was written with this head. It distinguishes
    /// a commit whose response was lost from another one with the same counts.
    pub chunk_hash: Arc<str>,
}

/// A row that lists the samples that one commit added to the log or dropped
/// from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRow {
    /// The cursor of the first sample.
    pub first_cursor: u64,
    /// The name of the object with the samples' payloads, if there are samples.
    pub object: Option<Arc<str>>,
    /// The samples, in the order of their cursors.
    pub samples: Vec<LoggedSample>,
    /// The earlier samples that were dropped from their slots.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub dropped: Vec<DroppedSample>,
}

/// A committed sample, without its payload.
///
/// It is stored as a list of numbers, because named fields would make a row
/// several times as long.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u64, u32, u32, u64)", into = "(u64, u32, u32, u64)")]
pub struct LoggedSample {
    /// The slot that it fills.
    pub slot: Slot,
    /// The oldest weights version that produced one of its tokens.
    pub oldest_version: u64,
}

impl LoggedSample {
    /// Creates the log's record of a sample.
    #[must_use]
    pub fn new(sample: &Sample) -> Self {
        let versions = sample.weights.iter().map(|span| span.weights_version);
        Self {
            slot: sample.slot,
            oldest_version: versions.min().unwrap_or_default(),
        }
    }
}

impl From<(u64, u32, u32, u64)> for LoggedSample {
    fn from((step, group, index, oldest_version): (u64, u32, u32, u64)) -> Self {
        let slot = Slot { step, group, index };
        Self {
            slot,
            oldest_version,
        }
    }
}

impl From<LoggedSample> for (u64, u32, u32, u64) {
    fn from(logged: LoggedSample) -> Self {
        let Slot { step, group, index } = logged.slot;
        (step, group, index, logged.oldest_version)
    }
}

/// A sample that was dropped from its slot, so that the slot is filled again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DroppedSample {
    /// The sample's cursor.
    pub cursor: u64,
    /// The slot that it filled.
    pub slot: Slot,
}
