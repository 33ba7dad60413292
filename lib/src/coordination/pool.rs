//! A pool of backend servers on one box: placement of requests on servers, and the queue.
//!
//! A submitted request is placed on a server, queued, sent to a region that lends slots, or refused
//! at once. When a slot becomes free, queued requests are placed. The pool counts its own requests
//! per server exactly. It knows the requests of other boxes only from load reports, which are late,
//! and whose weight decreases with their age.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::invariant;
use super::invariant::Invariant;
use super::lending::Borrower;
use super::policy::Policy;
use super::policy::Request;
use super::queue::Queue;
use super::queue::QueuedRequest;
use super::queue::RequestId;
use super::rest_period::RestPeriods;
use super::retry_spread::RetrySpread;
use super::server::Server;
pub use super::server::ServerSnapshot;
use super::server::smooth;
use super::token_bucket::TokenBucket;
use crate::error::ErrorKind;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::config::Priority;
use rand::Rng;

/// Number of requests that the even shares of all boxes add up to, as a factor of the pool's slots.
/// The factor is over 1, because a slot is idle while it waits for the next request. Engines apply
/// priorities to the few requests that wait in them.
const OVERCOMMIT_FACTOR: f64 = 1.25;
/// Number of requests at which a server is full, as a factor of its slots.
const SERVER_FULL_FACTOR: f64 = 2.0;
/// Maximum share of a pool's servers that may be ejected for failures.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Average number of retries allowed per request.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries that may accumulate.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Time after which a caller is asked to retry if no server can run its request.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Minimum wait from which a request is sent to another region: its response has to be expected
/// earlier than the local one by this much.
const MIN_WAIT_TO_BORROW: Duration = Duration::from_millis(100);

/// A request to place.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier of the request.
    pub id: RequestId,
    /// Priority of the request.
    pub priority: Priority,
    /// When the response is no longer useful.
    pub deadline: Instant,
    /// Bytes that the request takes up in the queue.
    pub bytes: usize,
    /// Whether the request may run in this region.
    pub local_allowed: bool,
    /// Other regions in which the request may run.
    pub remote_regions: Vec<RegionId>,
    /// Hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// Servers on which the request was tried already.
    pub tried_servers: Vec<ServerId>,
}

/// Where a request is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// To this backend server, on which a slot is reserved.
    Server(ServerId, SocketAddr),
    /// To this region. A credit is used, or the own region has no server for the request.
    Region(RegionId),
    /// Nowhere: the request is refused, with the time after which to retry.
    Refused(ErrorKind, Duration),
}

/// Result of submitting a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request was placed or refused at once.
    Immediate(Placement),
    /// The request is queued; a [`Wake`] will follow.
    Queued,
}

/// The final placement of a request that was queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wake {
    /// Identifier of the request.
    pub id: RequestId,
    /// Where the request is sent.
    pub placement: Placement,
}

/// How an attempt on a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server sent a complete response.
    Answered {
        /// Time from dispatch to the first byte.
        first_byte: Duration,
        /// Time from dispatch to the end.
        total: Duration,
    },
    /// The attempt failed.
    Failed,
    /// The server refused the request and asked this box to send no requests for this long.
    Rests(Duration),
    /// The caller disconnected, or the server was not at fault.
    Cancelled,
}

/// The state of one pool on one box.
pub struct Pool<P> {
    policy: P,
    servers: BTreeMap<ServerId, Server>,
    in_flight_on_removed: BTreeMap<ServerId, u32>,
    queue: Queue<Arrival>,
    borrower: Borrower,
    regions_with_servers: BTreeSet<RegionId>,
    service_time: Option<Duration>,
    retry_budget: TokenBucket,
    boxes: usize,
    rest_periods: RestPeriods,
    returns: RetrySpread,
}

/// Configured limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Maximum total size of the queued requests, in bytes.
    pub max_queued_bytes: usize,
    /// Number of boxes that use the pool's servers, including this one.
    pub boxes: usize,
}

