//! Choice of the backend server of a service for a request, and the cases in which there is none.
//!
//! The cost of a server is the work to be done there until the request's first token: prompt tokens
//! of earlier requests, those of this request that the server has not cached, and the delay that
//! running requests add to each step. Servers of another failure domain cost more. A shared prefix
//! has one home server by rendezvous hashing, so that all boxes send it to the same server unless
//! that server is much busier than others.

mod blocked;
mod cold;
mod holders;
mod paths;
mod status;
mod utilization;

pub use self::blocked::Blocked;
pub use self::cold::QueryTarget;
use self::holders::Holders;
pub use self::paths::PathTarget;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::candidate::Candidate;
use super::candidate::Outcome;
use super::candidate::ServerState;
use super::candidate::Work;
use super::coldness::MIN_REQUEST_DURATION;
use super::coldness::Usage;
use super::loads::Load;
use super::loads::Loads;
use super::reachability::PathChange;
use super::rendezvous;
use super::rest_period::RestPeriods;
use super::retry_spread::RetrySpread;
use super::shared_prefix::SharedPrefix;
use super::throttle::ServerCapacity;
use super::throttle::ServiceHash;
use super::throttle::Throttles;
use super::upgrade::Role;
use super::warmup::Window;
use crate::protocol::ServerId;
use crate::protocol::adapter::PromptSegment;
use crate::protocol::fleet::Server;
use crate::protocol::fleet::VersionHash;
use crate::protocol::routing::Service;

/// Fraction of a server's connections that requests may use; others are idle or closing.
const MAX_CONNECTION_FRACTION: f64 = 0.8;
/// Number of servers compared for one request. Boxes act on reports that are some tenths of a
/// second old; comparing only a random sample keeps them from all choosing the same server.
const SAMPLE_SIZE: usize = 4;
/// Weight of the latest request in the mean duration.
const DURATION_WEIGHT: f64 = 0.05;
/// Maximum number of servers for which all are compared, without a sample.
const COMPARE_ALL_MAX_SERVERS: usize = 6;

/// How long the removal of a server is remembered; requests sent to it are forgotten sooner.
const REMOVED_RETENTION: Duration = Duration::from_secs(5);

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt.
    pub parts: &'a [PromptSegment],
    /// Servers that already received the request.
    pub tried: &'a [ServerId],
    /// Load of other boxes on the servers.
    pub loads: &'a Loads,
    /// Remaining capacity of servers that set a rate limit.
    pub throttles: &'a Throttles,
    /// Hash of the service.
    pub service: ServiceHash,
    /// Servers that may be chosen.
    pub eligible: Eligible,
    /// The role that these servers have while the service is upgraded.
    pub role: Role,
    /// The version at which the request continues a stream. Its servers qualify in either of the
    /// roles that get requests.
    pub version: Option<VersionHash>,
    /// Versions at which a request that begins a stream may run; `None` if any may.
    pub listed: Option<&'a [VersionHash]>,
}

impl PlacementRequest<'_> {
    /// Whether a server may get the request.
    fn admits(&self, candidate: &Candidate) -> bool {
        candidate.may_run(self.role, self.version)
            && (self.version.is_some()
                || self.listed.is_none_or(|listed| listed.contains(&candidate.version)))
    }
}

/// Servers that may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligible {
    /// Servers that have not failed recently.
    Healthy,
    /// All servers, including those that failed recently, since trying such a server is better than
    /// refusing the request.
    Any,
}

/// A request's place on a server, released by [`Placement::finish`].
#[derive(Clone, Debug)]
pub struct Place {
    /// Id of the server.
    pub server: ServerId,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Address of the server.
    pub address: SocketAddr,
    /// Registration of the server at the time of the choice.
    pub registration: Arc<Server>,
    /// The version of its software.
    pub version: VersionHash,
    /// Prompt tokens that the server probably has to process.
    pub prefill_tokens: f64,
    /// Requests of this box on the server, including this one.
    pub in_flight: u32,
    /// Requests of other boxes on the server according to their latest reports.
    pub others_in_flight: u32,
    /// Number of servers that could have been chosen.
    pub candidates: usize,
    /// Whether the server is the home of the request's shared prefix.
    pub at_home: bool,
    /// Whether the server is known to be cold.
    pub cold: bool,
    /// Time since the server reported that it is warm; `None` without such a report.
    pub warm_report_age: Option<Duration>,
    /// Requests of this box since then, of the last second.
    pub sent_since_report: usize,
    /// When the place was reserved.
    pub reserved_at: Instant,
    awaiting_first_byte: bool,
    /// Whether the request was counted as sent to the server.
    is_sent: bool,
}

