//! Messages between daemons, as `MessagePack`.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{core::Name, error::ErrorKind};

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

/// One crash of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation that crashed.
    pub incarnation: u64,
}

/// A content that has since ended well in a trial.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearance {
    /// The fingerprint of the content.
    pub fingerprint: Arc<str>,
    /// The crashes that it is no longer blamed for.
    pub crashes: Vec<CrashId>,
}

/// What members tell each other about crashes, at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CrashNotice {
    /// An endpoint crashed.
    Crashed(CrashReport),
    /// A content did not do it.
    Cleared(Clearance),
}

/// Asks the VM that a ticket names what became of a request id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeQuery {
    /// The request id.
    pub id: Arc<str>,
    /// The fingerprint of what the request asks.
    pub fingerprint: Arc<str>,
    /// The ticket that the request carries, as callers carry it.
    pub ticket: Arc<str>,
    /// The VM that asks.
    pub vm: Name,
    /// The incarnation of its daemon.
    pub incarnation: u64,
    /// How long to wait for an answer that is not there yet, in milliseconds.
    pub wait_ms: u64,
}

/// What became of a request id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OutcomeReport {
    /// It never ran here and never will: the asker may run it.
    NeverRan,
    /// It still runs.
    Running,
    /// It ended with this answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The type of the body.
        content_type: Arc<str>,
        /// The body.
        body: Bytes,
    },
    /// It ended with this refusal.
    Refused {
        /// The kind.
        kind: ErrorKind,
        /// What went wrong, as a sentence.
        message: Arc<str>,
    },
    /// It was used with another body.
    Reused,
    /// This VM was told to run it.
    Sealed(Name),
    /// Nothing is known of it that can be answered for.
    Unknown,
}
