//! Chooses boxes to forward requests to. A neighbor, which is a box of this region, gets a request
//! if this box has lost its paths to servers. A box of another region gets it if no server here may
//! or can run it, if the home server of its shared prefix is there, or if that region has capacity
//! while this one is busy.
//!
//! A forwarded request is not forwarded again. Boxes that reach no server of the service get none.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::history::RequestHistory;
use super::job::Job;
use super::job::Origin;
use super::room;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::forwards::Kind;
use crate::coordination::presence;
use crate::coordination::reachability;
use crate::coordination::regions::Utilization;
use crate::coordination::rendezvous;
use crate::coordination::shared_prefix::SharedPrefix;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::state::clock;

/// Maximum number of boxes of other regions that a request is forwarded to. Each costs a round trip
/// between regions.
const MAX_PEER_SENDS: usize = 2;
/// Maximum number of neighbors that a request is forwarded to.
const MAX_NEIGHBOR_SENDS: usize = 2;
/// Number of neighbors compared by their load. Boxes act on reports that are some tenths of a second
/// old; comparing a random sample keeps them from all choosing the same neighbor.
const NEIGHBOR_SAMPLE: usize = 2;

/// Why a request is forwarded, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ForwardReason {
    /// The home server of the request's shared prefix is in that region.
    Home,
    /// The servers of this region are busy, and a share of the requests goes to another region.
    Overflow {
        /// Requests and slots of the servers of this region.
        own_utilization: Utilization,
        /// Share of the requests that is forwarded.
        share: f64,
    },
    /// No server of this region may or can run the request.
    NoPlace,
    /// This box has lost its paths to servers of its region, which a neighbor reaches.
    LostPath,
    /// The servers are brittle, and only other boxes of this region may have requests there.
    NoRoom,
}

impl ForwardReason {
    /// Whether the request goes to a box of this region.
    pub fn is_in_region(self) -> bool {
        matches!(self, ForwardReason::LostPath | ForwardReason::NoRoom)
    }
}

impl fmt::Display for ForwardReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ForwardReason::Home => f.write_str("home"),
            ForwardReason::Overflow { own_utilization, share } => {
                write!(
                    f,
                    "overflow in_flight={} slots={} part={share:.2}",
                    own_utilization.in_flight, own_utilization.slots
                )
            }
            ForwardReason::NoPlace => f.write_str("no_place"),
            ForwardReason::LostPath => f.write_str("lost_path"),
            ForwardReason::NoRoom => f.write_str("no_room"),
        }
    }
}

/// Whether the links between boxes have room for the request, and a response would be in time.
pub fn may_forward<A: Adapter>(shared: &Shared<A>, job: &Job) -> bool {
    let now = clock::now();
    let kind = Kind::of(job.continues_stream());
    lock(&shared.forwards).admits(kind, job.body_bytes(), job.time_left(now), now)
}

/// Whether this is the first send of a caller's request.
fn is_first_send(job: &Job, history: &RequestHistory) -> bool {
    job.origin == Origin::Caller
        && history.tried.is_empty()
        && history.boxes.is_empty()
        && history.neighbors.is_empty()
}

/// A box that may get a request, with the share of the service's servers that it reaches.
#[derive(Clone, Copy, Debug)]
struct ReachingBox<'a> {
    record: &'a BoxRecord,
    share: f64,
}

/// Whether servers in a region may run the request: one that continues a stream needs servers of
/// the version that began it.
fn has_version(job: &Job, history: &RequestHistory, region: &str) -> bool {
    let Some(version) = history.version else { return true };
    let versions = job.snapshot.software.get(&job.service);
    let regions = versions.and_then(|versions| versions.get(&version));
    regions.is_some_and(|regions| regions.contains_key(region))
}

/// The boxes of a region that accept requests and reach servers of the service.
fn serving_boxes<'a, A>(shared: &Shared<A>, job: &'a Job, region: &str) -> Vec<ReachingBox<'a>> {
    let (service_hash, now) = (rendezvous::weight(&job.service, ""), clock::now());
    let (presence, paths) = (lock(&shared.presence), lock(&shared.peer_paths));
    let boxes = job.snapshot.boxes.iter();
    let serving = boxes.filter(|other| other.region == region && presence.serves(other));
    let reaching = serving.map(|record| {
        let share = paths.share(presence::box_hash(&record.name), service_hash, now);
        ReachingBox { record, share }
    });
    reaching.filter(|other| other.share > 0.0).collect()
}

