//! The routing table: which requests are accepted, how they may be executed, and which service
//! executes them. A [`Routing`] is one immutable version of the whole table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::RegionId;
use super::Version;
use super::team::Teams;

/// The name of a service: a set of interchangeable backend servers.
pub type ServiceId = String;

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// Any number of times; the request is idempotent.
    Safe,
    /// At most once.
    Once,
    /// At most once, unless the route is resumable. The response is a stream of events.
    Stream,
}

/// A route: one row of the routing table.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The value of the `Host` header.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
    /// How often its requests may be executed.
    pub repeatability: Repeatability,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The latency objective: time to the complete response, or to the first event of a stream.
    pub latency_objective: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services with their weights; never empty.
    pub services: Vec<(ServiceId, u32)>,
    /// The maximum number of backend servers that one request is sent to.
    pub max_attempts: usize,
    /// Whether a broken stream may be continued on another backend server, after its last event.
    pub resumable: bool,
    /// The regions that may execute its requests; empty for all regions.
    pub home_regions: Vec<RegionId>,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

impl Route {
    /// Returns whether a request may be executed more than once.
    pub fn repeatable(&self) -> bool {
        match self.repeatability {
            Repeatability::Safe => true,
            Repeatability::Once => false,
            Repeatability::Stream => self.resumable,
        }
    }

    /// Returns whether a region may execute the route's requests.
    pub fn allows(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }

    /// The services that get requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let weighted = self.services.iter().filter(|(_, weight)| *weight > 0);
        weighted.map(|(service, _)| service)
    }

    /// Returns the service for a request. Each service gets a share of the values of `point` in
    /// proportion to its weight.
    pub fn pick_service(&self, point: u64) -> Option<&ServiceId> {
        pick(&self.services, point)
    }
}

/// Picks one of several weighted alternatives. Each gets a share of the values of `point` in
/// proportion to its weight.
pub fn pick<T>(alternatives: &[(T, u32)], point: u64) -> Option<&T> {
    let total: u64 = alternatives.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut remaining = point % total.max(1);
    for (alternative, weight) in alternatives {
        let weight = u64::from(*weight);
        if remaining < weight {
            return Some(alternative);
        }
        remaining -= weight;
    }
    alternatives.first().map(|(alternative, _)| alternative)
}

/// The properties of a service, apart from its servers.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// The maximum number of connections to one server, from all callers together.
    pub max_connections: usize,
    /// How long a server is cold after its start.
    pub cold_time: Duration,
    /// The path of the server's health check; `None` if it has none.
    pub health_path: Option<String>,
    /// The request rate, per second, that a cold server can take. 0 means that servers of this
    /// service have no cold phase.
    pub warmup_rate: f64,
    /// The number of tokens that fit into a server's KV cache; `None` for services that are not
    /// model engines.
    pub kv_cache_tokens: Option<u64>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a body.
    pub max_body_bytes: usize,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// How long a caller may take for a request head.
    pub header_timeout: Duration,
}

impl Default for Limits {
    /// The limits that apply until the first configuration is loaded.
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
            header_timeout: Duration::from_secs(3),
        }
    }
}

/// One version of routes, services and limits.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The version. It never decreases while a process runs.
    pub version: Version,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The limits on requests.
    pub limits: Limits,
    /// The teams; `None` if requests need no key at all.
    pub teams: Option<Teams>,
    routes_by_host: HashMap<String, Vec<std::sync::Arc<Route>>>,
}

impl Routing {
    /// Creates a routing table. Among the routes of a host, the longest matching prefix wins.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, Service>,
        limits: Limits,
    ) -> Routing {
        let mut routes_by_host: HashMap<String, Vec<std::sync::Arc<Route>>> = HashMap::new();
        for route in routes {
            routes_by_host.entry(route.host.clone()).or_default().push(std::sync::Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Routing { version, services, limits, teams: None, routes_by_host }
    }

    /// The longest timeout of a route on which streams may be resumed.
    pub fn longest_stream(&self) -> Duration {
        self.resumable_routes().map(|route| route.timeout).max().unwrap_or_default()
    }

    /// The services of routes on which streams may be resumed.
    pub fn streaming_services(&self) -> BTreeSet<&ServiceId> {
        self.resumable_routes()
            .flat_map(|route| &route.services)
            .map(|(service, _)| service)
            .collect()
    }

    /// The routes on which streams may be resumed.
    pub fn resumable_routes(&self) -> impl Iterator<Item = &std::sync::Arc<Route>> {
        self.routes_by_host.values().flatten().filter(|route| route.resumable)
    }

    /// Sets the teams whose keys are required.
    pub fn with_teams(self, teams: Option<Teams>) -> Routing {
        Routing { teams, ..self }
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes_by_host.values().flatten().map(std::sync::Arc::as_ref)
    }

    /// Returns the number of routes of a host that a region may execute.
    pub fn count_routes(&self, host: &str, region: &str) -> usize {
        let routes = self.routes_by_host.get(host).into_iter().flatten();
        routes.filter(|route| route.allows(region)).count()
    }

    /// Returns the route of a request, if there is one.
    pub fn find(&self, host: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
