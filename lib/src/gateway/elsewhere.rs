//! Which box of another region gets a request: one that cannot run here, one whose text has its
//! home there, or one that finds room there while this region is busy.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::course::Course;
use super::job::Job;
use super::job::Origin;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::regions::Utilization;
use crate::coordination::rendezvous;
use crate::coordination::text::Text;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::state::clock;

/// Most boxes of other regions that one request is sent to: each costs a way there and back.
const MAX_BOXES: usize = 2;

/// Why a request goes to another region, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// The engine that keeps its text stands there.
    Home,
    /// The servers here are busy; so they are here, and this part of the requests goes there.
    Overflow {
        /// Requests and slots of the servers of this region.
        own: Utilization,
        /// Part of the requests that goes there.
        part: f64,
    },
    /// No server here may or can take it.
    NoPlace,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Home => f.write_str("home"),
            Reason::Overflow { own, part } => {
                write!(f, "overflow in_flight={} slots={} part={part:.2}", own.in_flight, own.slots)
            }
            Reason::NoPlace => f.write_str("no_place"),
        }
    }
}

/// Whether a caller's request has been sent nowhere yet.
fn is_first_send(job: &Job, course: &Course) -> bool {
    job.origin == Origin::Caller && course.tried.is_empty() && course.boxes.is_empty()
}

/// The boxes of a region that take requests.
fn boxes_of<'a, A>(shared: &Shared<A>, job: &'a Job, region: &str) -> Vec<&'a BoxRecord> {
    let presence = lock(&shared.presence);
    let boxes = job.snapshot.boxes.iter();
    boxes.filter(|other| other.region == region && presence.serves(other)).collect()
}

/// Whether the servers of another region have room for a request, as far as heard.
fn has_room<A>(shared: &Shared<A>, job: &Job, region: &str) -> bool {
    let service = rendezvous::weight(&job.service, "");
    lock(&shared.regions).may_have_room(service, region, clock::now())
}

/// The box beside the home of the request's text, if that stands in another region. Only the
/// first send follows the text; after that any place will do.
pub fn home<A: Adapter>(shared: &Shared<A>, job: &Job, course: &Course) -> Option<SocketAddr> {
    let text = Text::of(&job.ask.parts)?;
    if !is_first_send(job, course) || !text.travels() {
        return None;
    }
    let servers = job.snapshot.servers.get(&job.service)?;
    let engine = servers
        .iter()
        .filter(|server| job.allows(&server.region))
        .max_by_key(|server| text.weight(server.hash))?;
    if engine.region == shared.settings.region || !has_room(shared, job, &engine.region) {
        return None;
    }
    let there = boxes_of(shared, job, &engine.region);
    // Beside the engine, the prompt crosses no further failure domain.
    let beside = there.iter().filter(|other| other.failure_domain == engine.failure_domain);
    let beside: Vec<&BoxRecord> = beside.copied().collect();
    let chosen = if beside.is_empty() { there } else { beside };
    chosen.choose(&mut rand::rng()).map(|other| other.peers)
}

/// A box of a region that has room while the servers here are busy, for a part of the requests.
/// Those whose text has a home follow it instead, and later sends go where there is any place.
pub fn overflow<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    course: &Course,
    now: Instant,
) -> Option<(SocketAddr, Reason)> {
    let has_home = Text::of(&job.ask.parts).is_some_and(|text| text.travels());
    if !is_first_send(job, course) || has_home {
        return None;
    }
    let own = shared.with_service(&job.service, |service| {
        service.placement.fullness(&lock(&shared.loads), &lock(&shared.throttles), now)
    })?;
    let service = rendezvous::weight(&job.service, "");
    let regions = lock(&shared.regions);
    let allowed = |region: &str| job.allows(region) && regions.may_have_room(service, region, now);
    let (region, part) = regions.overflow_target(service, own, allowed, now)?;
    if rand::rng().random::<f64>() >= part {
        return None;
    }
    let other = boxes_of(shared, job, region).choose(&mut rand::rng()).map(|other| other.peers)?;
    Some((other, Reason::Overflow { own, part }))
}

/// Chooses a region by the slots that may get work there, and one of its boxes.
pub fn choose<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    tried: &[SocketAddr],
) -> Option<SocketAddr> {
    if tried.len() >= MAX_BOXES {
        return None;
    }
    let slots = job.snapshot.slots.get(&job.service)?;
    let (service, now) = (rendezvous::weight(&job.service, ""), clock::now());
    let (regions, presence) = (lock(&shared.regions), lock(&shared.presence));
    let eligible = |other: &&BoxRecord| {
        other.region != shared.settings.region
            && presence.serves(other)
            && !tried.contains(&other.peers)
            && job.allows(&other.region)
            && slots.get(&other.region).is_some_and(|slots| *slots > 0)
            && regions.may_have_room(service, &other.region, now)
    };
    let boxes: Vec<&BoxRecord> = job.snapshot.boxes.iter().filter(eligible).collect();
    let in_region = |region: &str| boxes.iter().filter(|other| other.region == region).count();
    let weight = |other: &&BoxRecord| {
        let slots = slots.get(&other.region).copied().unwrap_or(0);
        f64::from(slots) / in_region(&other.region).max(1) as f64
    };
    boxes.choose_weighted(&mut rand::rng(), weight).ok().map(|other| other.peers)
}
