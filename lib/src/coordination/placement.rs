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
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::ejection::Ejection;
use super::kept::Kept;
use super::loads::Load;
use super::loads::Loads;
use super::rendezvous;
use super::warmup::Warmup;
use crate::protocol::ServerId;
use crate::protocol::adapter::Part;
use crate::protocol::fleet::Server;
use crate::protocol::routing::Service;

/// Requests on a server, its queue included, against its slots, that boxes
/// together aim for at most: enough to keep it busy, short enough a queue.
const FILL: f64 = 3.0;
/// Part of the connections that a server takes which requests may fill; others rest or close.
const CONNECTIONS: f64 = 0.8;
/// Most servers that are compared for one request. Boxes act on reports that are some
/// tenths of a second old; comparing a few keeps them from all choosing the same one.
const COMPARED: usize = 4;
/// Servers up to which all are compared.
const FEW: usize = 6;
/// What a refusal by the server leaves of the limit, down to its slots.
const BACK_OFF: f64 = 0.8;
/// Tokens read that a running request costs others, by its part in each step.
const RUNNING_TOKENS: f64 = 150.0;
/// What a share of failed answers adds to a server's cost, as a factor.
const FAILURE_COST: f64 = 4.0;
/// Most that slowness adds to a server's cost, as a factor.
const MAX_SLOWNESS: f64 = 8.0;
/// Slowness against the median that still counts as usual: answers differ by more than their work.
const USUAL_SLOWNESS: f64 = 2.0;
/// Weight of the newest observation in smoothed figures.
const SMOOTHING: f64 = 0.15;
/// What a server costs more that is set aside for prompts of the other kind, as a factor.
const OUT_OF_PLACE: f64 = 6.0;
/// Part of a shared text that counts as unread at its rendezvous server when this
/// box has not sent it there: another box most likely has.
const HOME_UNREAD: f64 = 0.1;
/// What reading a shared text again costs against reading it for the first time: the text
/// is kept twice then, and everything beside it waits for nothing.
const READ_AGAIN: f64 = 2.0;

/// A server as control knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// What it says of itself.
    pub server: Arc<Server>,
    /// Whether it may get work: neither leaving nor evacuated.
    pub usable: bool,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Requests a second that this box may send it while it is cold.
    pub cold_share: u32,
    /// Its place in the order in which engines are set aside for long prompts.
    pub rank: usize,
}

struct Tracked {
    known: Known,
    hash: u64,
    in_flight: u32,
    /// Prompt tokens of this box whose first token has not come.
    unread: f64,
    /// Requests of all boxes that the server seems to take.
    limit: f64,
    /// Seconds to the first byte for each token of work that was ahead of it, smoothed.
    pace: Option<f64>,
    failing: f64,
    ejection: Ejection,
    warmup: Warmup,
    kept: Kept,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Parts of the prompt.
    pub parts: &'a [Part],
    /// Servers that had the request already.
    pub tried: &'a [ServerId],
    /// Whether its prompt is a long one.
    pub long: bool,
    /// How many engines, by rank, are set aside for long prompts.
    pub set_aside: usize,
    /// What other boxes have on the servers.
    pub loads: &'a Loads,
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
    /// Tokens of work that were ahead of its first one.
    work: f64,
    chosen_at: Instant,
    waiting: bool,
}

/// Work for a request at a server, in tokens.
#[derive(Clone, Copy, Debug)]
struct Work {
    /// Tokens of its own prompt.
    unread: f64,
    /// With all that is ahead of it.
    ahead: f64,
}

