//! Quarantine of request contents that crash the endpoints on which they run.

mod content;
mod quarantine;

pub use self::{
    content::content_fingerprint,
    quarantine::{
        BLAME_DURATION_MS, CRASH_REPORT_WAIT_MS, MAX_CRASHES, MAX_SHARED_CRASHES, Permit,
        Quarantine, RunEnd,
    },
};
