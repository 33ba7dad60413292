//! The inventory of the fleet: backend servers and boxes as registered in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use super::BoxId;
use super::Incarnation;
use super::RegionId;
use super::ServerId;
use super::quantity::MAX_BOX_WEIGHT;
use super::routing::ServiceId;

/// The name of a failure domain.
pub type FailureDomainId = String;
/// The version of a backend server's software.
pub type ServerVersion = String;

/// A hash that identifies a version of a service's software between boxes.
pub type VersionHash = u64;

/// The registration of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// The name. A restarted server may reuse the name that it had.
    pub id: ServerId,
    /// The start time, if the server reports it. It distinguishes restarts under one name.
    pub started_at: Option<SystemTime>,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The version of its software; empty if the server does not report it.
    pub version: ServerVersion,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server must get no new requests.
    pub leaving: bool,
    /// How long the server remains cold, counted from when the registration was written.
    pub cold_left: Duration,
}

/// The registration of a box.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BoxRecord {
    /// The name.
    pub name: BoxId,
    /// A random number, drawn at each start.
    pub incarnation: Incarnation,
    /// The region.
    pub region: RegionId,
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other boxes.
    pub peers: SocketAddr,
    /// Whether callers should no longer be sent to the box.
    pub leaving: bool,
    /// The relative capacity of the box: its share of the processor.
    pub weight: f64,
    /// Whether the box can write the streams of its region to the store. Boxes of older builds can't,
    /// and would hand such entries on to all boxes.
    #[serde(default)]
    pub records_streams: bool,
}

impl BoxRecord {
    /// Replaces a weight out of range by the nearest one in range.
    pub fn clamp_weight(&mut self) {
        self.weight = self.weight.clamp(0.0, MAX_BOX_WEIGHT);
    }
}
