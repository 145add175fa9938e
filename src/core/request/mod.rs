//! The life of one request: its attempts, its answer and its id.
//!
//! The parts are state machines: a driver reports events to them and carries
//! out the actions that they return.

mod call;
mod deduplication;
mod drain;
mod generation;
mod stop_schedule;
mod ticket;
mod waiters;

use std::sync::Arc;

pub use self::{
    call::{Call, CallEffect, CallFailure},
    deduplication::{
        DaemonIncarnation, Deduplication, ID_RETENTION_MS, ReportedOutcome, StartOutcome,
    },
    drain::{Drain, DrainStep},
    generation::{
        AttemptFailure, Generation, GenerationEffect, GenerationEvent, GenerationSpec,
        STALL_TIMEOUT_MS,
    },
    stop_schedule::StopSchedule,
    ticket::{MAX_CLOCK_SKEW_MS, TICKET_LIFETIME_MS, Ticket, TicketClock, TicketWindow},
    waiters::{CALLER_GONE_GRACE_MS, Waiters},
};
use crate::core::digest::hex_digest;

/// Returns a fingerprint of a request's service and body, without its id.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::fingerprint;
///
/// assert_eq!(fingerprint("slip-api", b"12"), fingerprint("slip-api", b"12"));
/// assert_ne!(fingerprint("slip-api", b"12"), fingerprint("slip-api", b"13"));
/// ```
#[must_use]
pub fn fingerprint(service: &str, body: &[u8]) -> Arc<str> {
    const FINGERPRINT_BYTES: usize = 16;
    hex_digest(&[service.as_bytes(), &[0], body], FINGERPRINT_BYTES).into()
}
