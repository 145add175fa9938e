use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::wire::trainers::{Sample, Slot};

/// The row of a trainer's ledger that every commit writes by compare-and-set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRow {
    /// The fencing number of the lease under which it was last written.
    pub fence: u64,
    /// Counts the commits.
    pub commit: u64,
    /// The trainer's weights version, as it last said.
    pub weights_version: u64,
    /// Every sample before this cursor is the trainer's.
    pub acknowledged_cursor: u64,
    /// The cursor of the next sample.
    pub next_cursor: u64,
    /// The number of the next chunk row.
    pub next_chunk: u64,
    /// The highest step that was ever opened.
    pub last_step: Option<u64>,
    /// The steps that are open.
    pub steps: BTreeSet<u64>,
    /// A hash of the chunk row written with this head, by which a commit whose
    /// answer was lost is told from another one with the same counts.
    pub chunk_hash: Arc<str>,
}

/// A row that lists what one commit did to the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRow {
    /// The cursor of the first sample.
    pub first_cursor: u64,
    /// The object with the payloads, named after its content.
    pub object: Option<Arc<str>>,
    /// The samples, in the order of their cursors.
    pub samples: Vec<LoggedSample>,
    /// The earlier samples that left their slots.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub dropped: Vec<DroppedSample>,
}

/// A committed sample, without its payload.
///
/// In the table it is a list of numbers: with named fields a row is several
/// times as long.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u64, u32, u32, u64)", into = "(u64, u32, u32, u64)")]
pub struct LoggedSample {
    /// The place it fills.
    pub slot: Slot,
    /// The oldest weights version that produced a token of it.
    pub oldest_version: u64,
}

impl LoggedSample {
    /// Returns what the log keeps of a sample.
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

/// A sample that has left its slot, which is filled again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DroppedSample {
    /// The sample's cursor.
    pub cursor: u64,
    /// The slot that it filled.
    pub slot: Slot,
}
