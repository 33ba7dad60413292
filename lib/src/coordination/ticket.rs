//! Tickets: idempotency keys that need no shared store.
//!
//! A ticket names the box that issued it and the incarnation of that box. Only that incarnation
//! runs the request, and it remembers in memory that it did. Once the incarnation is gone, no box
//! runs the request: the response is "unknown", never a second run. A ticket has a time to live,
//! measured on the owner's clock, after which the owner may forget it.

use std::fmt;
use std::time::Duration;

use crate::protocol::BoxId;
use crate::protocol::Incarnation;

const KEY_PREFIX: &str = "cw1";

/// An idempotency key issued by a box.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// The box that issued the ticket.
    pub owner: BoxId,
    /// Incarnation of that box.
    pub incarnation: Incarnation,
    /// When the ticket was issued: time since the owner's start, in whole milliseconds.
    pub issued: Duration,
    /// Distinguishes tickets issued in the same millisecond.
    pub nonce: u64,
}

/// The key has the prefix of a ticket but can't be parsed as one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the key begins with \"cw1.\" but is not a ticket")]
pub struct MalformedTicket;

impl Ticket {
    /// Parses a key. Returns `None` for a key that the caller chose itself.
    pub fn parse(key: &str) -> Result<Option<Ticket>, MalformedTicket> {
        let mut parts = key.rsplit('.');
        let (nonce, issued, incarnation) = (parts.next(), parts.next(), parts.next());
        let Some(rest) = key.strip_prefix(KEY_PREFIX).and_then(|rest| rest.strip_prefix('.'))
        else {
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
        write!(f, "{KEY_PREFIX}.{}.{:x}.{issued:x}.{:x}", self.owner, self.incarnation, self.nonce)
    }
}
