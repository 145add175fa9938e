//! Contents of requests that crash the endpoints they run on.

mod quarantine;

pub use self::quarantine::{
    BLAME_DURATION_MS, CRASH_REPORT_WAIT_MS, MAX_CRASHES, MAX_SHARED_CRASHES, Permit, Quarantine,
    RunEnd,
};
