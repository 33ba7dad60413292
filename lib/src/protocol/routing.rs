//! Which requests are taken, what may be done with them, and which service
//! runs them. A [`Routing`] is one version of the whole, never changed in place.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::RegionId;
use super::Version;
use super::team::Teams;

/// Name of a service: a set of equal backend servers.
pub type ServiceId = String;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// Running it twice does no harm.
    Safe,
    /// It may run at most once.
    Once,
    /// At most once, unless the route can be resumed; its answer is a stream of events.
    Stream,
}

/// One row of the table of routes.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// What may be done with its requests.
    pub repeatability: Repeatability,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Latency objective: to the whole answer, or to the first event of a stream.
    pub latency_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub services: Vec<(ServiceId, u32)>,
    /// Most backend servers that one request is sent to.
    pub max_attempts: usize,
    /// Whether a stream may go on at another backend server after its last event.
    pub resumable: bool,
    /// Regions that may run it; empty means all.
    pub home_regions: Vec<RegionId>,
    /// Whether a request needs no key.
    pub anonymous: bool,
}

impl Route {
    /// Whether a second run does no harm.
    pub fn repeatable(&self) -> bool {
        match self.repeatability {
            Repeatability::Safe => true,
            Repeatability::Once => false,
            Repeatability::Stream => self.resumable,
        }
    }

    /// Whether a region may run it.
    pub fn allows(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }

    /// The service for a request; `point` picks evenly among the weights.
    pub fn pick_service(&self, point: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut rest = point % total.max(1);
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(service);
            }
            rest -= weight;
        }
        self.services.first().map(|(service, _)| service)
    }
}

/// What is known of a service beside its servers.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Connections that a server takes from all callers together.
    pub max_connections: usize,
    /// How long a server stays cold after its start.
    pub cold_time: Duration,
    /// Where a server says how it is; `None` if it does not.
    pub health_path: Option<String>,
    /// Requests a second that a cold server bears; 0 means that none turns cold.
    pub warmup_rate: f64,
    /// Tokens that a server's memory holds; `None` for services that are no model engines.
    pub kv_cache_tokens: Option<u64>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request, bytes.
    pub header_bytes: usize,
    /// Largest body, bytes.
    pub body_bytes: usize,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What holds before the first configuration is known.
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of routes, services and limits.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Version; only ever rises in one life of a process.
    pub version: Version,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Teams; `None` if nobody needs a key.
    pub teams: Option<Teams>,
    hosts: HashMap<String, Vec<std::sync::Arc<Route>>>,
}

impl Routing {
    /// A table of routes; the longest prefix of a host goes first.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, Service>,
        limits: Limits,
    ) -> Routing {
        let mut hosts: HashMap<String, Vec<std::sync::Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(std::sync::Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Routing { version, services, limits, teams: None, hosts }
    }

    /// Asks callers for the keys of these teams.
    pub fn with_teams(self, teams: Option<Teams>) -> Routing {
        Routing { teams, ..self }
    }

    /// How many routes of a host may run in a region.
    pub fn count_routes(&self, host: &str, region: &str) -> usize {
        let routes = self.hosts.get(host).into_iter().flatten();
        routes.filter(|route| route.allows(region)).count()
    }

    /// The route of a request, if there is one.
    pub fn find(&self, host: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
