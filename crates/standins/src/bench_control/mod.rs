//! Measures the cost of a daemon's control work by the number of daemons.

mod fit;
mod observe;
mod plot;
mod report;
mod run;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use self::{
    fit::{Fit, fit},
    report::report,
    run::{ControlSettings, measure},
};

/// The measurement with one number of daemons.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Measurement {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of samplers that they served.
    pub endpoints: usize,
    /// The length of the window over which means were taken, in milliseconds.
    pub window_ms: u64,
    /// The machine's load average over one minute, at the start of the window.
    pub load_average: f64,
    /// Figures by name: means over daemons, the largest value of one daemon, and
    /// times.
    pub figures: BTreeMap<String, f64>,
}
