//! Messages between daemons, as `MessagePack`.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// What one VM is known to be, as members tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The VM's name.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where daemons and operators connect.
    pub control_address: SocketAddr,
    /// The number of this start of the daemon; higher is later.
    pub incarnation: u64,
    /// Raised by the member itself, to refute a suspicion.
    pub generation: u64,
    /// What the member is held to be.
    pub state: MemberState,
}

/// What a member is held to be. The order is that of precedence.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer in time, and may still refute it.
    Suspect,
    /// It has said that it shuts down.
    Leaving,
    /// Its VM is gone for good.
    Gone,
}

/// One exchange between two members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub from: Name,
    /// The configuration version in force at the sender.
    pub config_number: u64,
    /// Records that are new or changed.
    pub records: Vec<MemberRecord>,
    /// Contents that have crashed endpoints.
    pub crashes: Vec<CrashReport>,
    /// A hash of all records of the sender.
    #[serde(default)]
    pub digest: u64,
    /// When the sender last heard of each data centre; only in answers.
    #[serde(default)]
    pub heard: Vec<DataCentreAge>,
    /// VMs that the platform is about to take away.
    #[serde(default)]
    pub leaving: Vec<LeavingNotice>,
}

/// How long ago a data centre was last known to answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentreAge {
    /// The data centre.
    pub data_centre: Name,
    /// The age in milliseconds.
    pub age_ms: u64,
}

/// A VM that the platform is about to take away.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// The VM's name.
    pub vm: Name,
    /// For how much longer it is to be held as leaving, in milliseconds.
    pub remaining_ms: u64,
}

/// Asks a member to probe another one for the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeRequest {
    /// Where the target's daemons connect.
    pub target: SocketAddr,
}

/// Asks for the records of the buckets that differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SynchroniseRequest {
    /// Hashes of the sender's records, by bucket.
    pub digests: Vec<u64>,
    /// The bucket to start from, as the answer is bounded.
    pub first_bucket: usize,
}

/// One crash of an endpoint and what ran there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation that crashed.
    pub incarnation: u64,
    /// Fingerprints of the requests that ran there.
    pub fingerprints: Vec<Arc<str>>,
}