/// Draws a box, weighted by the share of the servers that it reaches.
fn draw(boxes: &[ReachingBox<'_>]) -> Option<SocketAddr> {
    let drawn = boxes.choose_weighted(&mut rand::rng(), |other| other.share);
    drawn.ok().map(|other| other.record.peers)
}

/// The neighbors that the request was not forwarded to yet, if it may run in this region and
/// another such forward is allowed.
fn untried_neighbors<'a, A>(
    shared: &Shared<A>,
    job: &'a Job,
    history: &RequestHistory,
) -> Vec<ReachingBox<'a>> {
    let own_region = &shared.settings.region;
    if history.neighbors.len() >= MAX_NEIGHBOR_SENDS || !job.is_allowed_in(own_region) {
        return Vec::new();
    }
    let mut neighbors = serving_boxes(shared, job, own_region);
    neighbors.retain(|other| !history.neighbors.contains(&other.record.peers));
    neighbors
}

/// Draws two neighbors and returns the one with the lower load.
fn less_loaded<A>(shared: &Shared<A>, neighbors: &[ReachingBox<'_>]) -> Option<SocketAddr> {
    let sample =
        neighbors.choose_multiple_weighted(&mut rand::rng(), NEIGHBOR_SAMPLE, |other| other.share);
    let loads = lock(&shared.loads);
    let load = |other: &&ReachingBox<'_>| loads.of_sender(presence::box_hash(&other.record.name));
    sample.ok()?.min_by_key(load).map(|other| other.record.peers)
}

/// A neighbor, for the share of the requests whose servers this box can't reach.
pub fn detour<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
) -> Option<SocketAddr> {
    let own_share =
        shared.with_service(&job.service, |service| service.placement.reached_share())?;
    if job.origin == Origin::Peer || own_share >= 1.0 {
        return None;
    }
    let mut neighbors = untried_neighbors(shared, job, history);
    let best_share = neighbors.iter().map(|other| other.share).fold(0.0, f64::max);
    let detour_share = reachability::detour_share(own_share, best_share);
    if rand::rng().random::<f64>() >= detour_share {
        return None;
    }
    neighbors.retain(|other| other.share > own_share);
    less_loaded(shared, &neighbors)
}

/// A neighbor that reaches more servers, for a request that no server which this box reaches can run
/// now. While servers are down, all boxes reach the same ones.
pub fn neighbor<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
) -> Option<SocketAddr> {
    let own_share =
        shared.with_service(&job.service, |service| service.placement.reached_share())?;
    if own_share >= 1.0 {
        return None;
    }
    let mut neighbors = untried_neighbors(shared, job, history);
    neighbors.retain(|other| other.share > own_share);
    less_loaded(shared, &neighbors)
}

/// A neighbor that may have requests at brittle servers of the service, if this box may have none,
/// or if it has so many that the request would wait too long here while the servers have room.
pub fn room_holder<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
) -> Option<SocketAddr> {
    if history.refused_by_brittle {
        return None;
    }
    let (service_hash, now) = (rendezvous::weight(&job.service, ""), clock::now());
    let own = presence::box_hash(&shared.settings.name);
    let places = shared.with_service(&job.service, |service| {
        if room::may_wait(shared, service, job, now) {
            return None;
        }
        let (loads, throttles) = (lock(&shared.loads), lock(&shared.throttles));
        let rooms = service.placement.capacities(service_hash);
        let places = throttles.room_places(service_hash, rooms, now);
        let has_places = places.get(&own).is_some_and(|own_places| *own_places > 0);
        let is_closed = service.placement.is_closed(service_hash, &loads, &throttles, now);
        (!has_places || !is_closed).then_some(places)
    })??;
    let neighbors = untried_neighbors(shared, job, history);
    let weight = |other: &ReachingBox<'_>| {
        let places = places.get(&presence::box_hash(&other.record.name));
        places.map_or(0.0, |places| f64::from(*places))
    };
    let drawn = neighbors.choose_weighted(&mut rand::rng(), weight);
    drawn.ok().map(|other| other.record.peers)
}

