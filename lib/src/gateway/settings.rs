//! Settings of a gateway process, already checked.

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::retries;
use crate::protocol::BoxId;
use crate::protocol::RegionId;
use crate::protocol::fleet::FailureDomainId;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the question whether it takes requests.
    pub ready: SocketAddr,
    /// For callers that look for a box.
    pub directory: SocketAddr,
    /// For other boxes.
    pub peers: SocketAddr,
    /// For boxes that the store does not answer.
    pub handover: SocketAddr,
    /// For counters as text.
    pub metrics: SocketAddr,
}

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box.
    pub name: BoxId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where some boxes answer those that start without the store; may be old.
    pub seeds: Vec<SocketAddr>,
    /// What the box can bear, against others: its processor share.
    pub weight: f64,
    /// Descriptors that sockets may take.
    pub descriptors: usize,
    /// Bound on sends beyond the first.
    pub retries: retries::RetryLimit,
    /// How often the rate of a cold server may be exceeded, as a factor.
    pub cold_excess: f64,
    /// Requests to a cold server beyond that.
    pub cold_slack: f64,
    /// Time between the request to stop and the end by force.
    pub stop_limit: Duration,
    /// How old the state from the store may be for keys to be taken; `None` for as old as it gets.
    pub keys_hold: Option<Duration>,
    /// Units that a team's requests may be over its limit within the window that it is measured by.
    pub quota_slack: f64,
    /// Longest time until a change in the store must count here: the least of the bounds on
    /// configuration, leaving servers and evacuated failure domains.
    pub follow_within: Duration,
    /// Reading calls a second that the store allows all boxes together.
    pub store_reads: f64,
    /// How long callers keep an answer of the directory at most.
    pub directory_life: Duration,
}
