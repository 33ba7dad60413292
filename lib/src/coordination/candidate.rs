//! One backend server as seen by a box: its load, its prefix cache, its recent responses and the
//! cost of a request there.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::coldness::Admission;
use super::coldness::Allowance;
use super::coldness::Coldness;
use super::coldness::Usage;
use super::ejection::Ejection;
use super::loads::Load;
use super::loads::Loads;
use super::prefix_cache::PrefixCache;
use super::reachability::Path;
use super::rendezvous;
use super::throttle::ServerCapacity;
use super::throttle::ServiceHash;
use super::throttle::Throttles;
use super::upgrade::Role;
use super::warmup::Share;
use crate::protocol::adapter::PromptSegment;
use crate::protocol::fleet::Server;
use crate::protocol::fleet::VersionHash;

/// Upper limit of the requests of all boxes at a server, queued ones included, per slot. It keeps
/// the server busy and its queue short.
const MAX_REQUESTS_PER_SLOT: f64 = 3.0;
/// Factor by which a refusal lowers the request limit. The limit never falls below the number of
/// slots.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Delay that one running request causes to the others by its part in each step of the engine, as
/// the number of prompt tokens that take as long to process.
const RUNNING_REQUEST_TOKENS: f64 = 150.0;
/// Cost factor for servers in another failure domain. Traffic between failure domains is expensive,
/// but not so expensive that servers in this failure domain should queue much more work.
const CROSS_DOMAIN_FACTOR: f64 = 1.25;
/// Fraction of a shared prefix that counts as uncached at its home server while this box has not
/// sent it there: most likely another box has.
const HOME_MISS_FRACTION: f64 = 0.1;
/// Cost of computing a shared prefix again at another server, per token. The prefix then occupies
/// memory twice and evicts something else, and all streams of that engine wait, some ten at an
/// engine in use. A low cost such as 2 lets servers compute many more shared tokens again.
const DUPLICATE_PREFILL_COST: f64 = 10.0;

/// A server according to the configuration and the store.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// The record of the server.
    pub server: Arc<Server>,
    /// Whether the server may get requests: it is neither leaving nor evacuated.
    pub usable: bool,
    /// What its version may get while the service is upgraded.
    pub role: Role,
    /// Until when the server is cold.
    pub cold_until: Option<Instant>,
    /// Share of this box in the requests that the server can handle while it is cold; `None` if the
    /// server never is.
    pub cold_share: Option<Share>,
    /// Whether the server is in the failure domain of this box.
    pub same_failure_domain: bool,
}

/// Result of a request at a server, as far as it bears on the server's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete response: the request succeeded or was invalid.
    Answered,
    /// A complete response: the server failed.
    Failed,
    /// The server refused the request for lack of capacity.
    Shed,
    /// No connection could be established, or the host stopped acknowledging data.
    Unreachable,
    /// The connection broke, or the response was invalid.
    Lost,
    /// The server did not respond in time.
    TimedOut,
    /// Another instance has the address.
    Replaced,
    /// The caller disconnected, or the request was not sent.
    Abandoned,
}

impl Outcome {
    /// Whether the server responded, so that the path to it works.
    pub fn is_response(self) -> bool {
        matches!(self, Outcome::Answered | Outcome::Failed | Outcome::Shed | Outcome::Replaced)
    }
}

/// Work that a request causes at a server, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Prompt tokens of the request that the server still has to process.
    pub prefill_tokens: f64,
    /// Tokens to process until the first token of the response, those of earlier requests included.
    pub backlog: f64,
    /// Additional cost of computing a shared prefix that another server has cached, tokens.
    pub duplicate_cost: f64,
}

/// A server and the load that this box has placed there.
pub struct Candidate {
    /// State according to the configuration and the store.
    pub state: ServerState,
    /// Number of the update that last listed the server.
    pub updated_in: u64,
    /// Hash of the server's id, for the choice of home servers.
    pub hash: u64,
    /// Identifies this incarnation of the server in reports between boxes.
    pub incarnation: u64,
    /// The version of its software.
    pub version: VersionHash,
    /// Whether another instance has the address. The store may show the old record for some
    /// seconds.
    replaced: bool,
    /// Whether another server that names the same address is known to be there.
    absent: bool,
    /// When the entry was last seen to change.
    pub listed_since: Instant,
    /// Whether the server announced that it is leaving, which the store may not show yet.
    announced_leaving: bool,
    /// Requests in flight from this box.
    pub in_flight: u32,
    /// Prompt tokens in flight from this box for which no first token has arrived.
    pub prefill_tokens: f64,
    /// Estimate of the number of requests from all boxes that the server accepts.
    limit: f64,
    ejection: Ejection,
    /// The path from this box to the server.
    pub path: Path,
    /// When the server appeared, or when this box could reach it again.
    pub available_since: Instant,
    coldness: Coldness,
    prefix_cache: PrefixCache,
}

