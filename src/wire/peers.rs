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
    /// It is gone.
    Dead,
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
