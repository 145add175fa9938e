//! Messages between operators and daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::core::{
    Name,
    config::{Change, changed_keys},
};

/// A patch to the numbered configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The operator's id of the patch; sending it again gives the first answer.
    pub id: Arc<str>,
    /// The configuration version that the patch was written against.
    pub against: u64,
    /// A JSON merge patch (RFC 7396).
    pub merge: Value,
}

/// The answer to an accepted patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The configuration version that the patch gave.
    pub number: u64,
}

/// One change in the history of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The version that the change gave.
    pub number: u64,
    /// The id of the patch.
    pub patch_id: Arc<str>,
    /// The top keys that the patch changed.
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

/// What one daemon knows, for operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: Name,
    /// The configuration version in force here.
    pub config_number: u64,
    /// The VMs known here.
    pub vms: Vec<VmStatus>,
    /// The endpoints known here.
    pub endpoints: Vec<EndpointStatus>,
    /// The leases held here.
    pub leases: Vec<LeaseStatus>,
}

/// One VM as a daemon sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmStatus {
    /// The VM's name.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its state.
    pub state: Arc<str>,
    /// The configuration version it last announced.
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
    /// Its state.
    pub state: Arc<str>,
    /// The weights version it last reported.
    pub weights_version: u64,
    /// Requests of this daemon that run there.
    pub in_flight: u32,
}

/// One lease that a daemon holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseStatus {
    /// What the lease is for.
    pub lease: Name,
    /// Its fencing number.
    pub fence: u64,
}
