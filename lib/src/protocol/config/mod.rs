//! The configuration: what operators declare, validated as a whole.
//!
//! A configuration is a set of named files. Each file is parsed and compared with its schema
//! separately ([`shape`]); [`raw`] holds the contents of the files. The validated types in this
//! module are built from all files together, so that one file may refer to names in another.
//! [`document`] is the form that the platform's store holds.

pub mod check;
pub mod document;
pub mod raw;
pub mod shape;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::PoolId;
use super::RegionId;
use super::ServerId;
use super::TeamId;
use super::Version;

/// The priority of a request, from least to most urgent. Queued requests run in this order, the
/// most urgent first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Rejected first under overload.
    Low,
    /// The default priority.
    #[default]
    Normal,
    /// Rejected last under overload.
    High,
}

impl Priority {
    /// All priorities, least urgent first.
    pub const ALL: [Priority; 3] = [Priority::Low, Priority::Normal, Priority::High];

    /// Returns the name used in files and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
        }
    }

    /// Parses the name used in files and headers.
    pub fn parse(text: &str) -> Option<Priority> {
        Priority::ALL.into_iter().find(|priority| priority.as_str() == text)
    }
}

/// A validated configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The version in the store; 0 if the store has no configuration.
    pub version: Version,
    /// Regions and their failure domains.
    pub regions: BTreeMap<RegionId, BTreeSet<String>>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Pools of backend servers, including those of plain services.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Plain services by name. Each has a pool of the same name.
    pub services: BTreeMap<String, Service>,
    /// Residency rules by name, with the regions that each allows.
    pub residency: BTreeMap<String, BTreeSet<RegionId>>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
    /// Teams by the SHA-256 digests of their keys, in lower-case hex.
    pub keys: BTreeMap<String, TeamId>,
    /// The team of requests without a key; `None` if such requests are rejected.
    pub anonymous: Option<TeamId>,
    /// Limits on all requests.
    pub limits: Limits,
    /// Service-level objectives by name, from which burn rates are computed.
    pub objectives: BTreeMap<String, Objective>,
}

/// A model that callers may request.
#[derive(Clone, Debug)]
pub struct Model {
    /// The pool whose servers run the model.
    pub pool: PoolId,
    /// The version that the engines are to load.
    pub version: String,
    /// The name of the residency rule, if any.
    pub residency: Option<String>,
}

/// A set of interchangeable backend servers.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// The servers by name.
    pub servers: BTreeMap<ServerId, Server>,
    /// Maximum number of queued requests on one box.
    pub queue_limit: usize,
    /// Maximum total size of the bodies of queued requests on one box, in bytes.
    pub queue_bytes: usize,
    /// The share of a region's slots that other regions may use, 0 to 1.
    pub lend_share: f64,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The region.
    pub region: RegionId,
    /// The failure domain.
    pub failure_domain: String,
    /// The address.
    pub address: SocketAddr,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server rejects orders with an epoch older than the newest one that it has seen.
    pub checks_epochs: bool,
    /// Whether the operators are taking the server out of service.
    pub leaving: bool,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Calls that must be executed at most once.
    pub not_repeatable: Vec<Route>,
    /// The name of the residency rule, if any.
    pub residency: Option<String>,
}

impl Service {
    /// Returns whether a call may be executed more than once.
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        !self.not_repeatable.iter().any(|route| route.matches(method, path))
    }
}

/// A set of calls to a service, by method and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// The method, or `*` for all.
    pub method: String,
    /// The path prefix.
    pub path: String,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        (self.method == "*" || self.method == method) && path.starts_with(&self.path)
    }
}

/// A group of callers that share keys and limits.
#[derive(Clone, Debug)]
pub struct Team {
    /// The models that the team may use; `*` for all.
    pub models: BTreeSet<String>,
    /// The services that the team may use; `*` for all.
    pub services: BTreeSet<String>,
    /// The highest priority that the team may request.
    pub max_priority: Priority,
    /// The rate limit over all boxes together, in requests per second.
    pub requests_per_second: f64,
    /// The name of the residency rule, if any.
    pub residency: Option<String>,
}

/// Limits on all requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// The timeout of requests that give none.
    pub default_timeout: Duration,
    /// The longest timeout that a request may give.
    pub max_timeout: Duration,
    /// The longest time that a stream may be idle.
    pub stream_idle_timeout: Duration,
    /// The TTL of a ticket, and of the response that is kept for it.
    pub ticket_ttl: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 1 << 20,
            default_timeout: Duration::from_secs(60),
            max_timeout: Duration::from_secs(600),
            stream_idle_timeout: Duration::from_secs(30),
            ticket_ttl: Duration::from_secs(900),
        }
    }
}

/// A service-level objective: the share of requests whose response should begin within a given
/// time.
#[derive(Clone, Debug)]
pub struct Objective {
    /// The pool whose requests are counted.
    pub pool: PoolId,
    /// The share of requests that should meet the objective, 0 to 1.
    pub target: f64,
    /// The time to the first byte within which a request meets the objective.
    pub first_byte: Duration,
}

impl Configuration {
    /// Returns the regions that may execute a request: those that all residency rules on it allow.
    pub fn allowed_regions(&self, team: &Team, target: Option<&String>) -> BTreeSet<RegionId> {
        let mut allowed: BTreeSet<RegionId> = self.regions.keys().cloned().collect();
        for rule in [team.residency.as_ref(), target].into_iter().flatten() {
            match self.residency.get(rule) {
                Some(regions) => allowed.retain(|region| regions.contains(region)),
                None => allowed.clear(),
            }
        }
        allowed
    }
}
