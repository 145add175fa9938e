use strum::{Display, EnumIter, IntoStaticStr};

use super::EndpointGroup;

/// Why endpoints are ordered.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ScaleReason {
    /// The work needs more endpoints than are there or are starting.
    DemandRose,
    /// Endpoints have left or were lost.
    EndpointsLost,
    /// A data centre has fewer than the configuration allows.
    BelowLeast,
    /// Fewer, or cheaper ones, have been enough for a long time.
    DemandFell,
    /// The work has lasted long enough for ordinary endpoints.
    DemandLasts,
}

/// An order of a number of endpoints, which replaces the last one of its group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// The data centre and the kind.
    pub group: EndpointGroup,
    /// The number of endpoints.
    pub target: u32,
    /// The number of the last order, or of the endpoints that were there at the start.
    pub before: u32,
    /// Why the order is given.
    pub reason: ScaleReason,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ScaleOutcome {
    /// The platform provides the endpoints.
    Accepted,
    /// The data centre has no endpoint available now.
    Unavailable,
    /// The platform does not take such an order.
    Rejected,
    /// It was not sent, or there was no answer to rely on.
    Failed,
}

/// The orders to give now, and the figures that they follow from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScaleDecision {
    /// The orders.
    pub orders: Vec<ScaleOrder>,
    /// The slots that the batches need.
    pub trainer_slots: f64,
    /// The slots that other requests need.
    pub caller_slots: f64,
    /// The endpoints that are needed, headroom included.
    pub needed: u32,
    /// The endpoints that are ordered from now on.
    pub wanted: u32,
    /// The most endpoints that were needed within the last minute.
    pub most_needed: u32,
    /// The fewest endpoints that were needed within the last minute, without headroom.
    pub base: u32,
}
