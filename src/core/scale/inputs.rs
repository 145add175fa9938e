use std::collections::BTreeMap;

use strum::{Display, EnumIter, IntoStaticStr};

use crate::core::{Name, routes::ScaleLimits};

/// Whether the platform may reclaim an endpoint.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointKind {
    /// It stays until another order removes it.
    Ordinary,
    /// It costs less, and the platform may reclaim it together with all others of its
    /// data centre.
    Spot,
}

/// The endpoints of a service that one order sets the number of.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EndpointGroup {
    /// The data centre.
    pub data_centre: Name,
    /// The kind of the endpoints.
    pub kind: EndpointKind,
}

/// The listed endpoints of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Supply {
    /// How many accept work.
    pub ready: u32,
    /// How many accept no new work, as they are about to leave.
    pub leaving: u32,
    /// The slots of those that accept work.
    pub slots: u32,
}

/// A batch that a trainer has submitted lately, whether it is open or has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchWork {
    /// The route, which is one trainer's.
    pub trainer: Name,
    /// When it was accepted.
    pub accepted_ms: u64,
    /// When it is due.
    pub due_ms: u64,
    /// The trainer's estimate of the tokens that the service generates for it.
    pub tokens: f64,
    /// The share of these tokens whose samples are not listed yet, from 0 to 1; 0 once
    /// the batch has ended.
    pub unlisted_share: f64,
}

/// The work of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkDue {
    /// The batches of the last half minute, and all open ones.
    pub batches: Vec<BatchWork>,
    /// The slot time that a token of a trainer's estimate takes, or `None` before a
    /// sample was complete.
    pub slot_ms_per_token: Option<f64>,
    /// The requests other than samples that run or wait at endpoints.
    pub callers_in_flight: u32,
    /// The callers' requests that were refused lately as there was no room, a second.
    pub refused_per_s: u32,
}

/// What a decision is made from.
#[derive(Clone, Copy, Debug)]
pub struct ScaleInputs<'a> {
    /// The time.
    pub now_ms: u64,
    /// The terms of the service.
    pub limits: &'a ScaleLimits,
    /// The listed endpoints; a group without any may be absent.
    pub supply: &'a BTreeMap<EndpointGroup, Supply>,
    /// The work of the service.
    pub work: &'a WorkDue,
}
