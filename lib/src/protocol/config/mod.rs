//! The configuration: what operators declare, checked as a whole.
//!
//! A configuration is a set of named files. Each is parsed and its shape
//! checked by itself ([`shape`]); [`raw`] holds what the files say; the checked
//! types here are made from all files together, so that a name in one file
//! may refer to another. [`document`] is the form that the platform's store holds.

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

/// Order in which waiting requests run; later is more urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Kept longest.
    High,
}

impl Priority {
    /// All priorities, least urgent first.
    pub const ALL: [Priority; 3] = [Priority::Low, Priority::Normal, Priority::High];

    /// The word in files and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
        }
    }

    /// Reads the word.
    pub fn parse(text: &str) -> Option<Priority> {
        Priority::ALL.into_iter().find(|priority| priority.as_str() == text)
    }
}

/// A checked configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Version in the store; 0 where it has none.
    pub version: Version,
    /// Regions and their failure domains.
    pub regions: BTreeMap<RegionId, BTreeSet<String>>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Pools of backend servers, those of plain services among them.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Plain services by name; each has a pool of the same name.
    pub services: BTreeMap<String, Service>,
    /// Residency rules: the regions that each allows.
    pub residency: BTreeMap<String, BTreeSet<RegionId>>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
    /// Team by the SHA-256 of its key, in lower-case hex.
    pub keys: BTreeMap<String, TeamId>,
    /// Team of requests that bring no key, if such are served.
    pub anonymous: Option<TeamId>,
    /// Limits on all requests.
    pub limits: Limits,
    /// Objectives that burn is measured against.
    pub objectives: BTreeMap<String, Objective>,
}

/// A model that callers may ask for.
#[derive(Clone, Debug)]
pub struct Model {
    /// Pool whose servers have it loaded.
    pub pool: PoolId,
    /// Version that the engines are told to load.
    pub version: String,
    /// Name of the residency rule, if any.
    pub residency: Option<String>,
}

/// A set of backend servers that can stand in for one another.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Its servers.
    pub servers: BTreeMap<ServerId, Server>,
    /// Requests that may wait on one box.
    pub queue_limit: usize,
    /// Bytes of bodies that may wait on one box.
    pub queue_bytes: usize,
    /// Share of a region's slots that other regions may use, 0 to 1.
    pub lend_share: f64,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: String,
    /// Address.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it refuses orders of an epoch before its newest.
    pub checks_epochs: bool,
    /// Whether the operators take it out of service.
    pub leaving: bool,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Calls that may not be repeated.
    pub not_repeatable: Vec<Route>,
    /// Name of the residency rule, if any.
    pub residency: Option<String>,
}

impl Service {
    /// Whether a call may be repeated.
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        !self.not_repeatable.iter().any(|route| route.matches(method, path))
    }
}

/// Calls of a service, by method and the beginning of the path.
#[derive(Clone, Debug)]
pub struct Route {
    /// Method, or `*`.
    pub method: String,
    /// Beginning of the path.
    pub path: String,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        (self.method == "*" || self.method == method) && path.starts_with(&self.path)
    }
}

/// A group of callers under one set of keys and limits.
#[derive(Clone, Debug)]
pub struct Team {
    /// Models it may use; `*` for all.
    pub models: BTreeSet<String>,
    /// Services it may use; `*` for all.
    pub services: BTreeSet<String>,
    /// Highest priority it may ask for.
    pub max_priority: Priority,
    /// Requests a second over all boxes.
    pub requests_per_second: f64,
    /// Name of the residency rule, if any.
    pub residency: Option<String>,
}

/// Limits on all requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest body, bytes.
    pub body_bytes: usize,
    /// Deadline where the request names none.
    pub default_timeout: Duration,
    /// Longest deadline that a request may name.
    pub max_timeout: Duration,
    /// Longest silence of a stream.
    pub stream_idle: Duration,
    /// Life of a ticket, and of the answer kept for it.
    pub ticket_life: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 1 << 20,
            default_timeout: Duration::from_secs(60),
            max_timeout: Duration::from_secs(600),
            stream_idle: Duration::from_secs(30),
            ticket_life: Duration::from_secs(900),
        }
    }
}

/// What share of requests should be answered how fast.
#[derive(Clone, Debug)]
pub struct Objective {
    /// Pool whose requests count.
    pub pool: PoolId,
    /// Share that should be good, 0 to 1.
    pub target: f64,
    /// Time to the first byte of a good request.
    pub first_byte: Duration,
}

impl Configuration {
    /// Regions in which a request may run: those that every rule on it allows.
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
