//! A pool of backend servers on one box: who runs now, where, and who waits.
//!
//! A request arrives and is placed on a server, queued, sent to a region that
//! lends, or refused at once. A slot that comes free places the next waiting
//! requests. The pool counts its own requests per server exactly; what other
//! boxes do it knows from load reports, which lag, and trusts less as they age.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::invariant;
use super::invariant::Invariant;
use super::lending::Borrower;
use super::policy::Policy;
use super::policy::Request;
use super::queue::Queue;
use super::queue::QueuedRequest;
use super::queue::RequestId;
use super::rest::Rests;
use super::returns::Returns;
pub use super::server::Lane;
use super::server::Server;
use super::server::smooth;
use super::token_bucket::TokenBucket;
use crate::error::Kind;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::config::Priority;

/// Requests of all boxes, as a factor of the pool's slots, that the boxes' even
/// shares add up to. Over 1, since slots that wait for a request are idle;
/// engines keep priorities among the few that wait in them.
const SHARED_OUT: f64 = 1.25;
/// Requests on one server, as a factor of its slots, at which it is full.
const SERVER_FULL: f64 = 2.0;
/// Share of a pool's servers that may be out for failing.
const MOST_EJECTED: f64 = 0.5;
/// Retries allowed per request, over time.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up.
const RETRY_BURST: f64 = 10.0;
/// When to come back where no server can run the request.
const NO_SERVER_RETRY: Duration = Duration::from_secs(5);
/// Time by which a remote answer must be expected earlier than a local one.
const LENDING_MARGIN: Duration = Duration::from_millis(100);

/// A request to place.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Which.
    pub id: RequestId,
    /// Priority.
    pub priority: Priority,
    /// When its answer is of no use any more.
    pub deadline: Instant,
    /// Bytes it holds while it waits.
    pub bytes: usize,
    /// Whether this region may run it.
    pub local_allowed: bool,
    /// Other regions that may run it.
    pub remote_regions: Vec<RegionId>,
    /// Hash of the beginning of its prompt.
    pub prefix: Option<u64>,
    /// Servers that it was tried on already.
    pub tried_servers: Vec<ServerId>,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// To this backend server; a slot is taken.
    Server(ServerId, SocketAddr),
    /// To this region; a credit is used, or the region is the only one with servers.
    Region(RegionId),
    /// Nowhere; the final answer.
    Refused(Kind, Duration),
}

/// What becomes of an arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Placed or refused at once.
    Immediate(Placement),
    /// It waits; a [`Wake`] will come.
    Queued,
}

/// A request that waited has been placed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wake {
    /// Which.
    pub id: RequestId,
    /// Where it goes.
    pub placement: Placement,
}

/// How an attempt on a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It answered.
    Answered {
        /// From dispatch to the first byte.
        first_byte: Duration,
        /// From dispatch to the end.
        total: Duration,
    },
    /// It failed.
    Failed,
    /// It refused, and wants nothing from this box for so long.
    Rests(Duration),
    /// The caller went away, or the server was not to blame.
    Cancelled,
}

/// The pool.
pub struct Pool<P> {
    policy: P,
    servers: BTreeMap<ServerId, Server>,
    departed: BTreeMap<ServerId, u32>,
    queue: Queue<Arrival>,
    borrower: Borrower,
    regions_with_servers: BTreeSet<RegionId>,
    service_time: Option<Duration>,
    retries: TokenBucket,
    boxes: usize,
    rests: Rests,
    returns: Returns,
}

/// What the configuration says of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that may wait.
    pub max_queued: usize,
    /// Bytes that may wait.
    pub max_queued_bytes: usize,
    /// Boxes that use the pool's servers, this one among them.
    pub boxes: usize,
}

impl<P: Policy> Pool<P> {
    /// An empty pool.
    pub fn new(policy: P, limits: Limits, now: Instant) -> Pool<P> {
        Pool {
            policy,
            servers: BTreeMap::new(),
            departed: BTreeMap::new(),
            queue: Queue::new(limits.max_queued, limits.max_queued_bytes),
            borrower: Borrower::default(),
            regions_with_servers: BTreeSet::new(),
            service_time: None,
            retries: TokenBucket::new(0.0, RETRY_BURST, now),
            boxes: limits.boxes.max(1),
            rests: Rests::default(),
            returns: Returns::default(),
        }
    }

