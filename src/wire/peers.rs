//! Messages between daemons, as `MessagePack`.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{
    core::{Name, rate_limit::Purpose},
    error::ErrorKind,
};

/// The state of one VM, as exchanged between members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The VM's name.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address that daemons and operators connect to.
    pub control_address: SocketAddr,
    /// Identifies one start of the daemon; later starts have higher numbers.
    pub incarnation: u64,
    /// Incremented by the member itself to refute a suspicion.
    pub generation: u64,
    /// The member's state.
    pub state: MemberState,
}

/// The state of a member, in ascending order of precedence.
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
    /// The member responds to probes.
    Alive,
    /// A probe timed out; the member may still refute the suspicion.
    Suspect,
    /// The member has announced its shutdown.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// A gossip message from one member to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub from: Name,
    /// The configuration version in force at the sender.
    pub config_number: u64,
    /// New or changed records.
    pub records: Vec<MemberRecord>,
    /// Crashes of endpoints, with the contents that were running there.
    pub crashes: Vec<CrashReport>,
    /// A hash of all records of the sender.
    #[serde(default)]
    pub digest: u64,
    /// How long ago the sender last heard of each data centre; only in responses.
    #[serde(default)]
    pub heard: Vec<DataCentreAge>,
    /// VMs that the platform is about to remove.
    #[serde(default)]
    pub leaving: Vec<LeavingNotice>,
}

/// How long ago a data centre was last known to respond.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentreAge {
    /// The data centre.
    pub data_centre: Name,
    /// The age in milliseconds.
    pub age_ms: u64,
}

/// A VM that the platform is about to remove.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// The VM's name.
    pub vm: Name,
    /// The remaining time for which the VM counts as leaving, in milliseconds.
    pub remaining_ms: u64,
}

/// Asks a member to probe another member on behalf of the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeRequest {
    /// The control address of the member to probe.
    pub target: SocketAddr,
}

/// Asks for the records of those buckets whose hashes differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SynchroniseRequest {
    /// The hash of the sender's records in each bucket.
    pub digests: Vec<u64>,
    /// The bucket to start from, as the size of a response is limited.
    pub first_bucket: usize,
}

/// The path at which VMs receive notices of crashes.
pub const CRASH_NOTICE_PATH: &str = "/peer/crash";

/// The path at which VMs are asked whether they reach an endpoint.
pub const REACHABILITY_PATH: &str = "/peer/reachability";

/// The path at which VMs are told who began a stream.
pub const STREAM_NOTICE_PATH: &str = "/peer/stream";

/// The path at which VMs are asked who began a stream.
pub const STREAM_QUERY_PATH: &str = "/peer/stream-origin";

/// The path at which VMs are asked for permits to send requests to endpoints.
pub const PERMIT_PATH: &str = "/peer/permit";

/// The path at which VMs send requests to endpoints for other VMs.
pub const RELAY_REQUEST_PATH: &str = "/peer/request";

/// The header of the response to a [`RelayedRequest`] that holds the [`RelayOutcome`].
pub const RELAY_OUTCOME_HEADER: &str = "relay-outcome";

/// A request to an endpoint that a VM which is cut off from it hands to another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedRequest {
    /// The VM that hands it over.
    pub from: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation.
    pub incarnation: u64,
    /// The version of the configuration that led to the endpoint.
    pub config_version: u64,
    /// What the request is for.
    pub purpose: Purpose,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// How long its answer is of use, in milliseconds.
    pub remaining_ms: u64,
    /// The method.
    pub method: Name,
    /// The path with the query.
    pub target: Name,
    /// The headers, as the endpoint gets them.
    pub headers: Vec<(Name, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// What became of a [`RelayedRequest`].
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RelayOutcome {
    /// The response is the endpoint's.
    Answered,
    /// The VM does not take it, and another VM may.
    Declined,
    /// The endpoint did not get it.
    NotSent,
    /// The endpoint may have run it, and its answer is longer than is allowed.
    TooLong,
    /// The endpoint may have run it, and has sent the answer to another request.
    Misplaced,
    /// The endpoint may have run it, and its answer is missing or incomplete.
    Incomplete,
}

/// Asks another VM whether an endpoint accepts connections from there; the response
/// is a [`Testimony`](crate::core::paths::Testimony).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachabilityQuery {
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation.
    pub incarnation: u64,
}

/// One crash of an endpoint, and the requests that were running there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation that crashed.
    pub incarnation: u64,
    /// The fingerprints of the requests that were running there.
    pub fingerprints: Vec<Arc<str>>,
}

/// Identifies one crash of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation that crashed.
    pub incarnation: u64,
}

/// A content that has since completed in a trial.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearance {
    /// The fingerprint of the content.
    pub fingerprint: Arc<str>,
    /// The crashes that it is no longer blamed for.
    pub crashes: Vec<CrashId>,
}

/// A notice about crashes, which is sent to every member without waiting for
/// the next gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CrashNotice {
    /// An endpoint crashed.
    Crashed(CrashReport),
    /// A content is no longer blamed for crashes.
    Cleared(Clearance),
}

/// Asks the VM that issued a ticket for the outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeQuery {
    /// The request id.
    pub id: Arc<str>,
    /// The fingerprint of the request's content.
    pub fingerprint: Arc<str>,
    /// The request's ticket, in its text form.
    pub ticket: Arc<str>,
    /// The VM that sends the query.
    pub vm: Name,
    /// The incarnation of the querying daemon.
    pub incarnation: u64,
    /// How long to wait for the outcome of a running request, in milliseconds.
    pub wait_ms: u64,
}

/// The response to [`OutcomeQuery`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OutcomeReport {
    /// The request has not run here and cannot run here any more: the querying
    /// VM may run it.
    NeverRan,
    /// The request is still running.
    Running,
    /// The request completed with this response.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: Arc<str>,
        /// The body.
        body: Bytes,
    },
    /// The request ended with this refusal.
    Refused {
        /// The kind of error.
        kind: ErrorKind,
        /// A description of the error.
        message: Arc<str>,
    },
    /// The request id was used for a request with another body.
    Reused,
    /// The named VM was permitted to run the request.
    Sealed(Name),
    /// It is not known whether the request ran.
    Unknown,
}