/// Whether the servers of another region have capacity for a request, according to its reports.
fn has_capacity<A>(shared: &Shared<A>, job: &Job, region: &str) -> bool {
    let service_hash = rendezvous::weight(&job.service, "");
    lock(&shared.regions).may_have_capacity(service_hash, region, clock::now())
}

/// A box near the home server of the request's shared prefix, if that server is in another region.
/// Only the first send goes to the home; later ones go to any server.
pub fn home_box<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
) -> Option<SocketAddr> {
    let prefix = SharedPrefix::of(&job.metadata.segments)?;
    if !is_first_send(job, history) || !prefix.crosses_regions() {
        return None;
    }
    let servers = job.snapshot.servers.get(&job.service)?;
    let home_server = servers
        .iter()
        .filter(|server| {
            job.is_allowed_in(&server.region) && has_version(job, history, &server.region)
        })
        .max_by_key(|server| prefix.weight(server.hash))?;
    if *home_server.region == *shared.settings.region
        || !has_capacity(shared, job, &home_server.region)
    {
        return None;
    }
    let region_boxes = serving_boxes(shared, job, &home_server.region);
    // From a box in the failure domain of the home server, the prompt doesn't have to cross into
    // another one.
    let is_in_domain =
        |other: &&ReachingBox<'_>| *other.record.failure_domain == *home_server.failure_domain;
    let same_domain: Vec<ReachingBox<'_>> =
        region_boxes.iter().filter(is_in_domain).copied().collect();
    draw(if same_domain.is_empty() { &region_boxes } else { &same_domain })
}

/// A box of a region that has capacity while the servers of this one are busy, for a share of the
/// requests. Requests whose prefix has a home in any region go there instead, and later sends go to
/// any server.
pub fn overflow_target<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
    now: Instant,
) -> Option<(SocketAddr, ForwardReason)> {
    let has_home =
        SharedPrefix::of(&job.metadata.segments).is_some_and(|prefix| prefix.crosses_regions());
    if !is_first_send(job, history) || has_home {
        return None;
    }
    let service_hash = rendezvous::weight(&job.service, "");
    let own_utilization = shared.with_service(&job.service, |service| {
        if service.placement.is_unreachable() {
            return None;
        }
        let (loads, throttles) = (lock(&shared.loads), lock(&shared.throttles));
        Some(service.placement.utilization(service_hash, &loads, &throttles, now))
    })??;
    let regions = lock(&shared.regions);
    let allowed = |region: &str| {
        job.is_allowed_in(region)
            && has_version(job, history, region)
            && regions.may_have_capacity(service_hash, region, now)
    };
    let (region, share) = regions.overflow_target(service_hash, own_utilization, allowed, now)?;
    if rand::rng().random::<f64>() >= share {
        return None;
    }
    let other = draw(&serving_boxes(shared, job, region))?;
    Some((other, ForwardReason::Overflow { own_utilization, share }))
}

/// Chooses a random box of another region, weighted by the slots of its region and by the share of
/// them that it reaches.
pub fn fallback_target<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
) -> Option<SocketAddr> {
    let tried = &history.boxes;
    if tried.len() >= MAX_PEER_SENDS {
        return None;
    }
    let slots = job.snapshot.slots.get(&job.service)?;
    let (service_hash, now) = (rendezvous::weight(&job.service, ""), clock::now());
    let (regions, presence) = (lock(&shared.regions), lock(&shared.presence));
    let paths = lock(&shared.peer_paths);
    let share = |other: &BoxRecord| paths.share(presence::box_hash(&other.name), service_hash, now);
    let eligible = |other: &&BoxRecord| {
        other.region != shared.settings.region
            && presence.serves(other)
            && share(other) > 0.0
            && !tried.contains(&other.peers)
            && job.is_allowed_in(&other.region)
            && has_version(job, history, &other.region)
            && slots.get(&other.region).is_some_and(|slots| *slots > 0)
            && regions.may_have_capacity(service_hash, &other.region, now)
    };
    let boxes: Vec<&BoxRecord> = job.snapshot.boxes.iter().filter(eligible).collect();
    let in_region = |region: &str| boxes.iter().filter(|other| other.region == region).count();
    let weight = |other: &&BoxRecord| {
        let slots = slots.get(&other.region).copied().unwrap_or(0);
        share(other) * f64::from(slots) / in_region(&other.region).max(1) as f64
    };
    boxes.choose_weighted(&mut rand::rng(), weight).ok().map(|other| other.peers)
}
