//! Contents of requests that crash the endpoints they run on.

mod quarantine;

pub use self::quarantine::Quarantine;
