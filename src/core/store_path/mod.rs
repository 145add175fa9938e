//! Whether the platform's store is reached directly or through another VM.

mod selector;

pub use self::selector::{StorePath, StorePathSelector};
