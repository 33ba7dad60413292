//! What has happened to a request so far: what it may still do, what its caller may be told, and what
//! the log says of it follow from this.

use std::net::SocketAddr;

use crate::protocol::ServerId;

/// What has happened to a request so far.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    /// Servers that had it, or could not be reached.
    pub tried: Vec<ServerId>,
    /// Boxes of other regions that had it.
    pub boxes: Vec<SocketAddr>,
    /// Sends that may have run.
    pub sends: usize,
    /// Sends that the other side refused, and did not run.
    pub refused: usize,
    /// Those of them after which the server gets nothing from this box for a while.
    pub rest_refusals: usize,
    /// Offers that failed before anything was sent.
    pub unsent: usize,
    /// Whether a send may have run.
    pub maybe_ran: bool,
}

impl RequestHistory {
    /// Sends that arrived somewhere, or may have.
    pub fn arrivals(&self) -> usize {
        self.sends + self.refused
    }

    /// Offers in vain that may happen to the next request as well. A rest is learned once: without that difference the
    /// first requests after four servers had asked for it were refused while a fifth had room.
    pub fn repeatable_failures(&self) -> usize {
        self.unsent + self.refused - self.rest_refusals
    }
}
