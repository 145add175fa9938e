use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The settings of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique among all VMs.
    pub vm: Name,
    /// The VM's data centre.
    pub data_centre: Name,
    /// Where callers and trainers connect; port 0 lets the kernel choose.
    pub caller_address: SocketAddr,
    /// Where daemons and operators connect; port 0 lets the kernel choose.
    pub control_address: SocketAddr,
    /// The platform's addresses, tried in this order.
    pub platform_addresses: Vec<SocketAddr>,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of one daemon; each has a default.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest body that is accepted, in bytes.
    pub max_body_bytes: u64,
    /// The most requests that run at once.
    pub max_requests: u32,
    /// How long callers may keep a list of addresses, in milliseconds.
    pub keep_addresses_ms: u64,
    /// The longest time that a request may run, in milliseconds.
    pub max_request_ms: u64,
    /// The least time between two looks at an endpoint, in milliseconds.
    pub min_watch_ms: u64,
    /// The most time between two looks at an endpoint, in milliseconds.
    pub max_watch_ms: u64,
    /// The most samples that are generated at once for one trainer.
    pub max_generating: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_requests: 4_096,
            keep_addresses_ms: 3_000,
            max_request_ms: 120_000,
            min_watch_ms: 500,
            max_watch_ms: 1_000,
            max_generating: 256,
        }
    }
}
