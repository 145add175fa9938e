//! Messages between operators and daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::core::{
    Name,
    config::{Change, changed_keys},
};

/// A patch to the versioned configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The patch id that the operator chose. Submitting the same id again returns
    /// the first response.
    pub id: Arc<str>,
    /// The configuration version that the patch was written against.
    pub against: u64,
    /// A JSON merge patch (RFC 7396).
    pub merge: Value,
}

/// The response to an accepted patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The configuration version that the patch produced.
    pub number: u64,
}

/// A content that is held because it has crashed endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldContent {
    /// The fingerprint of the content.
    pub content: Arc<str>,
    /// The endpoints that crashed under it, in the order in which this became known.
    pub crashed_endpoints: Vec<Name>,
    /// How long ago the last of these crashes became known, in milliseconds.
    pub last_crash_age_ms: u64,
}

/// One change in the history of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The version that the change produced.
    pub number: u64,
    /// The id of the patch.
    pub patch_id: Arc<str>,
    /// The keys in the top two levels that the patch changed, as [`changed_keys`]
    /// returns them.
    pub changed: Vec<Arc<str>>,
}

impl From<&Change> for HistoryEntry {
    fn from(change: &Change) -> Self {
        Self {
            number: change.number,
            patch_id: change.patch_id.clone(),
            changed: changed_keys(&change.merge).into_iter().collect(),
        }
    }
}

/// The state of the system as one daemon knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The responding VM.
    pub vm: Name,
    /// The configuration version in force at this daemon.
    pub config_number: u64,
    /// The VMs that this daemon knows.
    pub vms: Vec<VmStatus>,
    /// The endpoints that this daemon knows.
    pub endpoints: Vec<EndpointStatus>,
    /// The leases that this daemon holds.
    pub leases: Vec<LeaseStatus>,
}

/// One VM as a daemon sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmStatus {
    /// The VM's name.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its state as a member, or `unreachable`.
    pub state: Arc<str>,
    /// The configuration version in force at the responding VM; 0 for other VMs.
    pub config_number: u64,
}

/// One endpoint as a daemon sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointStatus {
    /// The service it belongs to.
    pub service: Name,
    /// Its name.
    pub endpoint: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it takes work, as the name of an `EndpointState`.
    pub state: Arc<str>,
    /// The weights version it last reported.
    pub weights_version: u64,
    /// Requests of this daemon that are running at the endpoint.
    pub in_flight: u32,
}

/// One lease that a daemon holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseStatus {
    /// The name of the lease.
    pub lease: Name,
    /// Its fencing number.
    pub fence: u64,
}
