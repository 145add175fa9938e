//! The numbered configuration: its document, patches and versions.
//!
//! A patch is committed by a compare-and-set of one small row, in the
//! transaction that also writes the change and the id of the patch
//! ([`Submission`]). Daemons receive incremental changes ([`Replica`]), and a
//! daemon that may be outdated accepts no new work ([`Freshness`]).

mod change;
mod document;
mod freshness;
mod patch;
mod replica;
mod rows;
mod submission;
mod versioned;

pub use self::{
    change::{Change, Update},
    document::{Document, EndpointSettings, Service, ServiceKind, Trainer},
    freshness::{FRESHNESS_MS, Freshness, Vouch, quorum},
    patch::{apply_patch, changed_keys},
    replica::Replica,
    rows::{
        HISTORY_KEY_PREFIX, NUMBER_KEY, NumberRow, PatchRow, SNAPSHOT_INTERVAL_VERSIONS,
        SNAPSHOT_KEY, history_key, patch_key,
    },
    submission::{Submission, SubmitStep, WriteOutcome},
    versioned::VersionedDocument,
};
