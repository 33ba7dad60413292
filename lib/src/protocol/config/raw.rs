//! What a configuration file says, before it is checked.

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
    /// Names of its failure domains.
    pub failure_domains: Vec<String>,
}

/// A model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Pool.
    pub pool: String,
    /// Version.
    #[serde(default)]
    pub version: String,
    /// Residency rule.
    pub residency: Option<String>,
}

/// A pool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Servers.
    pub servers: BTreeMap<String, Server>,
    /// Requests that may wait.
    pub queue_limit: Option<usize>,
    /// Bytes that may wait.
    pub queue_bytes: Option<usize>,
    /// Share lent.
    pub lend_share: Option<f64>,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address by IP number.
    pub address: String,
    /// Requests at once.
    pub slots: Option<u32>,
    /// Whether it checks epochs.
    #[serde(default)]
    pub checks_epochs: bool,
    /// Whether it leaves.
    #[serde(default)]
    pub leaving: bool,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Servers.
    pub servers: BTreeMap<String, Server>,
    /// Requests that may wait.
    pub queue_limit: Option<usize>,
    /// Calls that may not be repeated.
    #[serde(default)]
    pub not_repeatable: Vec<Route>,
    /// Residency rule.
    pub residency: Option<String>,
}

/// Calls of a service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method, or `*`.
    pub method: String,
    /// Beginning of the path.
    pub path: String,
}

/// A residency rule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Residency {
    /// Regions allowed.
    pub regions: Vec<String>,
}

/// A team.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of each key, in hex.
    #[serde(default)]
    pub keys_sha256: Vec<String>,
    /// Whether requests without a key belong to this team.
    #[serde(default)]
    pub anonymous: bool,
    /// Models.
    #[serde(default)]
    pub models: Vec<String>,
    /// Services.
    #[serde(default)]
    pub services: Vec<String>,
    /// Highest priority.
    pub max_priority: Option<String>,
    /// Requests a second.
    pub requests_per_second: Option<f64>,
    /// Residency rule.
    pub residency: Option<String>,
}

/// Limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest body.
    pub body_bytes: Option<usize>,
    /// Default deadline.
    pub default_timeout_ms: Option<u64>,
    /// Longest deadline.
    pub max_timeout_ms: Option<u64>,
    /// Longest silence of a stream.
    pub stream_idle_ms: Option<u64>,
    /// Life of a ticket.
    pub ticket_life_ms: Option<u64>,
}

/// An objective.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Pool or service.
    pub pool: String,
    /// Share of good requests.
    pub target: f64,
    /// Time to the first byte.
    pub first_byte_ms: u64,
}
