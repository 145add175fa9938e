use std::{collections::BTreeMap, net::SocketAddr};

use strum::{Display, EnumString};

use super::Load;
use crate::core::Name;

/// Whether an endpoint takes new work, by its own word.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointStage {
    /// It takes work.
    Ready,
    /// It leaves soon.
    Leaving,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// Its identity.
    pub id: Name,
    /// Milliseconds since the Unix epoch of its start: an endpoint may start
    /// again under its identity, and then knows nothing of before.
    pub started_unix_ms: u64,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub stage: EndpointStage,
    /// The weights version of each of its models.
    pub weights: BTreeMap<Name, u64>,
}

/// How much a new pace counts against the average of those before.
const PACE_WEIGHT: f64 = 0.15;
/// For how long an endpoint is passed over after its first failure, in
/// milliseconds; doubled with each further one.
const FIRST_PENALTY_MS: u64 = 500;
const MAX_PENALTY_MS: u64 = 8_000;
/// For how long an endpoint at which a run waits counts as stalled, in
/// milliseconds: about what is left of a load of weights.
const STALLED_MS: u64 = 700;

/// An endpoint as one VM knows it.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    /// What it says of itself.
    pub record: EndpointRecord,
    /// Its load.
    pub load: Load,
    /// How long it takes for a unit of work, in milliseconds.
    pub pace_ms: Option<f64>,
    /// Until when it is passed over.
    pub penalty_until_ms: u64,
    /// Until when runs that begin there are taken to wait.
    pub stalled_until_ms: u64,
    /// Until when it counts although the platform no longer lists it.
    pub remove_at_ms: Option<u64>,
    /// How many orders it has accepted since its start, where that is known.
    pub orders_accepted: Option<u64>,
    failures: u32,
}

impl PoolEndpoint {
    pub(crate) const fn new(record: EndpointRecord) -> Self {
        Self {
            record,
            load: Load::DEFAULT,
            pace_ms: None,
            penalty_until_ms: 0,
            stalled_until_ms: 0,
            remove_at_ms: None,
            orders_accepted: None,
            failures: 0,
        }
    }

    /// Notes how long a unit of work took.
    pub fn on_pace(&mut self, unit_ms: f64) {
        let before = self.pace_ms.unwrap_or(unit_ms);
        self.pace_ms = Some(before + PACE_WEIGHT * (unit_ms - before));
    }

    /// Notes an answer.
    pub const fn on_success(&mut self) {
        self.failures = 0;
        self.penalty_until_ms = 0;
    }

    /// Notes that it refused a request because it had no room.
    pub fn on_refusal(&mut self, now_ms: u64) {
        self.load.on_refusal(now_ms, self.record.slots);
    }

    /// Notes that a run has waited in vain to begin: the endpoint loads weights,
    /// or others have filled it.
    pub const fn on_stalled(&mut self, now_ms: u64) {
        self.stalled_until_ms = now_ms + STALLED_MS;
    }

    /// Notes a broken or missing answer.
    pub fn on_failure(&mut self, now_ms: u64) {
        let penalty_ms = FIRST_PENALTY_MS << self.failures.min(4);
        self.failures += 1;
        self.penalty_until_ms = now_ms + penalty_ms.min(MAX_PENALTY_MS);
    }

    /// Returns the weights version of a model; 0 where it does not serve it.
    #[must_use]
    pub fn weights_version(&self, model: &str) -> u64 {
        self.record.weights.get(model).copied().unwrap_or(0)
    }
}
