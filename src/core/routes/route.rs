use strum::{Display, EnumString, IntoStaticStr};

use crate::core::Name;

/// What a route's requests are, which decides how often one may be sent.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    AtMostOnce,
    /// A stream that another endpoint may continue after the last event seen.
    ResumableStream,
    /// A stream that runs once at most.
    Stream,
    /// Batches of samples, which run later.
    Batch,
}

/// One of the services that share a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its share against the others' weights.
    pub weight: u32,
}

/// One route: requests to a host below a path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that requests name.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub prefix: Name,
    /// What the requests are.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub target_ms: u64,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// To how many endpoints one request may be sent.
    pub max_attempts: u32,
    /// The services that answer.
    pub services: Vec<WeightedService>,
    /// How long after it came in a sample may be given up, in milliseconds.
    pub queue_limit_ms: u64,
    /// How long after it came in a batch is due, in milliseconds.
    pub batch_target_ms: u64,
    /// Whether all tokens of a sample must come from one weights version.
    pub is_single_version: bool,
}

impl Route {
    /// Returns the service that a draw between 0 and 1 falls on.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.services.iter().map(|entry| entry.weight).sum();
        let mut left = draw * f64::from(total);
        for entry in &self.services {
            left -= f64::from(entry.weight);
            if left < 0.0 {
                return Some(&entry.service);
            }
        }
        self.services.last().map(|entry| &entry.service)
    }
}
