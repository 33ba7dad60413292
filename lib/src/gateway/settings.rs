//! Validated settings of a gateway process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::retries;
use crate::coordination::upgrade::table::Limits;
use crate::protocol::BoxId;
use crate::protocol::RegionId;
use crate::protocol::fleet::FailureDomainId;

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Directory queries of callers.
    pub directory: SocketAddr,
    /// Requests and datagrams of other boxes.
    pub peers: SocketAddr,
    /// State queries of boxes that can't reach the store.
    pub handover: SocketAddr,
    /// Metrics as text.
    pub metrics: SocketAddr,
}

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box.
    pub name: BoxId,
    /// Region of the box.
    pub region: RegionId,
    /// Failure domain of the box.
    pub failure_domain: FailureDomainId,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Handover addresses of some boxes that a box queries when it starts during a store outage.
    /// The list may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Relative capacity of the box: its share of the processor.
    pub weight: f64,
    /// Maximum number of file descriptors for sockets.
    pub socket_descriptors: usize,
    /// Limit on retries.
    pub retries: retries::RetryLimit,
    /// Factor by which the request rate of a cold server may be exceeded.
    pub cold_excess: f64,
    /// Number of requests that a cold server may get in addition.
    pub cold_slack: f64,
    /// Time from the request to stop until the process ends by force.
    pub stop_limit: Duration,
    /// Maximum age of the state from the store at which API keys are still accepted; `None` for no
    /// maximum.
    pub max_key_age: Option<Duration>,
    /// Units by which a team may exceed its limit within the window over which it is measured.
    pub quota_slack: f64,
    /// Maximum time until a change in the store takes effect here: the smallest of the limits for
    /// configuration, leaving servers and evacuated failure domains.
    pub propagation_limit: Duration,
    /// Reads a second that the store allows all boxes together.
    pub store_reads: f64,
    /// Limits on the requests to a version that turns out bad during an upgrade.
    pub upgrade_limits: Limits,
    /// Maximum time for which callers cache a response of the directory.
    pub directory_ttl: Duration,
    /// Addresses to connect to instead of those of some servers.
    pub server_routes: BTreeMap<SocketAddr, SocketAddr>,
    /// Addresses to connect to instead of those of some boxes.
    pub peer_routes: BTreeMap<SocketAddr, SocketAddr>,
}
