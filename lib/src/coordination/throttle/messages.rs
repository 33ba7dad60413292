//! What boxes of a region tell each other of servers that name a rate.

use super::ServerLife;
use super::ServiceHash;

/// What a server last said.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ServerRate {
    /// The life of the server.
    #[prost(fixed64, tag = "1")]
    pub server: ServerLife,
    /// Its service.
    #[prost(fixed64, tag = "2")]
    pub service: ServiceHash,
    /// Requests a second that it takes from all boxes; `None` for no rate any more.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// How long ago it said so, milliseconds.
    #[prost(uint32, tag = "4")]
    pub said_ms: u32,
}

/// What the sender sent to a server since the server first named a rate.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Count {
    /// The life of the server.
    #[prost(fixed64, tag = "1")]
    pub server: ServerLife,
    /// Requests; only grows in a life of the sender.
    #[prost(uint64, tag = "2")]
    pub sent: u64,
}

/// What the sender is asked for of a service of which a server names a rate.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Demand {
    /// The service.
    #[prost(fixed64, tag = "1")]
    pub service: ServiceHash,
    /// Requests a minute.
    #[prost(uint32, tag = "2")]
    pub per_minute: u32,
    /// The same over a longer time.
    #[prost(uint32, tag = "3")]
    pub usual_per_minute: u32,
}

/// All of it in one report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ThrottleReport {
    /// What servers said.
    #[prost(message, repeated, tag = "1")]
    pub words: Vec<ServerRate>,
    /// What was sent to them.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<Count>,
    /// What the sender is asked for.
    #[prost(message, repeated, tag = "3")]
    pub demands: Vec<Demand>,
}

impl ThrottleReport {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty() && self.counts.is_empty() && self.demands.is_empty()
    }
}