/// Initial and maximal number of requests from all boxes at a server.
fn max_requests(state: &ServerState) -> f64 {
    f64::from(state.server.slots.max(1)) * MAX_REQUESTS_PER_SLOT
}

/// Hash of a server's id, for the choice of home servers.
pub fn server_hash(id: &str) -> u64 {
    rendezvous::weight(id, "")
}

/// Hash of a version. Versions that differ in any character are different ones.
pub fn version_hash(version: &str) -> VersionHash {
    rendezvous::weight(version, "")
}

/// Hash that identifies one incarnation of a server. If its start time is unknown, the hash is that
/// of its id.
pub fn incarnation_hash(server: &Server) -> u64 {
    let id_hash = server_hash(&server.id);
    let started =
        server.started_at.and_then(|started| started.duration_since(SystemTime::UNIX_EPOCH).ok());
    started.map_or(id_hash, |since| rendezvous::mix(id_hash, since.as_millis() as u64))
}

impl Candidate {
    /// Creates a candidate. This box has no record of requests that were sent to the server before
    /// `unknown_before`.
    pub fn new(
        state: ServerState,
        memory_tokens: Option<u64>,
        unknown_before: Option<Instant>,
        now: Instant,
    ) -> Candidate {
        Candidate {
            hash: server_hash(&state.server.id),
            incarnation: incarnation_hash(&state.server),
            version: version_hash(&state.server.version),
            limit: max_requests(&state),
            state,
            updated_in: 0,
            replaced: false,
            absent: false,
            listed_since: now,
            announced_leaving: false,
            in_flight: 0,
            prefill_tokens: 0.0,
            ejection: Ejection::default(),
            path: Path::default(),
            available_since: now,
            coldness: Coldness::new(unknown_before),
            prefix_cache: PrefixCache::new(memory_tokens.unwrap_or(0)),
        }
    }

