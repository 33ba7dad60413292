//! Tickets: idempotency keys that need no store.
//!
//! A ticket names the box that handed it out and that box's incarnation. Only
//! that incarnation runs it, and remembers in its own memory that it did. When
//! the incarnation is gone, nobody runs it any more: the answer is "unknown",
//! never a second run. A ticket has a life, counted on the owner's clock, so
//! that the owner may forget.

use std::fmt;
use std::time::Duration;

use crate::protocol::BoxId;
use crate::protocol::Incarnation;

const PREFIX: &str = "cw1";

/// A ticket.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// Box that handed it out.
    pub owner: BoxId,
    /// Incarnation of that box.
    pub incarnation: Incarnation,
    /// When it was handed out: time since the owner's start, whole milliseconds.
    pub issued: Duration,
    /// Tells tickets of the same millisecond apart.
    pub nonce: u64,
}

/// A key that begins like a ticket and is none.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the key begins with \"cw1.\" but is not a ticket")]
pub struct MalformedTicket;

impl Ticket {
    /// Reads a key; `None` for a key of the caller's own.
    pub fn parse(key: &str) -> Result<Option<Ticket>, MalformedTicket> {
        let mut parts = key.rsplit('.');
        let (nonce, issued, incarnation) = (parts.next(), parts.next(), parts.next());
        let Some(rest) = key.strip_prefix(PREFIX).and_then(|rest| rest.strip_prefix('.')) else {
            return Ok(None);
        };
        let hex = |part: Option<&str>| {
            u64::from_str_radix(part.ok_or(MalformedTicket)?, 16).map_err(|_| MalformedTicket)
        };
        let owner = rest.rsplitn(4, '.').nth(3).ok_or(MalformedTicket)?;
        Ok(Some(Ticket {
            owner: owner.to_owned(),
            incarnation: hex(incarnation)?,
            issued: Duration::from_millis(hex(issued)?),
            nonce: hex(nonce)?,
        }))
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let issued = self.issued.as_millis();
        write!(f, "{PREFIX}.{}.{:x}.{issued:x}.{:x}", self.owner, self.incarnation, self.nonce)
    }
}
