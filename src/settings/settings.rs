use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The settings of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique among all VMs.
    pub vm: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The address for callers and trainers; with port 0, the kernel chooses the
    /// port.
    pub caller_address: SocketAddr,
    /// The address for other daemons and operators; with port 0, the kernel chooses
    /// the port.
    pub control_address: SocketAddr,
    /// The addresses of the platform, tried in this order.
    pub platform_addresses: Vec<SocketAddr>,
    /// Limits on sizes, counts and times.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of one daemon, each of which has a default.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest accepted body, in bytes.
    pub max_body_bytes: u64,
    /// The maximum number of concurrent requests.
    pub max_requests: u32,
    /// How long callers may cache a list of addresses, in milliseconds.
    pub keep_addresses_ms: u64,
    /// The longest duration of a request, in milliseconds.
    pub max_request_ms: u64,
    /// The shortest interval between two polls of an endpoint, in milliseconds.
    pub min_watch_ms: u64,
    /// The longest interval between two polls of an endpoint, in milliseconds.
    pub max_watch_ms: u64,
    /// The maximum number of samples generated concurrently for one trainer.
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
