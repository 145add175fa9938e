//! Contents of requests that crash the endpoints they run on.

mod quarantine;

pub use self::quarantine::{
    BLAME_MS, MAX_CRASHES, MAX_SHARED_CRASHES, Permit, Quarantine, RunEnd, SETTLE_MS,
};
