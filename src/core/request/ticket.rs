use std::sync::Arc;

use crate::core::Name;

/// Binds non-idempotent requests to one start of one daemon.
///
/// Only the daemon that issued a ticket, and only in that incarnation, knows
/// which requests ran under it. Handing one out costs no write.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::Ticket;
///
/// let ticket = Ticket { vm: "vm-1".into(), incarnation: 9 };
/// assert_eq!(Ticket::try_parse(&ticket.to_text()), Some(ticket));
/// assert_eq!(Ticket::try_parse("vm-1"), None);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The VM that issued the ticket.
    pub vm: Name,
    /// The incarnation of its daemon.
    pub incarnation: u64,
}

impl Ticket {
    /// Returns the ticket as callers carry it.
    #[must_use]
    pub fn to_text(&self) -> Arc<str> {
        format!("{}.{}", self.vm, self.incarnation).into()
    }

    /// Reads a ticket; none if the text is not one.
    #[must_use]
    pub fn try_parse(text: &str) -> Option<Self> {
        let (vm, incarnation) = text.rsplit_once('.')?;
        Some(Self {
            vm: vm.into(),
            incarnation: incarnation.parse().ok()?,
        })
    }
}