    /// Takes in the configuration and the latest observations of this
    /// region's servers; what runs on a server that is gone runs on.
    pub fn update(
        &mut self,
        limits: Limits,
        lanes: BTreeMap<ServerId, Lane>,
        regions_with_servers: BTreeSet<RegionId>,
    ) {
        self.queue.set_limits(limits.max_queued, limits.max_queued_bytes);
        self.boxes = limits.boxes.max(1);
        self.regions_with_servers = regions_with_servers;
        let mut previous = std::mem::take(&mut self.servers);
        for (id, lane) in lanes {
            let mut server = previous.remove(&id).unwrap_or_else(|| Server::new(&id, lane.clone()));
            server.in_flight += self.departed.remove(&id).unwrap_or(0);
            server.observe(lane);
            self.servers.insert(id, server);
        }
        for (id, server) in previous.into_iter().filter(|(_, server)| server.in_flight > 0) {
            *self.departed.entry(id).or_default() += server.in_flight;
        }
    }

    /// A region lends slots.
    pub fn add_credit(&mut self, region: RegionId, slots: u32, life: Duration, now: Instant) {
        self.borrower.receive(region, slots, life, now);
    }

    /// Slots of this region that are free, as far as this box knows.
    pub fn free_slots(&self, now: Instant) -> u32 {
        if !self.queue.is_empty() {
            return 0;
        }
        let free = |server: &Server| (server.usable_slots(now) - server.load(now)).max(0.0);
        self.servers.values().filter(|server| server.up()).map(free).sum::<f64>() as u32
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests of this box on servers of the pool.
    pub fn in_flight(&self) -> u32 {
        let listed: u32 = self.servers.values().map(|server| server.in_flight).sum();
        listed + self.departed.values().sum::<u32>()
    }

    /// Places, queues or refuses a request.
    pub fn submit(
        &mut self,
        arrival: Arrival,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Decision, Vec<Wake>) {
        if arrival.tried_servers.is_empty() {
            self.retries.add(RETRY_SHARE);
        }
        if now >= arrival.deadline {
            return (refused(Kind::WouldBeLate, Duration::ZERO), Vec::new());
        }
        if !arrival.local_allowed {
            return (Decision::Immediate(self.without_local_server(&arrival, now)), Vec::new());
        }
        let behind = self.queue.ahead(arrival.priority, arrival.deadline);
        if behind == 0
            && let Some(placement) = self.place(&arrival, now, rng)
        {
            return (Decision::Immediate(placement), Vec::new());
        }
        let wait = self.expected_wait(behind, now);
        if let Some(region) = self.borrow(&arrival, wait, now) {
            return (Decision::Immediate(Placement::Region(region)), Vec::new());
        }
        if !self.has_hope(&arrival, now) {
            return (Decision::Immediate(self.without_local_server(&arrival, now)), Vec::new());
        }
        if now + wait + self.service_time.unwrap_or_default() > arrival.deadline {
            return (refused(Kind::WouldBeLate, wait), Vec::new());
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
                decision = refused(Kind::QueueFull, wait);
            } else {
                let placement = Placement::Refused(Kind::QueueFull, wait);
                wakes.push(Wake { id: waiting.id, placement });
            }
        }
        (decision, wakes)
    }

    /// Whether a server that could take the request may come free. One that wants nothing before its deadline does not.
    fn has_hope(&self, arrival: &Arrival, now: Instant) -> bool {
        let in_time = |server: &Server| {
            self.rests.until(server.hash, now).is_none_or(|until| until < arrival.deadline)
        };
        let mut up = self.servers.iter().filter(|(_, server)| server.up() && in_time(server));
        up.any(|(id, _)| !arrival.tried_servers.contains(id))
    }

    fn without_local_server(&mut self, arrival: &Arrival, now: Instant) -> Placement {
        let regions = &self.regions_with_servers;
        if let Some(region) = arrival.remote_regions.iter().find(|region| regions.contains(*region))
        {
            return Placement::Region(region.clone());
        }
        let come_back = self.first_rest_ends(now).map(|until| self.returns.next(until, now));
        Placement::Refused(Kind::NoServer, come_back.unwrap_or(NO_SERVER_RETRY))
    }

    /// When the first of the servers takes requests again, if all rest.
    fn first_rest_ends(&self, now: Instant) -> Option<Instant> {
        let up = self.servers.values().filter(|server| server.up());
        let ends: Option<Vec<Instant>> =
            up.map(|server| self.rests.until(server.hash, now)).collect();
        ends?.into_iter().min()
    }

    fn borrow(&mut self, arrival: &Arrival, wait: Duration, now: Instant) -> Option<RegionId> {
        if wait < LENDING_MARGIN || arrival.remote_regions.is_empty() {
            return None;
        }
        let regions = &self.regions_with_servers;
        let allowed = arrival.remote_regions.iter().filter(|region| regions.contains(*region));
        self.borrower.use_slot(allowed, now)
    }