/// Values that are the same for all servers during one choice.
#[derive(Clone, Copy, Debug)]
struct Selection {
    /// Number of boxes whose load is unknown.
    unreported_boxes: usize,
    /// Hash of the home server of the request's shared prefix in this region.
    home: Option<u64>,
    /// Use of the servers.
    usage: Usage,
    /// Random bits of this request; together with a server's incarnation they decide whether the
    /// rate limit of that server admits the request.
    random_bits: u64,
    now: Instant,
}

impl Selection {
    /// Random number from 0 to 1 for the request at a server, the same at each call.
    fn random_at(&self, incarnation: u64) -> f64 {
        rendezvous::mix(self.random_bits, incarnation) as f64 / u64::MAX as f64
    }
}

/// The best server found.
struct Choice {
    id: ServerId,
    work: Work,
    at_home: bool,
    candidates: usize,
}

/// The servers of one service in this region, as one box sees them.
pub struct Placement {
    servers: BTreeMap<ServerId, Candidate>,
    /// Number of updates of the servers.
    updates: u64,
    sharing_boxes: usize,
    max_connections: f64,
    health_path: Option<String>,
    /// Recent requests of this box, sent or not.
    placed: Window,
    /// Answers to queries of this box that other boxes have not been told, by server incarnation.
    untold_answers: Vec<(u64, Instant)>,
    /// Mean duration of the requests that servers responded to.
    request_duration: Duration,
    started_at: Instant,
    /// When servers were removed. A server that returns may have received its cold share just
    /// before: entries expire and return while the store is unavailable.
    removed_at: BTreeMap<ServerId, Instant>,
    /// Rest periods that servers requested from this box. They are kept while the servers' entries
    /// expire and return.
    rest_periods: RestPeriods,
    retry_spread: RetrySpread,
    holders: Holders,
    /// Number of paths that were lost since a server last responded.
    losses_without_response: u32,
    /// When a server last responded.
    last_response_at: Option<Instant>,
}

impl Placement {
    /// Creates a placement without servers in a box that started at `started_at`.
    pub fn new(started_at: Instant) -> Placement {
        Placement {
            servers: BTreeMap::new(),
            updates: 0,
            sharing_boxes: 0,
            max_connections: 0.0,
            health_path: None,
            placed: Window::default(),
            untold_answers: Vec::new(),
            request_duration: MIN_REQUEST_DURATION,
            started_at,
            removed_at: BTreeMap::new(),
            rest_periods: RestPeriods::default(),
            retry_spread: RetrySpread::default(),
            holders: Holders::default(),
            losses_without_response: 0,
            last_response_at: None,
        }
    }

    /// Replaces the known servers; `sharing_boxes` is the number of boxes that send to them.
    pub fn update(
        &mut self,
        states: Vec<ServerState>,
        sharing_boxes: usize,
        service: &Service,
        now: Instant,
    ) {
        self.sharing_boxes = sharing_boxes;
        self.health_path.clone_from(&service.health_path);
        self.max_connections = service.max_connections as f64 * MAX_CONNECTION_FRACTION;
        self.updates += 1;
        for state in states {
            match self.servers.get_mut(&state.server.id) {
                Some(candidate) if candidate.is_same_incarnation(&state) => {
                    candidate.update(state, self.updates, now);
                }
                earlier => {
                    // The state of the earlier incarnation does not apply to the new one, but the
                    // server may have received its cold share just before.
                    let restarted_at = earlier.map(|_| now);
                    let id = state.server.id.clone();
                    let removed_at = self.removed_at.get(&id).copied();
                    let unknown_before = removed_at.max(restarted_at).max(Some(self.started_at));
                    let mut candidate =
                        Candidate::new(state, service.kv_cache_tokens, unknown_before, now);
                    candidate.updated_in = self.updates;
                    self.servers.insert(id, candidate);
                }
            }
        }
        self.removed_at.retain(|_, at| now < *at + REMOVED_RETENTION);
        // Requests that still run on a removed server have no place to release.
        let (updates, removed_at) = (self.updates, &mut self.removed_at);
        self.servers.retain(|id, candidate| {
            let is_listed = candidate.updated_in == updates;
            if !is_listed {
                removed_at.insert(id.clone(), now);
            }
            is_listed
        });
        self.update_holders();
    }

