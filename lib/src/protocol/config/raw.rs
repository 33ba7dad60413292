//! The contents of a configuration file, before validation.

use std::collections::BTreeMap;

use serde::Deserialize;

/// One file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct File {
    /// `regions`
    pub regions: BTreeMap<String, Region>,
    /// `models`
    pub models: BTreeMap<String, Model>,
    /// `pools`
    pub pools: BTreeMap<String, Pool>,
    /// `services`
    pub services: BTreeMap<String, Service>,
    /// `residency`
    pub residency: BTreeMap<String, Residency>,
    /// `teams`
    pub teams: BTreeMap<String, Team>,
    /// `limits`
    pub limits: Option<Limits>,
    /// `objectives`
    pub objectives: BTreeMap<String, Objective>,
}

/// A region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The names of the region's failure domains.
    pub failure_domains: Vec<String>,
}

/// A model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The pool.
    pub pool: String,
    /// The version.
    #[serde(default)]
    pub version: String,
    /// The name of the residency rule.
    pub residency: Option<String>,
}

/// A pool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The servers by name.
    pub servers: BTreeMap<String, Server>,
    /// Maximum number of queued requests.
    pub queue_limit: Option<usize>,
    /// Maximum total size of queued bodies, in bytes.
    pub queue_bytes: Option<usize>,
    /// The share of slots that other regions may use.
    pub lend_share: Option<f64>,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The region.
    pub region: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The address, with a numeric IP.
    pub address: String,
    /// The number of concurrent requests.
    pub slots: Option<u32>,
    /// Whether the server rejects orders with an old epoch.
    #[serde(default)]
    pub checks_epochs: bool,
    /// Whether the server is taken out of service.
    #[serde(default)]
    pub leaving: bool,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The servers by name.
    pub servers: BTreeMap<String, Server>,
    /// Maximum number of queued requests.
    pub queue_limit: Option<usize>,
    /// Calls that must be executed at most once.
    #[serde(default)]
    pub not_repeatable: Vec<Route>,
    /// The name of the residency rule.
    pub residency: Option<String>,
}

/// A set of calls to a service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method, or `*` for all.
    pub method: String,
    /// The path prefix.
    pub path: String,
}

/// A residency rule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Residency {
    /// The regions that the rule allows.
    pub regions: Vec<String>,
}

/// A team.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The SHA-256 digest of each key, in hex.
    #[serde(default)]
    pub keys_sha256: Vec<String>,
    /// Whether requests without a key belong to this team.
    #[serde(default)]
    pub anonymous: bool,
    /// The models that the team may use.
    #[serde(default)]
    pub models: Vec<String>,
    /// The services that the team may use.
    #[serde(default)]
    pub services: Vec<String>,
    /// The highest priority that the team may request.
    pub max_priority: Option<String>,
    /// The rate limit, in requests per second.
    pub requests_per_second: Option<f64>,
    /// The name of the residency rule.
    pub residency: Option<String>,
}

/// Limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub body_bytes: Option<usize>,
    /// The default timeout.
    pub default_timeout_ms: Option<u64>,
    /// The longest timeout that a request may give.
    pub max_timeout_ms: Option<u64>,
    /// The longest time that a stream may be idle.
    pub stream_idle_ms: Option<u64>,
    /// The TTL of a ticket.
    pub ticket_life_ms: Option<u64>,
}

/// An objective.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The pool or service.
    pub pool: String,
    /// The share of requests that should meet the objective.
    pub target: f64,
    /// The time to the first byte.
    pub first_byte_ms: u64,
}