    /// Time until a request with this many before it would be placed.
    pub fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let slots: f64 = self
            .servers
            .values()
            .filter(|server| server.up() && !server.health.ejected(now))
            .map(|server| server.usable_slots(now))
            .sum();
        let service_time = self.service_time.unwrap_or_default();
        service_time.mul_f64((ahead as f64 + 1.0) / slots.max(1.0))
    }

    fn place(&mut self, arrival: &Arrival, now: Instant, rng: &mut impl Rng) -> Option<Placement> {
        let mut candidates = Vec::with_capacity(self.servers.len());
        let (mut load, mut slots) = (0.0, 0.0);
        for (id, server) in &self.servers {
            let rests = !self.rests.admits(server.hash, server.in_flight, now);
            if !server.up() || server.health.ejected(now) || rests {
                continue;
            }
            let candidate = server.candidate(id, now);
            load += candidate.load;
            slots += candidate.slots;
            let full = candidate.load >= candidate.slots * SERVER_FULL;
            if !full && !arrival.tried_servers.contains(id) {
                candidates.push(candidate);
            }
        }
        // Its even share a box uses whatever the reports say, since they lag: boxes
        // that all fill what all see as free overshoot, and then all hold back.
        // Over its share it goes only while the reports say that there is room.
        // Whole requests, so that a pool of few slots is not overcommitted by rounding.
        let share = (slots * SHARED_OUT / self.boxes as f64).floor().max(1.0);
        if f64::from(self.in_flight()) >= share && load >= slots {
            return None;
        }
        let request = Request { prefix: arrival.prefix };
        let chosen = self.policy.choose(request, &candidates, rng)?;
        let id = candidates[chosen].server.to_owned();
        let server = self.servers.get_mut(&id)?;
        invariant::check(Invariant::NoWorkToLeaving, !server.lane.leaving, || {
            format!("server={id}")
        });
        server.in_flight += 1;
        let address = server.lane.address;
        Some(Placement::Server(id, address))
    }

    /// An attempt ended; its slot is free.
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
            self.learn(id, outcome, now);
        } else if let Some(left) = self.departed.get_mut(id) {
            *left -= 1;
            if *left == 0 {
                self.departed.remove(id);
            }
        } else {
            invariant::check(Invariant::SlotsBalance, false, || format!("server={id} unknown"));
        }
        self.dispatch_queued(now, rng)
    }

    fn learn(&mut self, id: &ServerId, outcome: Outcome, now: Instant) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match outcome {
            Outcome::Answered { first_byte, total } => {
                server.answered(first_byte, now);
                self.service_time = Some(smooth(self.service_time, total));
            }
            Outcome::Failed => {
                if server.health.failed() && self.may_eject(now) {
                    self.eject(id, now);
                }
            }
            // A server that says how it is has not failed.
            Outcome::Rests(rest) => {
                self.rests.ask(server.hash, rest, now);
                log::info!("event=server_rests server={id} rest_ms={}", rest.as_millis());
            }
            Outcome::Cancelled => {}
        }
    }

    fn may_eject(&self, now: Instant) -> bool {
        let out = self.servers.values().filter(|server| server.health.ejected(now)).count();
        (out + 1) as f64 <= self.servers.len() as f64 * MOST_EJECTED
    }

    fn eject(&mut self, id: &ServerId, now: Instant) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.eject(now);
            log::warn!("event=server_ejected server={id}");
        }
    }

    /// Whether one more attempt fits the retry budget.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        self.retries.take(1.0, now).is_ok()
    }

    /// A caller that waited went away.
    pub fn cancel(&mut self, id: RequestId, priority: Priority, deadline: Instant) -> bool {
        self.queue.remove(id, priority, deadline)
    }

    /// Refuses what is too late and places what waits and fits.
    pub fn dispatch_queued(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Wake> {
        let late = self.queue.pop_expired(now).into_iter().map(|waiting| Wake {
            id: waiting.id,
            placement: Placement::Refused(Kind::WouldBeLate, Duration::ZERO),
        });
        let mut wakes: Vec<Wake> = late.collect();
        while let Some(waiting) = self.queue.pop() {
            match self.place(&waiting.request, now, rng) {
                Some(placement) => wakes.push(Wake { id: waiting.id, placement }),
                // No server is left for it here: it goes elsewhere or gets its answer.
                None if !self.has_hope(&waiting.request, now) => {
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

fn refused(kind: Kind, after: Duration) -> Decision {
    Decision::Immediate(Placement::Refused(kind, after.max(Duration::from_secs(1))))
}