    /// Whether the server is known to be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.state.cold_share.is_some() && self.coldness.is_cold(self.state.cold_until, now)
    }

    /// Reports of the server about being cold, and what was sent since.
    pub fn coldness(&mut self) -> &mut Coldness {
        &mut self.coldness
    }

    /// The last report of the server to this box, if recent: remaining cold time and time for which
    /// it holds.
    pub fn recent_cold_report(&self, now: Instant) -> Option<(Duration, Instant)> {
        self.coldness.recent_report(now)
    }

    /// Whether a request may be sent to the server now, as far as the server is cold or may be. If
    /// so, it is counted. The server runs `in_flight` requests of all boxes.
    pub fn admit_send(&mut self, usage: Usage, in_flight: u32, now: Instant) -> Admission {
        match self.allowance(usage, in_flight, now) {
            Some(allowance) => self.coldness.admit_send(allowance, now),
            None => Admission::Granted,
        }
    }

    /// What this box may send while the server is cold or may be; `None` if it never is.
    fn allowance(&mut self, usage: Usage, in_flight: u32, now: Instant) -> Option<Allowance> {
        let share = self.state.cold_share?;
        let sent = self.coldness.recently_sent(now);
        let stored_cold_until = self.state.cold_until;
        Some(Allowance { stored_cold_until, ..usage.allowance(share, sent, in_flight) })
    }

    /// Replaces the state, in the update with this number.
    pub fn update(&mut self, state: ServerState, update: u64, now: Instant) {
        if state.server != self.state.server {
            self.absent = false;
            self.listed_since = now;
        }
        if state.server.address != self.state.server.address {
            // What happened at the other address says nothing about the server.
            self.replaced = false;
            self.ejection = Ejection::default();
            self.path = Path::default();
        }
        self.version = version_hash(&state.server.version);
        self.state = state;
        self.updated_in = update;
    }

    /// Whether the server may get requests at all.
    pub fn is_usable(&self) -> bool {
        self.state.usable && !self.replaced && !self.absent && !self.announced_leaving
    }

    /// Whether the server may get requests in a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.is_usable() && self.state.role == role
    }

    /// Whether the server may get a request for servers in a role, or to continue a stream at the
    /// version that began it.
    pub fn may_run(&self, role: Role, version: Option<VersionHash>) -> bool {
        match version {
            None => self.has_role(role),
            Some(version) => {
                self.version == version
                    && (self.has_role(Role::Serving) || self.has_role(Role::Canary))
            }
        }
    }

    /// Whether the server is leaving, by its own announcement or by its record in the store.
    pub fn is_leaving(&self) -> bool {
        self.announced_leaving || self.state.server.leaving
    }

    /// Sets whether the server has announced that it is leaving.
    pub fn set_leaving(&mut self, is_leaving: bool) {
        self.announced_leaving = is_leaving;
    }

    /// Whether `state` belongs to the same incarnation of the same server.
    pub fn is_same_incarnation(&self, state: &ServerState) -> bool {
        Arc::ptr_eq(&self.state.server, &state.server)
            || self.incarnation == incarnation_hash(&state.server)
    }

    /// Records that another instance has the address, so that this server never returns.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
    }

    /// Records that the server answered at its address.
    pub fn mark_present(&mut self) {
        self.replaced = false;
        self.absent = false;
    }

    /// Sets whether another server that names the same address is known to be there.
    pub fn set_absent(&mut self, is_absent: bool) {
        self.absent = is_absent;
    }

    /// Load from this box.
    pub fn own_load(&self) -> Load {
        Load { in_flight: self.in_flight, prefill_tokens: self.prefill_tokens as u32 }
    }

    /// Load from all boxes. Boxes without a report are assumed to have the same load here as this
    /// one.
    pub fn load(&self, loads: &Loads, unreported_boxes: usize) -> Load {
        let (own, others) = (self.own_load(), loads.on_server(self.incarnation));
        let boxes_like_this = 1 + unreported_boxes as u32;
        Load {
            in_flight: own.in_flight * boxes_like_this + others.in_flight,
            prefill_tokens: own.prefill_tokens * boxes_like_this + others.prefill_tokens,
        }
    }

    /// Whether the server has not failed recently, or is due for a trial request.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.ejection.admits(now)
    }

    /// Whether the server has capacity for another request.
    pub fn has_capacity(&mut self, load: Load, usage: Usage, now: Instant) -> bool {
        let allowance = self.allowance(usage, load.in_flight, now);
        f64::from(load.in_flight) < self.limit
            && allowance.is_none_or(|allowance| self.coldness.admits_place(allowance, now))
    }

    /// What the room of the server depends on.
    pub fn capacity(&self, service: ServiceHash) -> ServerCapacity {
        ServerCapacity {
            server: self.incarnation,
            service,
            slots: self.state.server.slots,
            available_since: self.available_since,
        }
    }

    /// Whether this box may have another request at the server, if the server is brittle. A server
    /// that has just turned brittle may still have more requests than its limit.
    pub fn has_room(
        &self,
        loads: &Loads,
        throttles: &Throttles,
        service: ServiceHash,
        now: Instant,
    ) -> bool {
        let capacity = self.capacity(service);
        let total = self.in_flight + loads.on_server(self.incarnation).in_flight;
        throttles.room_share(capacity, now).is_none_or(|share| self.in_flight < share)
            && throttles.room_limit(capacity, now).is_none_or(|limit| total < limit)
    }

    /// Estimates the work that a request would cause at this server.
    pub fn estimate_work(
        &self,
        parts: &[PromptSegment],
        at_home: bool,
        load: Load,
        now: Instant,
    ) -> Work {
        let total: f64 = parts.iter().map(|part| f64::from(part.tokens)).sum();
        let own = parts.last().map_or(0.0, |part| f64::from(part.tokens));
        let cached = self.prefix_cache.cached_tokens(parts, now) as f64;
        let uncached = total - cached - own;
        let (uncached, duplicate_cost) = if at_home {
            (uncached * HOME_MISS_FRACTION, 0.0)
        } else {
            (uncached, uncached * DUPLICATE_PREFILL_COST)
        };
        let prefill_tokens = own + uncached;
        let running = f64::from(load.in_flight) + 1.0;
        let backlog =
            f64::from(load.prefill_tokens) + prefill_tokens + running * RUNNING_REQUEST_TOKENS;
        Work { prefill_tokens, backlog, duplicate_cost }
    }

    /// Cost of a request at this server, tokens.
    pub fn cost(&self, work: Work) -> f64 {
        let distance_factor =
            if self.state.same_failure_domain { 1.0 } else { CROSS_DOMAIN_FACTOR };
        (work.backlog + work.duplicate_cost) * distance_factor
    }

    /// Records that a request is sent to the server.
    pub fn start_request(&mut self, parts: &[PromptSegment], work: Work, now: Instant) {
        self.in_flight += 1;
        self.prefill_tokens += work.prefill_tokens;
        self.ejection.record_attempt(now);
        self.coldness.record_place(now);
        self.prefix_cache.insert(parts, now);
    }

    /// Subtracts prompt tokens that have been processed or are no longer needed.
    pub fn reduce_prefill(&mut self, tokens: f64) {
        self.prefill_tokens = (self.prefill_tokens - tokens).max(0.0);
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.limit = (self.limit + 1.0 / self.limit).min(max_requests(&self.state));
                self.ejection.record_success();
            }
            Outcome::Shed => {
                let floor = f64::from(self.state.server.slots.max(1));
                self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(floor);
            }
            Outcome::Lost | Outcome::TimedOut => self.ejection.record_lost_response(now),
            Outcome::Replaced => self.mark_replaced(),
            Outcome::Unreachable | Outcome::Abandoned => {}
        }
    }
}
