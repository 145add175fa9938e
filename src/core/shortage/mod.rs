//! Decides which requests wait and which are refused while a service has too few free
//! places.

mod drain;
mod entry;
mod lane;
mod order;
mod places;
mod returns;
mod room;
mod verdict;

pub use self::{
    entry::{Entry, WorkKind},
    places::FreePlaces,
    room::{RoomPolicy, WaitingRoom},
    verdict::{RefusalReason, Refused, Verdict},
};
