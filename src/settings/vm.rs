use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::PlatformApiSettings;
use crate::core::Name;

/// The settings of one VM on a platform with a durable store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// The VM's name, unique among all VMs.
    pub vm: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The address for callers and trainers.
    pub caller_address: SocketAddr,
    /// The address at which the platform checks whether the VM takes work.
    pub readiness_address: SocketAddr,
    /// The address at which callers ask which VMs to use.
    pub directory_address: SocketAddr,
    /// The address for other VMs.
    pub peer_address: SocketAddr,
    /// The addresses of some VMs to contact first, which may no longer exist.
    pub seed_addresses: Vec<SocketAddr>,
    /// The address at which metrics are served.
    pub metrics_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The most bytes of a row of the platform's store.
    pub row_bytes: usize,
    /// The most bytes of an object of the platform's store.
    pub object_bytes: usize,
    /// The memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// The share of a core that the process may use.
    pub cpu_share: f64,
    /// How long callers may cache the answer on which VMs to use, in seconds.
    pub keep_addresses_s: u64,
    /// How long a batch can be read after its acceptance, in milliseconds.
    pub keep_batches_ms: u64,
    /// The time from SIGTERM until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// The shortest time between the last order that one VM gives to endpoints and
    /// the first that another VM gives, in milliseconds.
    pub order_gap_ms: u64,
    /// The platform's API, if this VM may hold duties on it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_api: Option<PlatformApiSettings>,
    /// The most open connections of callers; without it, the limit follows from the
    /// process's limit on descriptors.
    #[serde(default)]
    pub max_caller_connections: Option<usize>,
    /// The memory for accepted connections, in megabytes; without it, the limit follows
    /// from `memory_mb`.
    #[serde(default)]
    pub connections_mb: Option<usize>,
}

/// Parses and validates the settings of a VM from JSON.
///
/// # Errors
///
/// Returns all faults at once, each with its path. If the text does not have the
/// documented types, only the first fault is returned.
///
/// # Examples
///
/// ```
/// use chicoryreach::settings::parse_vm_settings;
///
/// let faults = parse_vm_settings(r#"{"vm": 3}"#).unwrap_err();
/// assert_eq!(faults[0].path, "vm");
/// ```
pub fn parse_vm_settings(text: &str) -> Result<VmSettings, Vec<super::SettingsFault>> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: VmSettings = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        vec![super::SettingsFault {
            path: error.path().to_string(),
            found: error.inner().to_string(),
            allowed: "a value of the documented type".to_owned(),
        }]
    })?;
    let mut faults = Vec::new();
    let mut fault = |path: &str, found: &str, allowed: &str| {
        faults.push(super::SettingsFault {
            path: path.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    };
    for (path, name) in [("vm", &settings.vm), ("data_centre", &settings.data_centre)] {
        if name.is_empty() {
            fault(path, "\"\"", "a non-empty name");
        }
    }
    let positive_numbers = [
        ("cpu_share", settings.cpu_share),
        ("stop_grace_s", settings.stop_grace_s),
    ];
    for (path, value) in positive_numbers {
        if value.is_nan() || value <= 0.0 {
            fault(path, &value.to_string(), "a number greater than 0");
        }
    }
    let as_u64 = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let positive_integers = [
        ("row_bytes", as_u64(settings.row_bytes)),
        ("object_bytes", as_u64(settings.object_bytes)),
        ("memory_mb", settings.memory_mb),
        (
            "max_caller_connections",
            settings.max_caller_connections.map_or(1, as_u64),
        ),
        ("connections_mb", settings.connections_mb.map_or(1, as_u64)),
        ("keep_addresses_s", settings.keep_addresses_s),
        ("keep_batches_ms", settings.keep_batches_ms),
    ];
    for (path, value) in positive_integers {
        if value == 0 {
            fault(path, "0", "a whole number greater than 0");
        }
    }
    faults.extend(
        settings
            .platform_api
            .iter()
            .flat_map(PlatformApiSettings::faults),
    );
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}