    /// Whether any server may get requests.
    pub fn has_usable(&self) -> bool {
        self.servers.values().any(|candidate| candidate.is_usable())
    }

    /// Number of known servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether any server with a role may get requests.
    pub fn has_role(&self, role: Role) -> bool {
        self.servers.values().any(|candidate| candidate.has_role(role))
    }

    /// Requests of this box in progress on servers with a role.
    pub fn in_flight_with_role(&self, role: Role) -> u32 {
        let servers = self.servers.values().filter(|candidate| candidate.state.role == role);
        servers.map(|candidate| candidate.in_flight).sum()
    }

    /// Chooses a server and reserves a place there.
    pub fn choose(
        &mut self,
        request: PlacementRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Place, Blocked> {
        let selection = Selection {
            unreported_boxes: self
                .sharing_boxes
                .saturating_sub(1 + request.loads.reporting_boxes()),
            home: self.home(request),
            usage: self.usage(now),
            random_bits: rng.random(),
            now,
        };
        // Compares a sample first, and all servers only if none of the sample has capacity.
        let mut choice = None;
        if let Some(sample) = self.sample(request, selection, rng) {
            choice = self.cheapest(request, selection, |hash| sample.contains(&hash), rng);
        }
        if choice.is_none() {
            choice = self.cheapest(request, selection, |_| true, rng);
        }
        match choice {
            Some(choice) => Ok(self.reserve(choice, request, selection)),
            None => Err(self.blocked(request, selection)),
        }
    }

    /// The server with the lowest cost among those whose hash `is_compared` accepts.
    fn cheapest(
        &mut self,
        request: PlacementRequest<'_>,
        selection: Selection,
        is_compared: impl Fn(u64) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mut candidates = 0;
        let mut best: Option<(f64, Choice)> = None;
        for (id, candidate) in &mut self.servers {
            let usable = request.admits(candidate)
                && !candidate.path.is_lost()
                && !request.tried.contains(id);
            if !usable || !is_compared(candidate.hash) {
                continue;
            }
            if !self.rest_periods.admits(candidate.incarnation, candidate.in_flight, selection.now)
            {
                continue;
            }
            let load = candidate.load(request.loads, selection.unreported_boxes);
            let has_connection = f64::from(load.in_flight) < self.max_connections;
            let is_eligible =
                request.eligible == Eligible::Any || candidate.is_healthy(selection.now);
            if !has_connection
                || !is_eligible
                || !candidate.has_capacity(load, selection.usage, selection.now)
            {
                continue;
            }
            if !request.throttles.admits(
                candidate.incarnation,
                selection.random_at(candidate.incarnation),
                selection.now,
            ) {
                continue;
            }
            let Selection { now, .. } = selection;
            if !candidate.has_room(request.loads, request.throttles, request.service, now) {
                continue;
            }
            candidates += 1;
            let at_home = selection.home == Some(candidate.hash);
            let work = candidate.estimate_work(request.parts, at_home, load, selection.now);
            // A small random part keeps boxes with equal data from all choosing the same server.
            let cost = candidate.cost(work) * (1.0 + 0.02 * rng.random::<f64>());
            if best.as_ref().is_none_or(|(best, _)| cost < *best) {
                best = Some((cost, Choice { id: id.clone(), work, at_home, candidates: 0 }));
            }
        }
        best.map(|(_, choice)| Choice { candidates, ..choice })
    }

    fn reserve(
        &mut self,
        choice: Choice,
        request: PlacementRequest<'_>,
        selection: Selection,
    ) -> Place {
        let Choice { id, work, at_home, candidates } = choice;
        let candidate = self.servers.get_mut(&id).expect("chosen from the same map");
        candidate.start_request(request.parts, work, selection.now);
        self.placed.record(selection.now);
        let (warm_report_age, sent_since_report) = candidate.coldness().exposure(selection.now);
        Place {
            server: id,
            incarnation: candidate.incarnation,
            address: candidate.state.server.address,
            registration: Arc::clone(&candidate.state.server),
            version: candidate.version,
            prefill_tokens: work.prefill_tokens,
            in_flight: candidate.in_flight,
            others_in_flight: request.loads.on_server(candidate.incarnation).in_flight,
            candidates,
            at_home,
            cold: candidate.is_cold(selection.now),
            warm_report_age,
            sent_since_report,
            reserved_at: selection.now,
            awaiting_first_byte: true,
            is_sent: false,
        }
    }

    /// Records that the first byte or event of the response has arrived.
    pub fn first_byte(&mut self, place: &mut Place) {
        if !std::mem::take(&mut place.awaiting_first_byte) {
            return;
        }
        let Some(candidate) = self.server_of(place) else { return };
        candidate.reduce_prefill(place.prefill_tokens);
    }

    /// The server of a place, unless the place belongs to an earlier incarnation of it.
    fn server_of(&mut self, place: &Place) -> Option<&mut Candidate> {
        let candidate = self.servers.get_mut(&place.server)?;
        (candidate.incarnation == place.incarnation).then_some(candidate)
    }

    /// What the room of the server of a place depends on; `None` if the server is gone.
    pub fn capacity(&self, place: &Place, service: ServiceHash) -> Option<ServerCapacity> {
        let candidate = self.servers.get(&place.server)?;
        (candidate.incarnation == place.incarnation).then(|| candidate.capacity(service))
    }

    /// What the room of the servers that this box may use depends on.
    pub fn capacities(&self, service: ServiceHash) -> impl Iterator<Item = ServerCapacity> {
        let servers = self.servers.values();
        let usable = servers.filter(|candidate| candidate.is_usable() && !candidate.path.is_lost());
        usable.map(move |candidate| candidate.capacity(service))
    }

    /// Releases a place and records the outcome of its request.
    pub fn finish(&mut self, place: &mut Place, outcome: Outcome, now: Instant) -> PathChange {
        let was_waiting = std::mem::take(&mut place.awaiting_first_byte);
        let Some(candidate) = self.server_of(place) else { return PathChange::Unchanged };
        if was_waiting {
            candidate.reduce_prefill(place.prefill_tokens);
        }
        candidate.in_flight = candidate.in_flight.saturating_sub(1);
        let is_at_address = candidate.state.server.address == place.address;
        let outcome = if is_at_address { outcome } else { Outcome::Abandoned };
        candidate.record_outcome(outcome, now);
        if matches!(outcome, Outcome::Answered | Outcome::Failed) {
            let duration = now.saturating_duration_since(place.reserved_at);
            self.request_duration = self.request_duration.mul_f64(1.0 - DURATION_WEIGHT)
                + duration.mul_f64(DURATION_WEIGHT);
            self.record_holder(&place.server, place.address, place.reserved_at);
        }
        self.record_path(&place.server, outcome, now)
    }

    /// Load of this box on each server, by server incarnation.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, Load)> {
        let busy = self.servers.values().filter(|candidate| candidate.in_flight > 0);
        busy.map(|candidate| (candidate.incarnation, candidate.own_load()))
    }

    /// Hashes of the servers to compare first; `None` to compare all.
    fn sample(
        &self,
        request: PlacementRequest<'_>,
        selection: Selection,
        rng: &mut impl Rng,
    ) -> Option<Vec<u64>> {
        let accepts_requests = |candidate: &&Candidate| {
            request.admits(candidate)
                && !candidate.path.is_lost()
                && self.rest_periods.until(candidate.incarnation, selection.now).is_none()
        };
        let usable: Vec<u64> = self
            .servers
            .values()
            .filter(accepts_requests)
            .map(|candidate| candidate.hash)
            .collect();
        if usable.len() <= COMPARE_ALL_MAX_SERVERS {
            return None;
        }
        let sampled = usable.choose_multiple(rng, SAMPLE_SIZE).copied();
        Some(selection.home.into_iter().chain(sampled).collect())
    }

    /// Hash of the home server in this region for a prompt's shared prefix.
    fn home(&self, request: PlacementRequest<'_>) -> Option<u64> {
        let prefix = SharedPrefix::of(request.parts)?;
        let usable = self.servers.values().filter(|candidate| request.admits(candidate));
        usable.map(|candidate| candidate.hash).max_by_key(|hash| prefix.weight(*hash))
    }
}
