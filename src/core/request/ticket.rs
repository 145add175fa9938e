use std::sync::Arc;

use crate::core::{
    Name,
    guard::{self, Guard},
};

/// How long after its issue a ticket allows requests with unknown ids to run.
pub const TICKET_LIFETIME_MS: u64 = 60_000;
/// How far ahead of the named VM's clock an issue time may be.
pub const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// Binds non-idempotent requests to one incarnation of one daemon, for a limited
/// time.
///
/// Only the daemon named by the ticket, and only in that incarnation, knows
/// which requests ran under it. Issuing a ticket needs no write. Any member may
/// issue one, so the issue time comes from a clock that may differ from that of
/// the named VM: see [`Ticket::window`].
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
    /// The VM that knows which requests ran under the ticket.
    pub vm: Name,
    /// The incarnation of its daemon.
    pub incarnation: u64,
    /// When it was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
}

/// The position of a time relative to the window in which a ticket allows
/// requests with unknown ids to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketWindow {
    /// The issue time is too far ahead: no request has run under the ticket yet.
    Before,
    /// Requests with unknown ids may run.
    Open,
    /// A request with an unknown id may have run, and its entry may have expired.
    After,
}

impl Ticket {
    /// Encodes the ticket as the text that callers send back.
    #[must_use]
    pub fn to_text(&self) -> Arc<str> {
        format!("{}.{}.{}", self.vm, self.incarnation, self.issued_ms).into()
    }

    /// Parses a ticket. Returns `None` if the text is not a ticket.
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

    /// Returns whether the ticket names this VM and this incarnation.
    #[must_use]
    pub fn is_issued_for(&self, vm: &str, incarnation: u64) -> bool {
        let is_match = &*self.vm == vm && self.incarnation == incarnation;
        is_match || !guard::is_on(Guard::TicketIncarnation)
    }

    /// Returns the position of `clock_ms`, a time of the named VM's
    /// [`TicketClock`], relative to the ticket's window.
    ///
    /// On that clock the window has a fixed length: an issuer whose clock is
    /// wrong shifts the window but never widens it. At-most-once execution only
    /// requires the window to be shorter than the time for which ids are kept.
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
    pub fn window(&self, clock_ms: u64) -> TicketWindow {
        if !guard::is_on(Guard::TicketLifetime) {
            TicketWindow::Open
        } else if self.issued_ms > clock_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
            TicketWindow::Before
        } else if clock_ms > self.issued_ms.saturating_add(TICKET_LIFETIME_MS) {
            TicketWindow::After
        } else {
            TicketWindow::Open
        }
    }
}

/// A clock that starts from one reading of the wall clock and then advances with
/// the monotonic clock, so that it never steps.
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
    /// The wall clock at the reading, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The monotonic clock at the reading, in milliseconds.
    pub monotonic_ms: u64,
}

impl TicketClock {
    /// Returns this clock's time when the monotonic clock reads `now_ms`.
    #[must_use]
    pub const fn unix_ms_at(&self, now_ms: u64) -> u64 {
        self.unix_ms + now_ms.saturating_sub(self.monotonic_ms)
    }
}
