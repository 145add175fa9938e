//! The choice between a direct and a relayed path to the platform's store.

mod selector;

pub use self::selector::{StorePath, StorePathSelector};
