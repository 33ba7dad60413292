//! Messages between the boxes of a region about servers that state a rate, and about brittle ones.

use super::ServerIncarnation;
use super::ServiceHash;

/// The rate that a server stated last.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ServerRate {
    /// The incarnation of the server.
    #[prost(fixed64, tag = "1")]
    pub server: ServerIncarnation,
    /// The service of the server.
    #[prost(fixed64, tag = "2")]
    pub service: ServiceHash,
    /// Requests per second that the server accepts from all boxes; `None` if it no longer states a
    /// rate.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// Time since the server stated the rate, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub said_ms: u32,
}

/// Number of requests that the sender has sent to a server since the server first stated a rate.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SentCount {
    /// The incarnation of the server.
    #[prost(fixed64, tag = "1")]
    pub server: ServerIncarnation,
    /// Number of requests. It only increases within an incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub sent: u64,
}

/// What a server stated last about being brittle, and the limit that its last rejection left.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ServerRoom {
    /// The incarnation of the server.
    #[prost(fixed64, tag = "1")]
    pub server: ServerIncarnation,
    /// The service of the server.
    #[prost(fixed64, tag = "2")]
    pub service: ServiceHash,
    /// Rejections in a second that the server survives; `None` if it is no longer brittle.
    #[prost(uint32, optional, tag = "3")]
    pub max_rejections: Option<u32>,
    /// Time since the server stated this, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub said_ms: u32,
    /// Requests of all boxes that the last rejection left; `None` if there was none.
    #[prost(uint32, optional, tag = "5")]
    pub limit: Option<u32>,
    /// Time since that rejection, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub rejected_ms: u32,
    /// Time for which no box sends to the server, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub closed_ms: u32,
}

/// The sender's demand for a service that has a server with a stated rate, or a brittle one.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(fixed64, tag = "1")]
    pub service: ServiceHash,
    /// Requests per minute.
    #[prost(uint32, tag = "2")]
    pub per_minute: u32,
    /// Requests per minute, averaged over a longer time.
    #[prost(uint32, tag = "3")]
    pub usual_per_minute: u32,
    /// Requests per second by which the boxes share the room of brittle servers.
    #[prost(double, optional, tag = "4")]
    pub weight: Option<f64>,
}

/// The part of a report that concerns stated rates and brittle servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ThrottleReport {
    /// Rates that servers stated.
    #[prost(message, repeated, tag = "1")]
    pub words: Vec<ServerRate>,
    /// Requests that the sender has sent to servers.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<SentCount>,
    /// The sender's demand.
    #[prost(message, repeated, tag = "3")]
    pub demands: Vec<ServiceDemand>,
    /// Brittle servers.
    #[prost(message, repeated, tag = "4")]
    pub rooms: Vec<ServerRoom>,
}

impl ThrottleReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
            && self.counts.is_empty()
            && self.demands.is_empty()
            && self.rooms.is_empty()
    }
}