impl<P: Policy> Pool<P> {
    /// Creates an empty pool.
    pub fn new(policy: P, limits: Limits, now: Instant) -> Pool<P> {
        Pool {
            policy,
            servers: BTreeMap::new(),
            in_flight_on_removed: BTreeMap::new(),
            queue: Queue::new(limits.max_queued, limits.max_queued_bytes),
            borrower: Borrower::default(),
            regions_with_servers: BTreeSet::new(),
            service_time: None,
            retry_budget: TokenBucket::new(0.0, MAX_SAVED_RETRIES, now),
            boxes: limits.boxes.max(1),
            rest_periods: RestPeriods::default(),
            returns: RetrySpread::default(),
        }
    }

    /// Applies the configuration and the latest observations of this region's servers. Requests on
    /// a server that was removed continue.
    pub fn update(
        &mut self,
        limits: Limits,
        lanes: BTreeMap<ServerId, ServerSnapshot>,
        regions_with_servers: BTreeSet<RegionId>,
    ) {
        self.queue.set_limits(limits.max_queued, limits.max_queued_bytes);
        self.boxes = limits.boxes.max(1);
        self.regions_with_servers = regions_with_servers;
        let mut previous = std::mem::take(&mut self.servers);
        for (id, lane) in lanes {
            let mut server = previous.remove(&id).unwrap_or_else(|| Server::new(&id, lane.clone()));
            server.in_flight += self.in_flight_on_removed.remove(&id).unwrap_or(0);
            server.observe(lane);
            self.servers.insert(id, server);
        }
        for (id, server) in previous.into_iter().filter(|(_, server)| server.in_flight > 0) {
            *self.in_flight_on_removed.entry(id).or_default() += server.in_flight;
        }
    }

    /// Adds slots lent by another region.
    pub fn add_credit(&mut self, region: RegionId, slots: u32, ttl: Duration, now: Instant) {
        self.borrower.receive(region, slots, ttl, now);
    }

    /// Returns the estimated number of free slots in this region.
    pub fn free_slots(&self, now: Instant) -> u32 {
        if !self.queue.is_empty() {
            return 0;
        }
        let free_on = |server: &Server| (server.usable_slots(now) - server.load(now)).max(0.0);
        self.servers.values().filter(|server| server.is_available()).map(free_on).sum::<f64>()
            as u32
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of this box's requests on servers of the pool.
    pub fn in_flight(&self) -> u32 {
        let on_current_servers: u32 = self.servers.values().map(|server| server.in_flight).sum();
        on_current_servers + self.in_flight_on_removed.values().sum::<u32>()
    }

    /// Places, queues or refuses a request.
    pub fn submit(
        &mut self,
        arrival: Arrival,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Decision, Vec<Wake>) {
        if arrival.tried_servers.is_empty() {
            self.retry_budget.add(RETRIES_PER_REQUEST);
        }
        if now >= arrival.deadline {
            return (refused(ErrorKind::WouldBeLate, Duration::ZERO), Vec::new());
        }
        if !arrival.local_allowed {
            return (Decision::Immediate(self.without_local_server(&arrival, now)), Vec::new());
        }
        let queued_ahead = self.queue.ahead(arrival.priority, arrival.deadline);
        if queued_ahead == 0
            && let Some(placement) = self.place(&arrival, now, rng)
        {
            return (Decision::Immediate(placement), Vec::new());
        }
        let wait = self.expected_wait(queued_ahead, now);
        if let Some(region) = self.borrow(&arrival, wait, now) {
            return (Decision::Immediate(Placement::Region(region)), Vec::new());
        }
        if !self.may_get_server(&arrival, now) {
            return (Decision::Immediate(self.without_local_server(&arrival, now)), Vec::new());
        }
        if now + wait + self.service_time.unwrap_or_default() > arrival.deadline {
            return (refused(ErrorKind::WouldBeLate, wait), Vec::new());
        }
        self.enqueue(arrival, wait)
    }

    fn enqueue(&mut self, arrival: Arrival, wait: Duration) -> (Decision, Vec<Wake>) {
        let id = arrival.id;
        let displaced = self.queue.push(QueuedRequest {
            id,
            priority: arrival.priority,
            deadline: arrival.deadline,
            bytes: arrival.bytes,
            request: arrival,
        });
        let mut decision = Decision::Queued;
        let mut wakes = Vec::new();
        for waiting in displaced {
            if waiting.id == id {
                decision = refused(ErrorKind::QueueFull, wait);
            } else {
                let placement = Placement::Refused(ErrorKind::QueueFull, wait);
                wakes.push(Wake { id: waiting.id, placement });
            }
        }
        (decision, wakes)
    }

    /// Returns whether a slot may become free on a server that the request was not tried on. A
    /// server that rests until the request's deadline doesn't count.
    pub fn may_get_server(&self, arrival: &Arrival, now: Instant) -> bool {
        let available_in_time = |server: &Server| {
            self.rest_periods.until(server.hash, now).is_none_or(|until| until < arrival.deadline)
        };
        let mut up = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_available() && available_in_time(server));
        up.any(|(id, _)| !arrival.tried_servers.contains(id))
    }

