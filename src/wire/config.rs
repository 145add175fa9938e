//! Messages between daemons about the configuration, as `MessagePack`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{Name, config::Change};

/// Puts a new version in force at a member, and through it at others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceRequest {
    /// The change that gives the new version, where the sender knows it.
    pub change: Option<Change>,
    /// The new version.
    pub number: u64,
    /// Where a member that lacks more gets it.
    pub source: SocketAddr,
    /// Members that the receiver is to tell.
    pub pass_on: Vec<SocketAddr>,
}

/// Which members, the one that answers included, have the version in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceResponse {
    /// Their names; a count would count a member twice that was told twice.
    pub in_force: Vec<Name>,
}

/// Asks for what turns version `number` into the latest one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangesSinceRequest {
    /// The version that the asking member has.
    pub number: u64,
}

/// Asks a member which version it has in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VouchRequest {
    /// Whether it is to add what those of its data centre told it.
    pub with_near: bool,
}

/// Which versions a member, and those of its data centre, had in force when.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VouchResponse {
    /// The version in force at the member that answers.
    pub number: u64,
    /// What it vouches for itself, and what those around it told it.
    pub vouches: Vec<MemberVouch>,
}

/// Which version a member had in force, and how long ago.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberVouch {
    /// The member.
    pub vm: Name,
    /// How long ago it was asked, in milliseconds: an age as it travels, which
    /// the receiver turns into a time at once.
    pub age_ms: u64,
    /// The version.
    pub number: u64,
}
