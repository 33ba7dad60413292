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
mod said;

pub use self::blocked::Blocked;
pub use self::said::Turning;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::candidate::Candidate;
use super::candidate::Known;
use super::candidate::Outcome;
use super::candidate::Work;
use super::loads::Load;
use super::loads::Loads;
use super::rendezvous;
use super::rest::Rests;
use super::returns::Returns;
use super::text::Text;
use super::throttle::Throttles;
use crate::protocol::ServerId;
use crate::protocol::adapter::PromptSegment;
use crate::protocol::routing::Service;

/// Part of the connections that a server takes which requests may fill; others rest or close.
const CONNECTIONS: f64 = 0.8;
/// Most servers that are compared for one request. Boxes act on reports that are some
/// tenths of a second old; comparing a few keeps them from all choosing the same one.
const COMPARED: usize = 4;
/// Servers up to which all are compared.
const FEW: usize = 6;

/// How long it counts when a server was removed: longer than what was sent to it does.
const REMOVED_MEMORY: Duration = Duration::from_secs(5);

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Parts of the prompt.
    pub parts: &'a [PromptSegment],
    /// Servers that had the request already.
    pub tried: &'a [ServerId],
    /// What other boxes have on the servers.
    pub loads: &'a Loads,
    /// What servers that name a rate have left.
    pub throttles: &'a Throttles,
    /// Servers that may be chosen.
    pub among: Among,
    /// Whether servers may have turned cold without this box hearing of it.
    pub stale: bool,
}

/// Which servers may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Among {
    /// Those that did not fail lately.
    Sound,
    /// All: one that failed lately is only better than a refusal.
    Any,
}

/// A place on a server; give it back by [`Placement::finish`].
#[derive(Clone, Debug)]
pub struct Place {
    /// The server.
    pub server: ServerId,
    /// Which of its lives.
    pub life: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Tokens that it must still read, as far as known.
    pub unread: f64,
    /// Requests of this box on it, this one included.
    pub in_flight: u32,
    /// Requests of other boxes on it, as last heard.
    pub others: u32,
    /// Servers that could have had it.
    pub candidates: usize,
    /// Whether the server is the home of its text.
    pub at_home: bool,
    /// Whether the server is cold, as far as known.
    pub cold: bool,
    /// When the place was taken.
    pub taken_at: Instant,
    waiting: bool,
}

/// What holds for all servers while one is chosen.
#[derive(Clone, Copy, Debug)]
struct View {
    /// Boxes whose load is not known.
    unheard: usize,
    /// Home of the request's text in this region, by its hash.
    home: Option<u64>,
    /// Whether servers count as cold that have not said lately that they are not.
    stale: bool,
    /// Drawn for the request: with a server's life it says whether chance lets it in there.
    luck: u64,
    now: Instant,
}

