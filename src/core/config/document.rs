use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::core::Name;

/// The configuration that operators set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The services, by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// The trainers, by name.
    pub trainers: BTreeMap<Name, Trainer>,
    /// The VMs to shut down gracefully.
    pub draining_vms: BTreeSet<Name>,
}

/// The protocol of a service's endpoints.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which generate tokens.
    Model,
    /// Plain HTTP.
    #[default]
    Plain,
}

/// A named pool of endpoints.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The protocol of the endpoints.
    pub kind: ServiceKind,
    /// The endpoints, by name.
    pub endpoints: BTreeMap<Name, EndpointSettings>,
    /// The target weights version of every sampler; 0 for plain services.
    pub weights_version: u64,
    /// The maximum number of requests that one daemon runs at one endpoint.
    pub max_in_flight_per_endpoint: u32,
    /// Whether a response may be resumed at another endpoint.
    pub continue_elsewhere: bool,
}

/// The address and properties of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's data centre.
    pub data_centre: Name,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether the endpoint must receive no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A trainer and the service that generates its samples.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The service whose samplers generate.
    pub service: Name,
}
