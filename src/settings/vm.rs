use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The settings of one VM on a platform that keeps what must last.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// The VM's name, unique among all VMs.
    pub vm: Name,
    /// The VM's data centre.
    pub data_centre: Name,
    /// Where callers and trainers connect.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the VM takes work.
    pub readiness_address: SocketAddr,
    /// Where callers ask which VMs to use.
    pub directory_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Some VMs to begin with; they may be gone.
    pub seed_addresses: Vec<SocketAddr>,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Where the platform's store listens.
    pub store_address: SocketAddr,
    /// The share of a core that the process may use.
    pub cpu_share: f64,
    /// How long callers may keep an answer on which VMs to use, in seconds.
    pub keep_addresses_s: u64,
    /// How long a batch can be read after it was accepted, in milliseconds.
    pub keep_batches_ms: u64,
    /// How long after SIGTERM the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// How long nobody may have given orders to endpoints before another VM
    /// does, in milliseconds.
    pub order_gap_ms: u64,
}

/// Reads the settings of a VM from JSON, and checks them.
///
/// # Errors
///
/// Everything that is wrong, each with its path; where the text does not have
/// the documented types, the first place where it differs.
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
            fault(path, "\"\"", "a name");
        }
    }
    let positive = [
        ("cpu_share", settings.cpu_share),
        ("stop_grace_s", settings.stop_grace_s),
    ];
    for (path, value) in positive {
        if value.is_nan() || value <= 0.0 {
            fault(path, &value.to_string(), "a number above 0");
        }
    }
    let above_zero = [
        ("keep_addresses_s", settings.keep_addresses_s),
        ("keep_batches_ms", settings.keep_batches_ms),
    ];
    for (path, value) in above_zero {
        if value == 0 {
            fault(path, "0", "a whole number above 0");
        }
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}
