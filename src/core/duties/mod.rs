//! The decisions of duties: work on the platform's API that one VM does at a time.

mod calls;

pub use self::calls::{CallAnswer, DutyCalls};
