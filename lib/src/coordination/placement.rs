//! Which backend server of a service gets a request, and when none should.
//!
//! A server's cost for a request is the work that would be ahead of its first
//! token: prompt tokens that boxes still wait for there, those of the
//! request that the server does not keep yet, and what the requests that run
//! there add to each step. Servers of another failure domain cost more. A shared text
//! belongs to one server by rendezvous, so all boxes send it to the same place
//! unless that place is much busier than others.

mod blocked;
mod fullness;
mod status;

pub use self::blocked::Blocked;
pub use self::status::ProbeTarget;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::backoff::Backoffs;
use super::candidate::Candidate;
use super::candidate::Outcome;
use super::candidate::ServerState;
use super::candidate::Work;
use super::loads::Load;
use super::loads::Loads;
use super::rendezvous;
use super::retry_spread::RetrySpread;
use super::shared_prefix::SharedPrefix;
use super::throttle::Throttles;
use crate::protocol::ServerId;
use crate::protocol::adapter::Part;
use crate::protocol::routing::Service;

/// Part of the connections that a server takes which requests may fill; others rest or close.
const MAX_CONNECTION_USE: f64 = 0.8;
/// Most servers that are compared for one request. Boxes act on reports that are some
/// tenths of a second old; comparing a few keeps them from all choosing the same one.
const SAMPLE_SIZE: usize = 4;
/// Servers up to which all are compared.
const COMPARE_ALL_UP_TO: usize = 6;

/// How long it counts when a server was removed: longer than what was sent to it does.
const REMOVED_RETENTION: Duration = Duration::from_secs(5);

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt.
    pub parts: &'a [Part],
    /// Servers that had the request already.
    pub tried: &'a [ServerId],
    /// What other boxes have on the servers.
    pub loads: &'a Loads,
    /// What servers that name a rate have left.
    pub throttles: &'a Throttles,
    /// Servers that may be chosen.
    pub eligible: Eligible,
    /// Whether servers may have turned cold without this box hearing of it.
    pub stale: bool,
}

/// Which servers may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligible {
    /// Those that did not fail lately.
    Healthy,
    /// All: one that failed lately is only better than a refusal.
    Any,
}

/// A place on a server; give it back by [`Placement::finish`].
#[derive(Clone, Debug)]
pub struct Place {
    /// The server.
    pub server: ServerId,
    /// Which of its lives.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Tokens that it must still read, as far as known.
    pub unread: f64,
    /// Requests of this box on it, this one included.
    pub in_flight: u32,
    /// Requests of other boxes on it, as last heard.
    pub others_in_flight: u32,
    /// Servers that could have had it.
    pub candidates: usize,
    /// Whether the server is the home of its text.
    pub at_home: bool,
    /// Whether the server is cold, as far as known.
    pub cold: bool,
    /// When the place was taken.
    pub taken_at: Instant,
    awaiting_first_byte: bool,
}

/// What holds for all servers while one is chosen.
#[derive(Clone, Copy, Debug)]
struct Selection {
    /// Boxes whose load is not known.
    unreported_boxes: usize,
    /// Home of the request's text in this region, by its hash.
    home: Option<u64>,
    /// Whether servers count as cold that have not said lately that they are not.
    stale: bool,
    /// Drawn for the request: with a server's life it says whether chance lets it in there.
    random_bits: u64,
    now: Instant,
}

impl Selection {
    /// Drawn evenly from 0 to 1 for the request at a server, the same whenever it is looked at.
    fn random_at(&self, life: u64) -> f64 {
        rendezvous::mix(self.random_bits, life) as f64 / u64::MAX as f64
    }
}

/// A server that may be chosen.
struct Choice {
    id: ServerId,
    work: Work,
    at_home: bool,
    candidates: usize,
}

/// The servers of one service in this region, as one box sees them.
pub struct Placement {
    servers: BTreeMap<ServerId, Candidate>,
    sharers: usize,
    max_connections: f64,
    health_path: Option<String>,
    /// Requests a second that a cold server bears.
    cold_rate: f64,
    started_at: Instant,
    /// Servers that were removed, and when. One that comes back may have got its share just before:
    /// their entries lapse and return while the store is away.
    removed_at: BTreeMap<ServerId, Instant>,
    /// Servers that asked this box for rest. They stay when their entries lapse and return.
    backoffs: Backoffs,
    retry_spread: RetrySpread,
}

impl Placement {
    /// No servers yet, in a box that started then.
    pub fn new(started_at: Instant) -> Placement {
        Placement {
            servers: BTreeMap::new(),
            sharers: 0,
            max_connections: 0.0,
            health_path: None,
            cold_rate: 0.0,
            started_at,
            removed_at: BTreeMap::new(),
            backoffs: Backoffs::default(),
            retry_spread: RetrySpread::default(),
        }
    }

