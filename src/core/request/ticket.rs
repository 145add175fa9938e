use std::sync::Arc;

use crate::core::{
    Name,
    guard::{self, Guard},
};

/// How long after its issue a ticket lets an unknown id run.
pub const TICKET_LIFETIME_MS: u64 = 60_000;
/// How far ahead of the named VM's clock an issue time may lie.
pub const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// Binds non-idempotent requests to one start of one daemon, for a while.
///
/// Only the daemon that the ticket names, and only in that incarnation, knows
/// which requests ran under it. Handing one out costs no write. Any member may
/// hand it out, so the issue time comes from a clock that need not agree with
/// that of the named VM: see [`Ticket::window`].
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::Ticket;
///
/// let ticket = Ticket { vm: "vm-1".into(), incarnation: 9, issued_ms: 20 };
/// assert_eq!(Ticket::try_parse(&ticket.to_text()), Some(ticket));
/// assert_eq!(Ticket::try_parse("vm-1"), None);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The VM that answers for the ticket.
    pub vm: Name,
    /// The incarnation of its daemon.
    pub incarnation: u64,
    /// When it was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
}

/// Where a moment lies as to the time in which a ticket lets ids run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketWindow {
    /// The issue time lies too far ahead: nothing ran under the ticket yet.
    Before,
    /// Unknown ids may run.
    Open,
    /// An unknown id may have run and been forgotten.
    After,
}

impl Ticket {
    /// Returns the ticket as callers carry it.
    #[must_use]
    pub fn to_text(&self) -> Arc<str> {
        format!("{}.{}.{}", self.vm, self.incarnation, self.issued_ms).into()
    }

    /// Reads a ticket; none if the text is not one.
    #[must_use]
    pub fn try_parse(text: &str) -> Option<Self> {
        let (rest, issued_ms) = text.rsplit_once('.')?;
        let (vm, incarnation) = rest.rsplit_once('.')?;
        Some(Self {
            vm: vm.into(),
            incarnation: incarnation.parse().ok()?,
            issued_ms: issued_ms.parse().ok()?,
        })
    }

    /// Returns whether the ticket names this start of a daemon.
    #[must_use]
    pub fn is_issued_for(&self, vm: &str, incarnation: u64) -> bool {
        let is_own = &*self.vm == vm && self.incarnation == incarnation;
        is_own || !guard::is_on(Guard::TicketIncarnation)
    }

    /// Returns whether unknown ids may run under the ticket at `time_ms`, which
    /// is a time of the named VM's [`TicketClock`].
    ///
    /// On that clock the window has a fixed length, whatever the clock of the
    /// member that issued the ticket says: a wrong clock shifts the window and
    /// never widens it. That it is shorter than the time for which ids are
    /// remembered is all that at-most-once needs.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::request::{Ticket, TicketWindow};
    ///
    /// let ticket = Ticket { vm: "vm-1".into(), incarnation: 9, issued_ms: 100_000 };
    /// assert_eq!(ticket.window(60_000), TicketWindow::Before);
    /// assert_eq!(ticket.window(130_000), TicketWindow::Open);
    /// assert_eq!(ticket.window(160_001), TicketWindow::After);
    /// ```
    #[must_use]
    pub fn window(&self, time_ms: u64) -> TicketWindow {
        if !guard::is_on(Guard::TicketLifetime) {
            TicketWindow::Open
        } else if self.issued_ms > time_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
            TicketWindow::Before
        } else if time_ms > self.issued_ms.saturating_add(TICKET_LIFETIME_MS) {
            TicketWindow::After
        } else {
            TicketWindow::Open
        }
    }
}

/// A wall clock that was read once and never steps since.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::TicketClock;
///
/// let clock = TicketClock { unix_ms: 1_000_000, monotonic_ms: 50 };
/// assert_eq!(clock.unix_ms_at(70), 1_000_020);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TicketClock {
    /// The wall clock when it was read, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The monotonic clock then, in milliseconds.
    pub monotonic_ms: u64,
}

impl TicketClock {
    /// Returns the time at `now_ms` of the monotonic clock.
    #[must_use]
    pub const fn unix_ms_at(&self, now_ms: u64) -> u64 {
        self.unix_ms + now_ms.saturating_sub(self.monotonic_ms)
    }
}
