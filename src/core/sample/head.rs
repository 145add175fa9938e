use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::wire::trainers::Slot;

/// The row of a trainer's ledger that every commit writes by compare-and-set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
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
    /// The steps that are open.
    pub steps: BTreeSet<u64>,
}

/// A row that lists the samples of one commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRow {
    /// The cursor of the first sample.
    pub first_cursor: u64,
    /// The object with the payloads, named after its content.
    pub object: Arc<str>,
    /// The samples, in the order of their cursors.
    pub samples: Vec<LoggedSample>,
}

/// A committed sample, without its payload.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoggedSample {
    /// The place it fills.
    pub slot: Slot,
    /// The oldest weights version that produced a token of it.
    pub oldest_version: u64,
}