/// How an exchange with a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer that the server stands for.
    Answered,
    /// A whole answer that says that the server failed.
    Failed,
    /// The server refused: it has no room.
    Shed,
    /// No connection came up.
    Unreachable,
    /// The connection broke, or the answer was not one.
    Lost,
    /// No answer in time.
    Silent,
    /// Another instance has the address.
    Replaced,
    /// The caller went away, or the request was not sent.
    Abandoned,
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
    servers: BTreeMap<ServerId, Tracked>,
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
            let tracked = match before.remove(&id) {
                Some(mut tracked) => {
                    tracked.known = known;
                    tracked
                }
                None => Tracked::new(known, service.memory_tokens),
            };
            self.servers.insert(id, tracked);
        }
        // Requests that still run on a server that is gone give their places back to nobody.
    }

    /// Whether any server may get work.
    pub fn has_usable(&self) -> bool {
        self.servers.values().any(|tracked| tracked.known.usable)
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
        let home = self.home(demand);
        let mut chosen: Option<(f64, ServerId, Work)> = None;
        let mut candidates = 0;
        let mut usable = false;
        let compared = self.compared(demand, home, rng);
        // In the first round servers that failed lately are left out; when that leaves none, they
        // are better than a refusal.
        for spare_ejected in [true, false] {
            for (id, tracked) in &mut self.servers {
                if !tracked.known.usable || demand.tried.contains(id) {
                    continue;
                }
                usable = true;
                let load = tracked.load(demand.loads, unheard);
                let connected = f64::from(load.in_flight) < self.max_connections;
                if !connected || !tracked.admits(load, now, spare_ejected) {
                    continue;
                }
                if spare_ejected && compared.as_ref().is_some_and(|some| !some.contains(id)) {
                    continue;
                }
                candidates += 1;
                let unread = tracked.unread_of(demand.parts, home == Some(tracked.hash), now);
                // A little chance, so that boxes with equal views do not all choose alike.
                let work = tracked.work(load, unread);
                let cost = tracked.cost(work, usual) * (1.0 + 0.02 * rng.random::<f64>());
                let set_aside = tracked.known.rank < demand.set_aside;
                let cost = if set_aside == demand.long { cost } else { cost * OUT_OF_PLACE };
                if chosen.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    chosen = Some((cost, id.clone(), work));
                }
            }
            if chosen.is_some() {
                break;
            }
        }
        match chosen {
            Some((_, id, work)) => Ok(self.take(id, work, candidates, demand, now)),
            None if usable => Err(Blocked::Full),
            None => Err(Blocked::NoServer),
        }
    }

    fn take(
        &mut self,
        id: ServerId,
        work: Work,
        candidates: usize,
        demand: Demand<'_>,
        now: Instant,
    ) -> Place {
        let tracked = self.servers.get_mut(&id).expect("chosen from the same map");
        tracked.in_flight += 1;
        tracked.unread += work.unread;
        tracked.ejection.tried(now);
        if tracked.is_cold(now) {
            tracked.warmup.sent(now);
        }
        tracked.kept.read(demand.parts, now);
        Place {
            server: id,
            address: tracked.known.server.address,
            unread: work.unread,
            work: work.ahead,
            in_flight: tracked.in_flight,
            others: demand.loads.on(tracked.hash).in_flight,
            candidates,
            chosen_at: now,
            waiting: true,
        }
    }

    /// The first byte, or the first event, of an answer has come.
    pub fn first_byte(&mut self, place: &mut Place, now: Instant) {
        if !std::mem::take(&mut place.waiting) {
            return;
        }
        let Some(tracked) = self.servers.get_mut(&place.server) else { return };
        tracked.unread = (tracked.unread - place.unread).max(0.0);
        let took = now.saturating_duration_since(place.chosen_at).as_secs_f64();
        let pace = took / place.work.max(1.0);
        let smoothed = tracked.pace.unwrap_or(pace);
        tracked.pace = Some(smoothed + SMOOTHING * (pace - smoothed));
    }

    /// Gives a place back.
    pub fn finish(&mut self, place: &mut Place, outcome: Outcome, now: Instant) {
        let Some(tracked) = self.servers.get_mut(&place.server) else { return };
        if std::mem::take(&mut place.waiting) {
            tracked.unread = (tracked.unread - place.unread).max(0.0);
        }
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        tracked.account(outcome, now);
    }

    /// Takes note that a server says it is cold.
    pub fn cold(&mut self, server: &str, left: Duration, now: Instant) {
        if let Some(tracked) = self.servers.get_mut(server) {
            let until = Some(now + left);
            tracked.known.cold_until = tracked.known.cold_until.max(until);
        }
    }

    /// What this box has on each server, by the hash of its name.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, Load)> {
        let busy = self.servers.values().filter(|tracked| tracked.in_flight > 0);
        busy.map(|tracked| (tracked.hash, tracked.own_load()))
    }

    /// The servers that are compared for a request; `None` for all. The home of its shared
    /// part is always among them.
    fn compared(
        &self,
        demand: Demand<'_>,
        home: Option<u64>,
        rng: &mut impl Rng,
    ) -> Option<Vec<ServerId>> {
        let in_place = |tracked: &&Tracked| {
            tracked.known.usable && (tracked.known.rank < demand.set_aside) == demand.long
        };
        let fitting: Vec<&Tracked> = self.servers.values().filter(in_place).collect();
        if fitting.len() <= FEW {
            return None;
        }
        let at_home = fitting.iter().filter(|tracked| Some(tracked.hash) == home);
        let drawn = fitting.choose_multiple(rng, COMPARED);
        let ids = at_home.chain(drawn).map(|tracked| tracked.known.server.id.clone());
        Some(ids.collect())
    }

    /// The median pace of the servers.
    fn usual_pace(&self) -> Option<f64> {
        let known = self.servers.values().filter(|tracked| tracked.known.usable);
        let mut paces: Vec<f64> = known.filter_map(|tracked| tracked.pace).collect();
        let middle = paces.len() / 2;
        (!paces.is_empty()).then(|| *paces.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// The server that the first shared part of a prompt belongs to: of those set aside for
    /// prompts of its kind, if any of them is here.
    fn home(&self, demand: Demand<'_>) -> Option<u64> {
        let shared = demand.parts.split_last()?.1.first()?;
        let usable = self.servers.values().filter(|tracked| tracked.known.usable);
        let weight = |tracked: &&Tracked| {
            let in_place = (tracked.known.rank < demand.set_aside) == demand.long;
            (in_place, rendezvous::mix(tracked.hash, shared.id))
        };
        usable.max_by_key(weight).map(|tracked| tracked.hash)
    }
}

/// Requests of all boxes that a server is taken to bear until it refuses some.
fn ceiling(known: &Known) -> f64 {
    f64::from(known.server.slots.max(1)) * FILL
}

/// What stands for a server where shared parts find their homes.
pub fn server_hash(id: &str) -> u64 {
    rendezvous::weight(id, "")
}

impl Tracked {
    fn new(known: Known, memory_tokens: Option<u64>) -> Tracked {
        Tracked {
            hash: server_hash(&known.server.id),
            limit: ceiling(&known),
            known,
            in_flight: 0,
            unread: 0.0,
            pace: None,
            failing: 0.0,
            ejection: Ejection::default(),
            warmup: Warmup::default(),
            kept: Kept::new(memory_tokens.unwrap_or(0)),
        }
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.known.cold_until.is_some_and(|until| now < until)
    }

    fn own_load(&self) -> Load {
        Load { in_flight: self.in_flight, unread: self.unread as u32 }
    }

    /// What all boxes have there. Those that were not heard of are taken to have as much as
    /// this one.
    fn load(&self, loads: &Loads, unheard: usize) -> Load {
        let (own, others) = (self.own_load(), loads.on(self.hash));
        let like_own = 1 + unheard as u32;
        Load {
            in_flight: own.in_flight * like_own + others.in_flight,
            unread: own.unread * like_own + others.unread,
        }
    }

    fn admits(&mut self, load: Load, now: Instant, spare_ejected: bool) -> bool {
        if f64::from(load.in_flight) >= self.limit {
            return false;
        }
        if self.is_cold(now) && !self.warmup.admits(self.known.cold_share, now) {
            return false;
        }
        !spare_ejected || self.ejection.admits(now)
    }

    fn unread_of(&self, parts: &[Part], home: bool, now: Instant) -> f64 {
        let total: f64 = parts.iter().map(|part| f64::from(part.tokens)).sum();
        let own = parts.last().map_or(0.0, |part| f64::from(part.tokens));
        let kept = self.kept.tokens(parts, now) as f64;
        let shared = total - kept - own;
        let missing = if home { shared * HOME_UNREAD } else { shared * READ_AGAIN };
        own + missing
    }

    /// The work that would be ahead of a request's first token.
    fn work(&self, load: Load, unread: f64) -> Work {
        let running = f64::from(load.in_flight) + 1.0;
        Work { unread, ahead: f64::from(load.unread) + unread + running * RUNNING_TOKENS }
    }

    fn cost(&self, work: Work, usual: Option<f64>) -> f64 {
        let slowness = match (self.pace, usual) {
            (Some(own), Some(usual)) if usual > 0.0 => own / usual / USUAL_SLOWNESS,
            _ => 1.0,
        };
        let slowness = slowness.clamp(1.0, MAX_SLOWNESS);
        work.ahead * slowness * (1.0 + FAILURE_COST * self.failing)
    }

    fn account(&mut self, outcome: Outcome, now: Instant) {
        let failing = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Lost | Outcome::Unreachable | Outcome::Silent => 1.0,
            Outcome::Shed | Outcome::Abandoned | Outcome::Replaced => self.failing,
        };
        self.failing += SMOOTHING * (failing - self.failing);
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.limit = (self.limit + 1.0 / self.limit).min(ceiling(&self.known));
                self.ejection.answered();
            }
            Outcome::Shed => {
                let floor = f64::from(self.known.server.slots.max(1));
                self.limit = (self.limit * BACK_OFF).max(floor);
            }
            Outcome::Unreachable => self.ejection.unreachable(now),
            Outcome::Lost | Outcome::Silent => self.ejection.lost(now),
            Outcome::Replaced => self.known.usable = false,
            Outcome::Abandoned => {}
        }
    }
}
