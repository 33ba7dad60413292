//! What boxes tell each other about streams, as a part of a datagram.

use super::stream_versions::RouteHash;
use super::stream_versions::ServiceHash;
use super::stream_versions::StreamKey;
use crate::protocol::fleet::VersionHash;

/// Stands for a service that is not picked by the attempt that began the stream.
pub const NO_POINT: u64 = u64::MAX;

/// Announcements of stream versions, queries for them and responses to queries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamReport {
    /// Streams whose versions are announced.
    #[prost(fixed64, repeated, tag = "1")]
    pub announced: Vec<StreamKey>,
    /// Versions of these streams, in their order.
    #[prost(fixed64, repeated, tag = "2")]
    pub versions: Vec<VersionHash>,
    /// Streams whose versions are queried.
    #[prost(fixed64, repeated, tag = "3")]
    pub queried: Vec<StreamKey>,
    /// Queried streams that the sender doesn't know.
    #[prost(fixed64, repeated, tag = "4")]
    pub unknown: Vec<StreamKey>,
    /// Services of the queried streams, in their order, if the receiver is to look them up in the
    /// store.
    #[prost(fixed64, repeated, tag = "5")]
    pub queried_services: Vec<ServiceHash>,
    /// Streams that the receiver is to write to the store.
    #[prost(fixed64, repeated, tag = "6")]
    pub begun: Vec<StreamKey>,
    /// Versions of these streams, in their order.
    #[prost(fixed64, repeated, tag = "7")]
    pub begun_versions: Vec<VersionHash>,
    /// Queried streams that the sender could not look up in the store.
    #[prost(fixed64, repeated, tag = "8")]
    pub not_looked_up: Vec<StreamKey>,
    /// Routes of the queried streams, in the order of the services.
    #[prost(fixed64, repeated, tag = "9")]
    pub queried_routes: Vec<RouteHash>,
    /// What the services of these streams are picked by, in the same order; [`NO_POINT`] if nothing is
    /// known.
    #[prost(fixed64, repeated, tag = "10")]
    pub queried_points: Vec<u64>,
    /// Queried streams whose versions the sender has by the lists in the store only.
    #[prost(fixed64, repeated, tag = "11")]
    pub proved: Vec<StreamKey>,
    /// Versions of these streams, in their order.
    #[prost(fixed64, repeated, tag = "12")]
    pub proved_versions: Vec<VersionHash>,
}
