//! Which backend server of a service gets a request, and when none should.
//!
//! A server's cost for a request is the work that would be ahead of its first
//! token: prompt tokens that this box still waits for there, those of the
//! request that the server does not keep yet, and what the requests that run
//! there add to each step. Slow and failing servers cost more. A shared part
//! of a prompt belongs to one server by rendezvous, so all boxes send it to
//! the same place unless that place is much busier than others.

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
use super::mix::Prompt;
use super::regions::Fullness;
use super::rendezvous;
use crate::protocol::ServerId;
use crate::protocol::adapter::Part;
use crate::protocol::routing::Service;

/// Part of the connections that a server takes which requests may fill; others rest or close.
const CONNECTIONS: f64 = 0.8;
/// Most servers that are compared for one request. Boxes act on reports that are some
/// tenths of a second old; comparing a few keeps them from all choosing the same one.
const COMPARED: usize = 4;
/// Servers up to which all are compared.
const FEW: usize = 6;
/// Homes of a shared part: one that keeps it, and one for when that is busy or gone.
const HOMES: usize = 2;
/// What a server costs more that is set aside for prompts of the other kind, as a factor.
const OUT_OF_PLACE: f64 = 2.5;

/// What such a server costs beyond that, tokens: a few running requests more or less are no
/// reason to mix prompts of both kinds.
const DISORDER: f64 = 1000.0;

/// What it costs when its slots are full, tokens: a long prompt that runs there makes room for a
/// more urgent short one, and is read once more.
const DISPLACED: f64 = 10_000.0;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Parts of the prompt.
    pub parts: &'a [Part],
    /// Servers that had the request already.
    pub tried: &'a [ServerId],
    /// Its prompt against others.
    pub prompt: Prompt,
    /// What other boxes have on the servers.
    pub loads: &'a Loads,
}

/// Which servers are looked at. Those that failed lately come last: they are only better
/// than a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Round {
    /// Those that fit the request best.
    Preferred,
    /// All that did not fail lately.
    Sound,
    /// All.
    Any,
}

/// A place on a server; give it back by [`Placement::finish`].
#[derive(Clone, Debug)]
pub struct Place {
    /// The server.
    pub server: ServerId,
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
    /// Whether the server is meant for such prompts.
    pub in_place: bool,
    /// Tokens of work that were ahead of its first one.
    work: f64,
    chosen_at: Instant,
    waiting: bool,
    long: bool,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Blocked {
    /// No server may get work.
    NoServer,
    /// All have as much as they bear.
    Full,
}

/// The servers of one service in this region, as one box sees them.
#[derive(Default)]
pub struct Placement {
    servers: BTreeMap<ServerId, Candidate>,
    /// Requests of this box with short prompts.
    short_running: u32,
    sharers: usize,
    max_connections: f64,
}

impl Placement {
    /// Takes over what control knows; `sharers` boxes send to these servers.
    pub fn update(&mut self, known: Vec<Known>, sharers: usize, service: &Service) {
        self.sharers = sharers;
        self.max_connections = service.max_connections as f64 * CONNECTIONS;
        let mut before = std::mem::take(&mut self.servers);
        for known in known {
            let id = known.server.id.clone();
            let candidate = match before.remove(&id) {
                Some(mut candidate) => {
                    candidate.known = known;
                    candidate
                }
                None => Candidate::new(known, service.memory_tokens),
            };
            self.servers.insert(id, candidate);
        }
        // Requests that still run on a server that is gone give their places back to nobody.
    }

    /// Whether any server may get work.
    pub fn has_usable(&self) -> bool {
        self.servers.values().any(|candidate| candidate.known.usable)
    }

    /// Chooses a server and takes a place there.
    pub fn choose(
        &mut self,
        demand: Demand<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Place, Blocked> {
        let usual = self.usual_pace();
        let unheard = self.sharers.saturating_sub(1 + demand.loads.heard());
        let homes = self.homes(demand);
        let preferred = self.preferred(demand, &homes, rng);
        let mut candidates = 0;
        for round in [Round::Preferred, Round::Sound, Round::Any] {
            let mut chosen: Option<(f64, &ServerId, Work)> = None;
            for (id, candidate) in &mut self.servers {
                let passed_over = round == Round::Preferred
                    && preferred.as_ref().is_some_and(|some| !some.contains(&candidate.hash));
                if passed_over || !candidate.known.usable || demand.tried.contains(id) {
                    continue;
                }
                let load = candidate.load(demand.loads, unheard);
                let connected = f64::from(load.in_flight) < self.max_connections;
                if !connected || !candidate.admits(load, now, round != Round::Any) {
                    continue;
                }
                candidates += 1;
                let home = homes.first() == Some(&candidate.hash);
                let work = candidate.work(demand.parts, home, load, now);
                // A little chance, so that boxes with equal views do not all choose alike.
                let cost = candidate.cost(work, usual) * (1.0 + 0.02 * rng.random::<f64>());
                let in_place = demand.prompt.is_in_place(candidate.known.rank);
                let full = load.in_flight >= candidate.known.server.slots;
                let cost = match (in_place, full) {
                    (true, _) => cost,
                    (false, false) => cost * OUT_OF_PLACE + DISORDER,
                    (false, true) => cost * OUT_OF_PLACE + DISPLACED,
                };
                if chosen.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    chosen = Some((cost, id, work));
                }
            }
            if let Some((_, id, work)) = chosen {
                let id = id.clone();
                return Ok(self.take(id, work, candidates, demand, now));
            }
        }
        let untried = |candidate: &Candidate| {
            candidate.known.usable && !demand.tried.contains(&candidate.known.server.id)
        };
        let usable = self.servers.values().any(untried);
        Err(if usable { Blocked::Full } else { Blocked::NoServer })
    }

