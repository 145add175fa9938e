//! Whether the platform's store is reached directly or through another VM.

mod detour;

pub use self::detour::{Detour, Way};