    /// Takes over what control knows; `sharers` boxes send to these servers.
    pub fn update(
        &mut self,
        state: Vec<ServerState>,
        sharers: usize,
        service: &Service,
        now: Instant,
    ) {
        self.sharers = sharers;
        self.health_path.clone_from(&service.health_path);
        self.cold_rate = service.warmup_rate;
        self.max_connections = service.max_connections as f64 * MAX_CONNECTION_USE;
        let mut previous = std::mem::take(&mut self.servers);
        for state in state {
            let id = state.server.id.clone();
            let candidate = match previous.remove(&id) {
                Some(mut candidate) if candidate.is_same_incarnation(&state) => {
                    candidate.update(state);
                    candidate
                }
                earlier => {
                    // A new life knows nothing of the earlier one, but may have got its share of what a
                    // cold server bears just before.
                    let restarted_at = earlier.map(|_| now);
                    let removed_at = self.removed_at.get(&id).copied();
                    let unknown_before = removed_at.max(restarted_at).max(Some(self.started_at));
                    Candidate::new(state, service.memory_tokens, unknown_before)
                }
            };
            self.servers.insert(id, candidate);
        }
        // Requests that still run on a server that is gone give their places back to nobody.
        self.removed_at.retain(|_, at| now < *at + REMOVED_RETENTION);
        self.removed_at.extend(previous.into_keys().map(|id| (id, now)));
    }

    /// Whether any server may get work.
    pub fn has_usable(&self) -> bool {
        self.servers.values().any(|candidate| candidate.is_usable())
    }

    /// Chooses a server and takes a place there.
    pub fn choose(
        &mut self,
        request: PlacementRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Place, Blocked> {
        let selection = Selection {
            unreported_boxes: self.sharers.saturating_sub(1 + request.loads.reporting_boxes()),
            home: self.home(request.parts),
            // Servers that cannot be asked would be limited for as long as the store is away.
            stale: request.stale && self.health_path.is_some(),
            random_bits: rng.random(),
            now,
        };
        // A few are compared first, and all others only if none of these has room.
        let mut choice = None;
        if let Some(sample) = self.sample(selection, rng) {
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

    /// The server that costs the request least, of those whose hash `compared` accepts.
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
            let usable = candidate.is_usable() && !request.tried.contains(id);
            if !usable || !is_compared(candidate.hash) {
                continue;
            }
            if !self.backoffs.admits(candidate.incarnation, candidate.in_flight, selection.now) {
                continue;
            }
            let load = candidate.load(request.loads, selection.unreported_boxes);
            let has_connection = f64::from(load.in_flight) < self.max_connections;
            let is_eligible =
                request.eligible == Eligible::Any || candidate.is_healthy(selection.now);
            if !has_connection
                || !is_eligible
                || !candidate.has_room(load, selection.stale, selection.now)
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
            candidates += 1;
            let at_home = selection.home == Some(candidate.hash);
            let work = candidate.estimate_work(request.parts, at_home, load, selection.now);
            // A little chance, so that boxes with equal views do not all choose alike.
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
        Place {
            server: id,
            incarnation: candidate.incarnation,
            address: candidate.state.server.address,
            unread: work.unread,
            in_flight: candidate.in_flight,
            others_in_flight: request.loads.on_server(candidate.incarnation).in_flight,
            candidates,
            at_home,
            cold: candidate.is_cold(selection.stale, selection.now),
            taken_at: selection.now,
            awaiting_first_byte: true,
        }
    }

    /// The first byte, or the first event, of an answer has come.
    pub fn first_byte(&mut self, place: &mut Place) {
        if !std::mem::take(&mut place.awaiting_first_byte) {
            return;
        }
        let Some(candidate) = self.server_of(place) else { return };
        candidate.reduce_unread(place.unread);
    }

    /// The server of a place, unless that was in an earlier life of it.
    fn server_of(&mut self, place: &Place) -> Option<&mut Candidate> {
        let candidate = self.servers.get_mut(&place.server)?;
        (candidate.incarnation == place.incarnation).then_some(candidate)
    }

    /// Gives a place back.
    pub fn finish(&mut self, place: &mut Place, outcome: Outcome, now: Instant) {
        let waiting = std::mem::take(&mut place.awaiting_first_byte);
        let Some(candidate) = self.server_of(place) else { return };
        if waiting {
            candidate.reduce_unread(place.unread);
        }
        candidate.in_flight = candidate.in_flight.saturating_sub(1);
        candidate.record_outcome(outcome, now);
    }

    /// What this box has on each server, by the hash of its life.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, Load)> {
        let busy = self.servers.values().filter(|candidate| candidate.in_flight > 0);
        busy.map(|candidate| (candidate.incarnation, candidate.own_load()))
    }

    /// The servers that are compared first, by their hashes; `None` for all.
    fn sample(&self, selection: Selection, rng: &mut impl Rng) -> Option<Vec<u64>> {
        let accepts_requests = |candidate: &&Candidate| {
            candidate.is_usable()
                && self.backoffs.until(candidate.incarnation, selection.now).is_none()
        };
        let usable: Vec<u64> = self
            .servers
            .values()
            .filter(accepts_requests)
            .map(|candidate| candidate.hash)
            .collect();
        if usable.len() <= COMPARE_ALL_UP_TO {
            return None;
        }
        let sampled = usable.choose_multiple(rng, SAMPLE_SIZE).copied();
        Some(selection.home.into_iter().chain(sampled).collect())
    }

    /// The server of this region that a prompt's shared text belongs to, by its hash.
    fn home(&self, parts: &[Part]) -> Option<u64> {
        let text = SharedPrefix::of(parts)?;
        let usable = self.servers.values().filter(|candidate| candidate.is_usable());
        usable.map(|candidate| candidate.hash).max_by_key(|hash| text.weight(*hash))
    }
}
