//! Quarantine of request contents that crash the endpoints on which they run.

mod content;
mod held;
mod late_retries;
mod permit;
mod quarantine;
mod reports;
mod row;
mod unanswered;

pub use self::{
    content::content_fingerprint,
    late_retries::{LATE_RETRY_DELAY_MS, LateRetryPolicy, MAX_LATE_RETRIES},
    permit::{Permit, RunEnd},
    quarantine::{
        BLAME_DURATION_MS, CRASH_REPORT_WAIT_MS, MAX_CRASHES, MAX_OWED_DELAY_MS,
        MAX_SHARED_CRASHES, Quarantine,
    },
    row::{QuarantineRow, claim_key},
};