impl View {
    /// Drawn evenly from 0 to 1 for the request at a server, the same whenever it is looked at.
    fn luck_at(&self, life: u64) -> f64 {
        rendezvous::mix(self.luck, life) as f64 / u64::MAX as f64
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
    removed: BTreeMap<ServerId, Instant>,
    /// Servers that asked this box for rest. They stay when their entries lapse and return.
    rests: Rests,
    returns: Returns,
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
            removed: BTreeMap::new(),
            rests: Rests::default(),
            returns: Returns::default(),
        }
    }

    /// Takes over what control knows; `sharers` boxes send to these servers.
    pub fn update(&mut self, known: Vec<Known>, sharers: usize, service: &Service, now: Instant) {
        self.sharers = sharers;
        self.health_path.clone_from(&service.health_path);
        self.cold_rate = service.warmup_rate;
        self.max_connections = service.max_connections as f64 * CONNECTIONS;
        let mut before = std::mem::take(&mut self.servers);
        for known in known {
            let id = known.server.id.clone();
            let candidate = match before.remove(&id) {
                Some(mut candidate) if candidate.is(&known) => {
                    candidate.update(known);
                    candidate
                }
                earlier => {
                    // A new life knows nothing of the earlier one, but may have got its share of what a
                    // cold server bears just before.
                    let reborn = earlier.map(|_| now);
                    let removed = self.removed.get(&id).copied();
                    let unknown_before = removed.max(reborn).max(Some(self.started_at));
                    Candidate::new(known, service.kv_cache_tokens, unknown_before)
                }
            };
            self.servers.insert(id, candidate);
        }
        // Requests that still run on a server that is gone give their places back to nobody.
        self.removed.retain(|_, at| now < *at + REMOVED_MEMORY);
        self.removed.extend(before.into_keys().map(|id| (id, now)));
    }

    /// Whether any server may get work.
    pub fn has_usable(&self) -> bool {
        self.servers.values().any(|candidate| candidate.is_usable())
    }

    /// Chooses a server and takes a place there.
    pub fn choose(
        &mut self,
        demand: Demand<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Place, Blocked> {
        let view = View {
            unheard: self.sharers.saturating_sub(1 + demand.loads.heard()),
            home: self.home(demand.parts),
            // Servers that cannot be asked would be limited for as long as the store is away.
            stale: demand.stale && self.health_path.is_some(),
            luck: rng.random(),
            now,
        };
        // A few are compared first, and all others only if none of these has room.
        let mut choice = None;
        if let Some(few) = self.few(view, rng) {
            choice = self.cheapest(demand, view, |hash| few.contains(&hash), rng);
        }
        if choice.is_none() {
            choice = self.cheapest(demand, view, |_| true, rng);
        }
        match choice {
            Some(choice) => Ok(self.take(choice, demand, view)),
            None => Err(self.blocked(demand, view)),
        }
    }

    /// The server that costs the request least, of those whose hash `compared` accepts.
    fn cheapest(
        &mut self,
        demand: Demand<'_>,
        view: View,
        compared: impl Fn(u64) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mut candidates = 0;
        let mut least: Option<(f64, Choice)> = None;
        for (id, candidate) in &mut self.servers {
            let usable = candidate.is_usable() && !demand.tried.contains(id);
            if !usable || !compared(candidate.hash) {
                continue;
            }
            if !self.rests.admits(candidate.life, candidate.in_flight, view.now) {
                continue;
            }
            let load = candidate.load(demand.loads, view.unheard);
            let connected = f64::from(load.in_flight) < self.max_connections;
            let sound = demand.among == Among::Any || candidate.is_sound(view.now);
            if !connected || !sound || !candidate.has_room(load, view.stale, view.now) {
                continue;
            }
            if !demand.throttles.admits(candidate.life, view.luck_at(candidate.life), view.now) {
                continue;
            }
            candidates += 1;
            let at_home = view.home == Some(candidate.hash);
            let work = candidate.work(demand.parts, at_home, load, view.now);
            // A little chance, so that boxes with equal views do not all choose alike.
            let cost = candidate.cost(work) * (1.0 + 0.02 * rng.random::<f64>());
            if least.as_ref().is_none_or(|(least, _)| cost < *least) {
                least = Some((cost, Choice { id: id.clone(), work, at_home, candidates: 0 }));
            }
        }
        least.map(|(_, choice)| Choice { candidates, ..choice })
    }

    fn take(&mut self, choice: Choice, demand: Demand<'_>, view: View) -> Place {
        let Choice { id, work, at_home, candidates } = choice;
        let candidate = self.servers.get_mut(&id).expect("chosen from the same map");
        candidate.take(demand.parts, work, view.now);
        Place {
            server: id,
            life: candidate.life,
            address: candidate.known.server.address,
            unread: work.unread,
            in_flight: candidate.in_flight,
            others: demand.loads.on(candidate.life).in_flight,
            candidates,
            at_home,
            cold: candidate.is_cold(view.stale, view.now),
            taken_at: view.now,
            waiting: true,
        }
    }

    /// The first byte, or the first event, of an answer has come.
    pub fn first_byte(&mut self, place: &mut Place) {
        if !std::mem::take(&mut place.waiting) {
            return;
        }
        let Some(candidate) = self.held(place) else { return };
        candidate.read(place.unread);
    }

    /// The server of a place, unless that was in an earlier life of it.
    fn held(&mut self, place: &Place) -> Option<&mut Candidate> {
        let candidate = self.servers.get_mut(&place.server)?;
        (candidate.life == place.life).then_some(candidate)
    }

    /// Gives a place back.
    pub fn finish(&mut self, place: &mut Place, outcome: Outcome, now: Instant) {
        let waiting = std::mem::take(&mut place.waiting);
        let Some(candidate) = self.held(place) else { return };
        if waiting {
            candidate.read(place.unread);
        }
        candidate.in_flight = candidate.in_flight.saturating_sub(1);
        candidate.account(outcome, now);
    }

    /// What this box has on each server, by the hash of its life.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, Load)> {
        let busy = self.servers.values().filter(|candidate| candidate.in_flight > 0);
        busy.map(|candidate| (candidate.life, candidate.own_load()))
    }

    /// The servers that are compared first, by their hashes; `None` for all.
    fn few(&self, view: View, rng: &mut impl Rng) -> Option<Vec<u64>> {
        let takes = |candidate: &&Candidate| {
            candidate.is_usable() && self.rests.until(candidate.life, view.now).is_none()
        };
        let usable: Vec<u64> =
            self.servers.values().filter(takes).map(|candidate| candidate.hash).collect();
        if usable.len() <= FEW {
            return None;
        }
        let drawn = usable.choose_multiple(rng, COMPARED).copied();
        Some(view.home.into_iter().chain(drawn).collect())
    }

    /// The server of this region that a prompt's shared text belongs to, by its hash.
    fn home(&self, parts: &[PromptSegment]) -> Option<u64> {
        let text = Text::of(parts)?;
        let usable = self.servers.values().filter(|candidate| candidate.is_usable());
        usable.map(|candidate| candidate.hash).max_by_key(|hash| text.weight(*hash))
    }
}
