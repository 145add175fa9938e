//! Messages between daemons about the configuration, as `MessagePack`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{Name, config::Change};

/// Announces a new version to a member, which puts it in force and forwards
/// the announcement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceRequest {
    /// The change that produces the new version, if the sender knows it.
    pub change: Option<Change>,
    /// The new version.
    pub number: u64,
    /// The member to fetch earlier changes from, if the receiver lacks any.
    pub source: SocketAddr,
    /// The members that the receiver forwards the announcement to.
    pub pass_on: Vec<SocketAddr>,
}

/// The response to [`AnnounceRequest`]: the members that have the version in
/// force, including the responding one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceResponse {
    /// Their names. A count would count a member twice if the announcement
    /// reached it twice.
    pub in_force: Vec<Name>,
}

/// Asks for the update from version `number` to the latest version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangesSinceRequest {
    /// The version of the requesting member.
    pub number: u64,
}

/// Asks a member which version is in force there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VouchRequest {
    /// Whether to include the vouches that the member received from members of
    /// its data centre.
    pub with_near: bool,
}

/// The response to [`VouchRequest`]: the versions in force at a member and, if
/// requested, at members of its data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VouchResponse {
    /// The version in force at the responding member.
    pub number: u64,
    /// The member's own vouch, and those that it received from other members.
    pub vouches: Vec<MemberVouch>,
}

/// The version that a member had in force, and how long ago.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberVouch {
    /// The member.
    pub vm: Name,
    /// How long ago the member was asked, in milliseconds. Sent as an age, which
    /// the receiver converts to a time of its own clock on receipt.
    pub age_ms: u64,
    /// The version.
    pub number: u64,
}
