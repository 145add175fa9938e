//! The choice of steps whose samples are generated before the trainer needs them.

mod last_step;

pub use self::last_step::{last_startable_step, min_weights_version};