    fn take(
        &mut self,
        id: ServerId,
        work: Work,
        candidates: usize,
        demand: Demand<'_>,
        now: Instant,
    ) -> Place {
        let candidate = self.servers.get_mut(&id).expect("chosen from the same map");
        candidate.take(demand.parts, work, now);
        self.short_running += u32::from(!demand.prompt.long);
        Place {
            server: id,
            address: candidate.known.server.address,
            unread: work.unread,
            work: work.ahead,
            in_flight: candidate.in_flight,
            others: demand.loads.on(candidate.hash).in_flight,
            candidates,
            in_place: demand.prompt.is_in_place(candidate.known.rank),
            chosen_at: now,
            waiting: true,
            long: demand.prompt.long,
        }
    }

    /// The first byte, or the first event, of an answer has come.
    pub fn first_byte(&mut self, place: &mut Place, now: Instant) {
        if !std::mem::take(&mut place.waiting) {
            return;
        }
        let Some(candidate) = self.servers.get_mut(&place.server) else { return };
        candidate.read(place.unread);
        candidate.first_token(place.work, now.saturating_duration_since(place.chosen_at));
    }

    /// Gives a place back.
    pub fn finish(&mut self, place: &mut Place, outcome: Outcome, now: Instant) {
        self.short_running = self.short_running.saturating_sub(u32::from(!place.long));
        let Some(candidate) = self.servers.get_mut(&place.server) else { return };
        if std::mem::take(&mut place.waiting) {
            candidate.read(place.unread);
        }
        candidate.in_flight = candidate.in_flight.saturating_sub(1);
        candidate.account(outcome, now);
    }

    /// Takes note that a server says it is cold.
    pub fn cold(&mut self, server: &str, left: Duration, now: Instant) {
        if let Some(candidate) = self.servers.get_mut(server) {
            let until = Some(now + left);
            candidate.known.cold_until = candidate.known.cold_until.max(until);
        }
    }

    /// How full the servers are that are meant for such prompts.
    pub fn fullness(&self, prompt: Prompt, loads: &Loads) -> Fullness {
        let unheard = self.sharers.saturating_sub(1 + loads.heard());
        let mut fullness = Fullness::default();
        for candidate in self.servers.values() {
            if candidate.known.usable && prompt.is_in_place(candidate.known.rank) {
                fullness.in_flight += f64::from(candidate.load(loads, unheard).in_flight);
                fullness.slots += f64::from(candidate.known.server.slots);
            }
        }
        fullness
    }

    /// Requests of this box with short prompts that are on servers.
    pub fn short_running(&self) -> u32 {
        self.short_running
    }

    /// What this box has on each server, by the hash of its name.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, Load)> {
        let busy = self.servers.values().filter(|candidate| candidate.in_flight > 0);
        busy.map(|candidate| (candidate.hash, candidate.own_load()))
    }

    /// The servers that are compared first, by their hashes; `None` for all. A long prompt
    /// stays at its homes; others go to any of a few.
    fn preferred(&self, demand: Demand<'_>, homes: &[u64], rng: &mut impl Rng) -> Option<Vec<u64>> {
        if demand.prompt.long && !homes.is_empty() {
            return Some(homes.to_vec());
        }
        let fitting: Vec<&Candidate> = self
            .servers
            .values()
            .filter(|candidate| {
                candidate.known.usable && demand.prompt.is_in_place(candidate.known.rank)
            })
            .collect();
        if fitting.len() <= FEW {
            return None;
        }
        let drawn = fitting.choose_multiple(rng, COMPARED).map(|candidate| candidate.hash);
        Some(homes.iter().take(1).copied().chain(drawn).collect())
    }

    /// The median pace of the servers.
    fn usual_pace(&self) -> Option<f64> {
        let known = self.servers.values().filter(|candidate| candidate.known.usable);
        let mut paces: Vec<f64> = known.filter_map(Candidate::pace).collect();
        let middle = paces.len() / 2;
        (!paces.is_empty()).then(|| *paces.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// The servers that the first shared part of a prompt belongs to, by their hashes, best
    /// first: those set aside for prompts of its kind before others.
    fn homes(&self, demand: Demand<'_>) -> Vec<u64> {
        let Some((_, shared)) = demand.parts.split_last() else { return Vec::new() };
        let Some(shared) = shared.first() else { return Vec::new() };
        let usable = self.servers.values().filter(|candidate| candidate.known.usable);
        let weight = |candidate: &Candidate| {
            (
                demand.prompt.is_in_place(candidate.known.rank),
                rendezvous::mix(candidate.hash, shared.id),
            )
        };
        let mut weights: Vec<_> =
            usable.map(|candidate| (weight(candidate), candidate.hash)).collect();
        weights.sort_unstable_by(|one, other| other.cmp(one));
        weights.into_iter().take(HOMES).map(|(_, hash)| hash).collect()
    }
}
