use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::core::Name;

/// What the operators configure.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The services, by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// The trainers, by name.
    pub trainers: BTreeMap<Name, Trainer>,
    /// VMs that are to shut down gracefully.
    pub draining_vms: BTreeSet<Name>,
}

/// How the system talks to a service's endpoints.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that generate.
    Model,
    /// Plain HTTP.
    #[default]
    Plain,
}

/// A named pool of endpoints.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// How to talk to the endpoints.
    pub kind: ServiceKind,
    /// The endpoints, by name.
    pub endpoints: BTreeMap<Name, EndpointSettings>,
    /// The weights version that every sampler is to have; 0 for plain services.
    pub weights_version: u64,
    /// The most requests of one daemon at one endpoint.
    pub max_in_flight_per_endpoint: u32,
    /// Whether an answer may be continued at another endpoint.
    pub continue_elsewhere: bool,
}

/// Where an endpoint is and how it behaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's data centre.
    pub data_centre: Name,
    /// Whether the endpoint refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether the endpoint is to get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A trainer and the samplers that serve it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The service whose samplers generate.
    pub service: Name,
}
