//! Which endpoint a request goes to.

mod choose;

pub use self::choose::{Request, choose};
