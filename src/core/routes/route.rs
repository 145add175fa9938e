use strum::{Display, EnumString, IntoStaticStr};

use crate::core::Name;

/// The kind of a route's requests, which decides how often one may be sent.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    AtMostOnce,
    /// Streams that another endpoint can resume after the last event received.
    ResumableStream,
    /// Streams that run at most once.
    Stream,
    /// Batches of samples, which run after they were accepted.
    Batch,
}

impl RouteKind {
    /// Returns whether responses are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// The service's weight; its share of requests is this over the sum of all
    /// weights.
    pub weight: u32,
}

/// A route for requests to one host below one path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that requests are addressed to.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub prefix: Name,
    /// The kind of the requests.
    pub kind: RouteKind,
    /// The longest time that a caller waits for a response, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub target_latency_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The largest number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// The services that share the requests.
    pub services: Vec<WeightedService>,
    /// The time after its acceptance from which a sample may be abandoned, in
    /// milliseconds.
    pub queue_limit_ms: u64,
    /// How long after it was accepted a batch is due, in milliseconds.
    pub batch_target_ms: u64,
    /// Whether one weights version must generate all tokens of a sample.
    pub is_single_version: bool,
    /// Whether callers need no key where accounts are configured.
    pub is_public: bool,
}

impl Route {
    /// Returns the service selected by `draw`, a random number from 0 to 1, in
    /// proportion to the weights.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&Name> {
        let total_weight: u32 = self.services.iter().map(|entry| entry.weight).sum();
        let mut remaining = draw * f64::from(total_weight);
        for entry in &self.services {
            remaining -= f64::from(entry.weight);
            if remaining < 0.0 {
                return Some(&entry.service);
            }
        }
        self.services.last().map(|entry| &entry.service)
    }
}
