//! Which steps are generated for before their trainer needs them.

mod last_step;

pub use self::last_step::{last_step, min_weights_version};