    fn without_local_server(&mut self, arrival: &Arrival, now: Instant) -> Placement {
        let regions = &self.regions_with_servers;
        if let Some(region) = arrival.remote_regions.iter().find(|region| regions.contains(*region))
        {
            return Placement::Region(region.clone());
        }
        let retry_after =
            self.first_rest_end(now).map(|until| self.returns.retry_after(until, now));
        Placement::Refused(ErrorKind::NoServer, retry_after.unwrap_or(NO_SERVER_RETRY_AFTER))
    }

    /// Returns when the first server accepts requests again, if all of them rest.
    fn first_rest_end(&self, now: Instant) -> Option<Instant> {
        let up = self.servers.values().filter(|server| server.is_available());
        let ends: Option<Vec<Instant>> =
            up.map(|server| self.rest_periods.until(server.hash, now)).collect();
        ends?.into_iter().min()
    }

    fn borrow(&mut self, arrival: &Arrival, wait: Duration, now: Instant) -> Option<RegionId> {
        if wait < MIN_WAIT_TO_BORROW || arrival.remote_regions.is_empty() {
            return None;
        }
        let regions = &self.regions_with_servers;
        let allowed = arrival.remote_regions.iter().filter(|region| regions.contains(*region));
        self.borrower.use_slot(allowed, now)
    }

