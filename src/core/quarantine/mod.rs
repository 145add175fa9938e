//! Quarantine of request contents that crash the endpoints on which they run.

mod quarantine;

pub use self::quarantine::{
    BLAME_DURATION_MS, CRASH_REPORT_WAIT_MS, MAX_CRASHES, MAX_SHARED_CRASHES, Permit, Quarantine,
    RunEnd,
};
