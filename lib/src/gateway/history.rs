//! The history of a request: the sends made for it so far. Retries, the response to the caller and
//! the log depend on it.

use std::net::SocketAddr;

use crate::protocol::ServerId;
use crate::protocol::fleet::VersionHash;

/// The sends of a request so far.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    /// Servers that the request was sent to or that could not be reached.
    pub tried: Vec<ServerId>,
    /// Boxes of other regions that the request was forwarded to.
    pub boxes: Vec<SocketAddr>,
    /// Boxes of this region that the request was forwarded to.
    pub neighbors: Vec<SocketAddr>,
    /// Number of sends that may have run.
    pub sends: usize,
    /// Number of sends that the receiver refused, so that they did not run.
    pub refused: usize,
    /// The part of `refused` in which the server asked this box for a rest period.
    pub rest_refusals: usize,
    /// Whether a brittle server refused the request, so that no other one of this region gets it.
    pub refused_by_brittle: bool,
    /// Number of sends that failed before the request was sent.
    pub unsent: usize,
    /// Whether a send may have run.
    pub maybe_ran: bool,
    /// The version of a stream that has begun and must go on at servers of this version only.
    pub version: Option<VersionHash>,
}

impl RequestHistory {
    /// Number of sends that reached a receiver, or may have.
    pub fn arrivals(&self) -> usize {
        self.sends + self.refused
    }

    /// Number of failed sends whose cause may affect the next request as well. A refusal with a
    /// rest period is excluded because it affects only one request. When it was included, the first
    /// requests after four servers had asked for a rest period were refused while a fifth had
    /// capacity.
    pub fn recurring_failures(&self) -> usize {
        self.unsent + self.refused - self.rest_refusals
    }
}