    /// Returns the expected time until a request with `ahead` others before it is placed.
    pub fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let slots: f64 = self
            .servers
            .values()
            .filter(|server| server.is_available() && !server.health.is_ejected(now))
            .map(|server| server.usable_slots(now))
            .sum();
        let service_time = self.service_time.unwrap_or_default();
        service_time.mul_f64((ahead as f64 + 1.0) / slots.max(1.0))
    }

    fn place(&mut self, arrival: &Arrival, now: Instant, rng: &mut impl Rng) -> Option<Placement> {
        let mut candidates = Vec::with_capacity(self.servers.len());
        let (mut load, mut slots) = (0.0, 0.0);
        for (id, server) in &self.servers {
            let is_resting = !self.rest_periods.admits(server.hash, server.in_flight, now);
            if !server.is_available() || server.health.is_ejected(now) || is_resting {
                continue;
            }
            let candidate = server.candidate(id, now);
            load += candidate.load;
            slots += candidate.slots;
            let full = candidate.load >= candidate.slots * SERVER_FULL_FACTOR;
            if !full && !arrival.tried_servers.contains(id) {
                candidates.push(candidate);
            }
        }
        // A box uses its even share of the slots whatever the load reports say, because they are
        // late: if all boxes filled the slots that the reports show as free, they would overshoot,
        // and then all hold back. Beyond its share a box sends requests only while the reports show
        // free slots. The share is a whole number of requests, so that rounding doesn't overcommit
        // a pool with few slots.
        let share = (slots * OVERCOMMIT_FACTOR / self.boxes as f64).floor().max(1.0);
        if f64::from(self.in_flight()) >= share && load >= slots {
            return None;
        }
        let request = Request { prefix: arrival.prefix };
        let chosen = self.policy.choose(request, &candidates, rng)?;
        let id = candidates[chosen].server.to_owned();
        let server = self.servers.get_mut(&id)?;
        invariant::check(Invariant::NoWorkToLeaving, !server.snapshot.leaving, || {
            format!("server={id}")
        });
        server.in_flight += 1;
        let address = server.snapshot.address;
        Some(Placement::Server(id, address))
    }

    /// Records the end of an attempt, which frees its slot.
    pub fn finish(
        &mut self,
        id: &ServerId,
        outcome: Outcome,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<Wake> {
        if let Some(server) = self.servers.get_mut(id) {
            invariant::check(Invariant::SlotsBalance, server.in_flight > 0, || {
                format!("server={id}")
            });
            server.in_flight = server.in_flight.saturating_sub(1);
            self.apply_outcome(id, outcome, now);
        } else if let Some(remaining) = self.in_flight_on_removed.get_mut(id) {
            *remaining -= 1;
            if *remaining == 0 {
                self.in_flight_on_removed.remove(id);
            }
        } else {
            invariant::check(Invariant::SlotsBalance, false, || format!("server={id} unknown"));
        }
        self.dispatch_queued(now, rng)
    }

    fn apply_outcome(&mut self, id: &ServerId, outcome: Outcome, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match outcome {
            Outcome::Answered { first_byte, total } => {
                server.record_response(first_byte, now);
                self.service_time = Some(smooth(self.service_time, total));
            }
            Outcome::Failed => {
                if server.health.record_failure() && self.may_eject(now) {
                    self.eject(id, now);
                }
            }
            // A server that asks for a rest period has not failed.
            Outcome::Rests(rest) => {
                self.rest_periods.record(server.hash, rest, now);
                log::info!("event=server_rests server={id} rest_ms={}", rest.as_millis());
            }
            Outcome::Cancelled => {}
        }
    }

    fn may_eject(&self, now: Instant) -> bool {
        let ejected_count =
            self.servers.values().filter(|server| server.health.is_ejected(now)).count();
        (ejected_count + 1) as f64 <= self.servers.len() as f64 * MAX_EJECTED_SHARE
    }

    fn eject(&mut self, id: &ServerId, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.eject(now);
            log::warn!("event=server_ejected server={id}");
        }
    }

    /// Takes one retry from the retry budget. Returns `false` if none is left.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        self.retry_budget.take(1.0, now).is_ok()
    }

    /// Removes a queued request whose caller disconnected.
    pub fn cancel(&mut self, id: RequestId, priority: Priority, deadline: Instant) -> bool {
        self.queue.remove(id, priority, deadline)
    }

    /// Refuses queued requests that are too late and places those that fit.
    pub fn dispatch_queued(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Wake> {
        let expired = self.queue.pop_expired(now).into_iter().map(|waiting| Wake {
            id: waiting.id,
            placement: Placement::Refused(ErrorKind::WouldBeLate, Duration::ZERO),
        });
        let mut wakes: Vec<Wake> = expired.collect();
        while let Some(waiting) = self.queue.pop() {
            match self.place(&waiting.request, now, rng) {
                Some(placement) => wakes.push(Wake { id: waiting.id, placement }),
                // No server here can take the request any longer: it is sent to another region or
                // refused.
                None if !self.may_get_server(&waiting.request, now) => {
                    let placement = self.without_local_server(&waiting.request, now);
                    wakes.push(Wake { id: waiting.id, placement });
                }
                None => {
                    self.queue.put_back(waiting);
                    break;
                }
            }
        }
        wakes
    }
}

fn refused(kind: ErrorKind, retry_after: Duration) -> Decision {
    Decision::Immediate(Placement::Refused(kind, retry_after.max(Duration::from_secs(1))))
}
