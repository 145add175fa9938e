//! What the control work of a daemon costs, by the number of daemons.

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

/// What was measured with one number of daemons.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Measured {
    /// How many daemons ran.
    pub daemons: usize,
    /// How many samplers they stood before.
    pub endpoints: usize,
    /// Over how long the means were taken, in milliseconds.
    pub window_ms: u64,
    /// The machine's load over the last minute, at the start of the window.
    pub load_average: f64,
    /// Figures by name: means over daemons, the most of one daemon, and times.
    pub figures: BTreeMap<String, f64>,
}
